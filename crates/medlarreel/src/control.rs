//! The control thread.
//!
//! A single thread owns all control state. It passes every event to the state
//! machine, performs the resulting actions, and publishes immutable snapshots to the
//! traffic threads. Calls to the platform run as tasks on this thread and return
//! their results as inputs, so none of them can block it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use medlarreel_core::code::Code;
use medlarreel_core::fold::State;
use medlarreel_core::grant;
use medlarreel_core::ids::{Instance, Offset, Proposal, Upstream};
use medlarreel_core::machine::{Action, Event, ListedUpstream, Machine, Source};
use medlarreel_core::record::{Body, Member, Record};
use medlarreel_core::time::Time;
use medlarreel_core::wire::Message;
use medlarreel_core::wire::frame::{self, Frame};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::app::App;
use crate::platform::{Batch, GrantClient, Log, PlatformError, UpstreamList};

mod proposals;
mod publish;
mod tasks;

pub use proposals::ProposalStatus;

/// Longest interval between ticks of the state machine, which also receives a tick after
/// every input.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Dependencies of the control thread.
pub struct Setup {
    /// Identity and addresses of this instance.
    pub member: Member,
    /// Shared state of the traffic threads.
    pub app: Arc<App>,
    /// Client of the log service.
    pub log: Arc<dyn Log>,
    /// Source of the list of live and leaving upstreams.
    pub list: Arc<dyn UpstreamList>,
    /// Client of the upstreams' grant endpoints.
    pub grant_client: Arc<dyn GrantClient>,
    /// Secret that authenticates frames.
    pub secret: Bytes,
    /// UDP socket for frames.
    pub socket: std::net::UdpSocket,
}

/// Request to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Append an operator's record and report the outcome.
    Propose(Proposal, Body, oneshot::Sender<ProposalStatus>),
    /// Start to hand over control and dispatch duties before a shutdown.
    Stop(oneshot::Sender<()>),
}

/// Input from other threads, tasks or the socket.
#[derive(Debug)]
pub(crate) enum Input {
    Command(Command),
    LogRead(Result<Batch, PlatformError>),
    UpstreamList(Vec<ListedUpstream>),
    /// Records fetched from a peer; empty if the fetch failed.
    PeerRecords(Vec<(Offset, Bytes)>),
    PeerState(Box<State>),
    Frame(Instance, Message),
    /// Response to a query or grant that was sent at the given time.
    GrantAnswered(Upstream, Time, grant::Response),
    /// Failure of a query or grant.
    GrantUnanswered(Upstream),
}

/// Handle for communicating with the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Appends an operator's record and waits for its outcome, which is unknown if the
    /// record has not been read back within a timeout.
    ///
    /// `proposal` is the id chosen by the operator, who can query the outcome with it
    /// later; if it is `None`, a random id is used.
    pub async fn propose(&self, proposal: Option<Proposal>, body: Body) -> ProposalStatus {
        let proposal = proposal.unwrap_or_else(proposals::new_id);
        let (reply, status) = oneshot::channel();
        let command = Command::Propose(proposal, body, reply);
        match self.inputs.send(Input::Command(command)) {
            Ok(()) => status
                .await
                .unwrap_or_else(|_| ProposalStatus::unknown(proposal)),
            Err(_) => ProposalStatus::unknown(proposal),
        }
    }

    /// Starts the handover of control and dispatch duties. Returns before other instances
    /// have taken them over.
    pub async fn stop(&self) {
        let (reply, done) = oneshot::channel();
        if self
            .inputs
            .send(Input::Command(Command::Stop(reply)))
            .is_ok()
        {
            // A closed channel means that the control thread has already ended.
            done.await.ok();
        }
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// If the thread or its runtime cannot be started.
pub fn start(setup: Setup) -> std::io::Result<Handle> {
    let (inputs, queue) = mpsc::unbounded_channel();
    let handle = Handle {
        inputs: inputs.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let work = async move {
                match ControlThread::new(setup, inputs) {
                    Ok(control_thread) => control_thread.run(queue).await,
                    Err(error) => tracing::error!(%error, "control thread cannot use its socket"),
                }
            };
            tokio::task::LocalSet::new().block_on(&runtime, work);
            // Without the control thread, the instance could no longer follow changes of
            // leases and ownership, so the whole process exits. 70 is `EX_SOFTWARE` of
            // `sysexits.h`.
            std::process::exit(70);
        })?;
    Ok(handle)
}

/// State of the control thread.
struct ControlThread {
    machine: Machine,
    app: Arc<App>,
    log: Arc<dyn Log>,
    grant_client: Arc<dyn GrantClient>,
    socket: Arc<UdpSocket>,
    frame_key: frame::Key,
    /// Counter of the last frame, from which receivers detect replays.
    frames_sent: u64,
    inputs: mpsc::UnboundedSender<Input>,
    proposals: proposals::PendingProposals,
    published: publish::PublishedContents,
    peers: crate::peers::Client,
    /// Whether a fetch from a peer is in progress; only one runs at a time.
    fetching: bool,
    log_reachable: bool,
    /// Addresses of all upstreams as of the last published snapshot.
    addresses: HashMap<Upstream, SocketAddr>,
}

impl ControlThread {
    fn new(setup: Setup, inputs: mpsc::UnboundedSender<Input>) -> std::io::Result<ControlThread> {
        setup.socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(setup.socket)?);
        let frame_key = frame::Key::new(&setup.secret, &setup.member.club);
        let now = setup.app.clock.now();
        tasks::receive_frames(
            Arc::clone(&socket),
            frame_key.clone(),
            Arc::clone(&setup.app),
            inputs.clone(),
        );
        tasks::poll_list(
            Arc::clone(&setup.list),
            Arc::clone(&setup.app),
            inputs.clone(),
        );
        Ok(ControlThread {
            machine: Machine::new(setup.member, now),
            peers: crate::peers::Client::new(setup.app.peer_token.clone()),
            app: setup.app,
            log: setup.log,
            grant_client: setup.grant_client,
            socket,
            frame_key,
            frames_sent: 0,
            inputs,
            proposals: proposals::PendingProposals::default(),
            published: publish::PublishedContents::default(),
            fetching: false,
            log_reachable: false,
            addresses: HashMap::new(),
        })
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_log(Duration::ZERO);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                _ = ticks.tick() => self.report_traffic(),
            }
            let random = rand::random();
            self.handle_event(Event::Tick(random));
            self.proposals.resolve(self.now(), self.machine.state());
            self.publish();
        }
    }

    fn now(&self) -> Time {
        self.app.clock.now()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Command(command) => self.handle_command(command),
            Input::LogRead(outcome) => self.handle_log_read(outcome),
            Input::UpstreamList(listed) => self.handle_event(Event::Listed(listed)),
            Input::PeerRecords(records) => self.handle_peer_records(records),
            Input::PeerState(state) => {
                self.fetching = false;
                self.machine.adopt_state(self.now(), *state);
            }
            Input::Frame(from, message) => self.handle_event(Event::Message(from, message)),
            Input::GrantAnswered(upstream, sent_at, response) => {
                self.handle_event(Event::Answered(upstream, sent_at, response));
            }
            Input::GrantUnanswered(upstream) => self.handle_event(Event::Unanswered(upstream)),
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Propose(proposal, body, reply) => {
                self.proposals.add(self.now(), proposal, reply);
                self.append(Record { proposal, body });
            }
            Command::Stop(reply) => {
                self.handle_event(Event::Shutdown);
                // The receiver may have been dropped.
                reply.send(()).ok();
            }
        }
    }

    fn handle_log_read(&mut self, outcome: Result<Batch, PlatformError>) {
        match outcome {
            Ok(batch) => {
                self.app.keep_records(&batch.records);
                self.handle_event(Event::Records(Source::Log, batch.records));
                self.handle_event(Event::LogEnd(batch.next));
                self.app.metrics.count_event("log_read");
                self.log_reachable = true;
                self.read_log(Duration::ZERO);
            }
            Err(PlatformError::Trimmed(earliest)) => {
                tracing::warn!(
                    earliest = earliest.0,
                    "records were trimmed, restoring a checkpoint"
                );
                self.handle_event(Event::Trimmed(earliest));
                self.read_log(Duration::ZERO);
            }
            Err(_) => {
                self.app.metrics.count_event("log_read_failed");
                self.log_reachable = false;
                self.read_log(tasks::LOG_RETRY_DELAY);
            }
        }
    }

    fn handle_peer_records(&mut self, records: Vec<(Offset, Bytes)>) {
        self.fetching = false;
        self.app.keep_records(&records);
        self.handle_event(Event::Records(Source::Peer, records));
    }

    fn report_traffic(&mut self) {
        for (upstream, traffic) in self.published.take_traffic() {
            self.handle_event(Event::Traffic(upstream, traffic));
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        for action in self.machine.handle(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(to, message) => self.send(to, message),
            Action::Append(record) => self.append(record),
            Action::Query(upstream) => self.query_or_grant(upstream, None),
            Action::Grant(upstream, request) => self.query_or_grant(upstream, Some(request)),
            Action::Fetch(peer) => self.fetch(peer),
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.frames_sent += 1;
        let (sender, counter) = (self.app.me, self.frames_sent);
        let frame = Frame {
            sender,
            counter,
            message,
        };
        match frame.encode(&self.frame_key) {
            // Send errors are ignored: datagrams may be lost anyway, and the state
            // machine sends them again.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(Code::FrameOversized) => self.app.metrics.count_event("frame_oversized"),
            Err(_) => self.app.metrics.count_event("frame_unencodable"),
        }
    }

    fn append(&mut self, record: Record) {
        tasks::append_record(Arc::clone(&self.log), record, Arc::clone(&self.app));
    }

    fn query_or_grant(&mut self, upstream: Upstream, request: Option<grant::Request>) {
        let Some(address) = self.addresses.get(&upstream).copied() else {
            return;
        };
        let grant_client = Arc::clone(&self.grant_client);
        tasks::query_or_grant(
            grant_client,
            upstream,
            address,
            request,
            self.now(),
            self.inputs.clone(),
        );
    }

    fn read_log(&mut self, delay: Duration) {
        let from = self.machine.read_offset();
        tasks::read_log(Arc::clone(&self.log), from, delay, self.inputs.clone());
    }

    fn fetch(&mut self, peer: SocketAddr) {
        if self.fetching {
            return;
        }
        self.fetching = true;
        tasks::fetch_from_peer(
            self.peers.clone(),
            peer,
            self.machine.next_offset(),
            self.inputs.clone(),
        );
    }
}
