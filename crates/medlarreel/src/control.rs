//! The control thread.
//!
//! One thread owns all control state. It feeds every event to the machine,
//! performs the actions that come back, and publishes immutable snapshots to
//! the traffic threads. Calls to the platform run as tasks on this thread and
//! come back as events, so none of them can block it.

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
use crate::platform::{Batch, Failure, List, Log, Server};

mod proposals;
mod publish;
mod tasks;

pub use proposals::ProposalStatus;

/// Time between ticks of the machine.
const TICK: Duration = Duration::from_millis(20);

/// Everything that the control thread works with.
pub struct Setup {
    /// Identity and addresses of this instance.
    pub member: Member,
    /// Shared state of the traffic threads.
    pub app: Arc<App>,
    /// Log service.
    pub log: Arc<dyn Log>,
    /// List of live and leaving upstreams.
    pub list: Arc<dyn List>,
    /// Upstreams' grant endpoints.
    pub server: Arc<dyn Server>,
    /// Secret that authenticates frames.
    pub secret: Bytes,
    /// Socket for frames.
    pub socket: std::net::UdpSocket,
}

/// Request to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Append an operator's record and report its fate.
    Propose(Proposal, Body, oneshot::Sender<ProposalStatus>),
    /// Hand over duties before a shutdown.
    Stop(oneshot::Sender<()>),
}

/// Something that a task or socket brought in.
#[derive(Debug)]
pub(crate) enum Input {
    Command(Command),
    Read(Result<Batch, Failure>),
    Listed(Vec<ListedUpstream>),
    Fetched(Vec<(Offset, Bytes)>),
    Copied(Box<State>),
    Frame(Instance, Message),
    Answered(Upstream, Time, grant::Response),
    Unanswered(Upstream),
}

/// Handle by which other threads reach the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Appends an operator's record; waits until its fate is known or the time
    /// for that is over.
    ///
    /// The operator may choose the proposal's id, to ask for its fate again.
    pub async fn propose(&self, proposal: Option<Proposal>, body: Body) -> ProposalStatus {
        let proposal = proposal.unwrap_or_else(proposals::fresh);
        let (reply, fate) = oneshot::channel();
        let command = Command::Propose(proposal, body, reply);
        match self.inputs.send(Input::Command(command)) {
            Ok(()) => fate
                .await
                .unwrap_or_else(|_| ProposalStatus::unknown(proposal)),
            Err(_) => ProposalStatus::unknown(proposal),
        }
    }

    /// Hands over control and dispatch duties.
    pub async fn stop(&self) {
        let (reply, done) = oneshot::channel();
        if self
            .inputs
            .send(Input::Command(Command::Stop(reply)))
            .is_ok()
        {
            // A closed channel means that the control thread has ended already.
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
                match Worker::new(setup, inputs) {
                    Ok(worker) => worker.run(queue).await,
                    Err(error) => tracing::error!(%error, "control thread cannot open its socket"),
                }
            };
            tokio::task::LocalSet::new().block_on(&runtime, work);
            // Without control state the process cannot keep its promises.
            std::process::exit(70);
        })?;
    Ok(handle)
}

/// State of the control thread.
struct Worker {
    machine: Machine,
    app: Arc<App>,
    log: Arc<dyn Log>,
    server: Arc<dyn Server>,
    socket: Arc<UdpSocket>,
    key: frame::Key,
    sent: u64,
    inputs: mpsc::UnboundedSender<Input>,
    proposals: proposals::Proposals,
    published: publish::Published,
    peers: crate::peers::Client,
    fetching: bool,
    log_reachable: bool,
    addresses: HashMap<Upstream, SocketAddr>,
}

impl Worker {
    fn new(setup: Setup, inputs: mpsc::UnboundedSender<Input>) -> std::io::Result<Worker> {
        setup.socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(setup.socket)?);
        let key = frame::Key::new(&setup.secret, &setup.member.club);
        let now = setup.app.clock.now();
        tasks::receive(
            Arc::clone(&socket),
            key.clone(),
            Arc::clone(&setup.app),
            inputs.clone(),
        );
        tasks::poll_list(
            Arc::clone(&setup.list),
            Arc::clone(&setup.app),
            inputs.clone(),
        );
        Ok(Worker {
            machine: Machine::new(setup.member, now),
            peers: crate::peers::Client::new(setup.app.peer_token.clone()),
            app: setup.app,
            log: setup.log,
            server: setup.server,
            socket,
            key,
            sent: 0,
            inputs,
            proposals: proposals::Proposals::default(),
            published: publish::Published::default(),
            fetching: false,
            log_reachable: false,
            addresses: HashMap::new(),
        })
    }

    async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_log(Duration::ZERO);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                _ = ticks.tick() => self.report_traffic(),
            }
            let random = rand::random();
            self.feed(Event::Tick(random));
            self.proposals.settle(self.now(), self.machine.state());
            self.publish();
        }
    }

    fn now(&self) -> Time {
        self.app.clock.now()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Command(command) => self.command(command),
            Input::Read(outcome) => self.log_read(outcome),
            Input::Listed(listed) => self.feed(Event::Listed(listed)),
            Input::Fetched(records) => self.fetched(records),
            Input::Copied(state) => {
                self.fetching = false;
                self.machine.adopt_state(self.now(), *state);
            }
            Input::Frame(from, message) => self.feed(Event::Message(from, message)),
            Input::Answered(upstream, asked, answer) => {
                self.feed(Event::Answered(upstream, asked, answer));
            }
            Input::Unanswered(upstream) => self.feed(Event::Unanswered(upstream)),
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Propose(proposal, body, reply) => {
                self.proposals.open(self.now(), proposal, reply);
                self.append(Record { proposal, body });
            }
            Command::Stop(reply) => {
                self.feed(Event::Shutdown);
                // The receiver may have given up waiting.
                reply.send(()).ok();
            }
        }
    }

    fn log_read(&mut self, outcome: Result<Batch, Failure>) {
        match outcome {
            Ok(batch) => {
                self.app.keep_records(&batch.records);
                self.feed(Event::Records(Source::Log, batch.records));
                self.feed(Event::LogEnd(batch.next));
                self.app.metrics.event("log_read");
                self.log_reachable = true;
                self.read_log(Duration::ZERO);
            }
            Err(Failure::Trimmed(earliest)) => {
                tracing::warn!(
                    earliest = earliest.0,
                    "records were trimmed, restoring a checkpoint"
                );
                self.feed(Event::Trimmed(earliest));
                self.read_log(Duration::ZERO);
            }
            Err(_) => {
                self.app.metrics.event("log_read_failed");
                self.log_reachable = false;
                self.read_log(tasks::READ_RETRY);
            }
        }
    }

    fn fetched(&mut self, records: Vec<(Offset, Bytes)>) {
        self.fetching = false;
        self.app.keep_records(&records);
        self.feed(Event::Records(Source::Peer, records));
    }

    fn report_traffic(&mut self) {
        for (upstream, traffic) in self.published.traffic() {
            self.feed(Event::Traffic(upstream, traffic));
        }
    }

    fn feed(&mut self, event: Event) {
        let now = self.now();
        for action in self.machine.handle(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(to, message) => self.send(to, message),
            Action::Append(record) => self.append(record),
            Action::Query(upstream) => self.call(upstream, None),
            Action::Grant(upstream, request) => self.call(upstream, Some(request)),
            Action::Fetch(peer) => self.fetch(peer),
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.sent += 1;
        let (sender, counter) = (self.app.me, self.sent);
        let frame = Frame {
            sender,
            counter,
            message,
        };
        match frame.encode(&self.key) {
            // Datagrams may be lost on the way as well; the machine repeats them.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(Code::FrameOversized) => self.app.metrics.event("frame_oversized"),
            Err(_) => self.app.metrics.event("frame_unencodable"),
        }
    }

    fn append(&mut self, record: Record) {
        tasks::append(Arc::clone(&self.log), record, Arc::clone(&self.app));
    }

    fn call(&mut self, upstream: Upstream, request: Option<grant::Request>) {
        let Some(address) = self.addresses.get(&upstream).copied() else {
            return;
        };
        let server = Arc::clone(&self.server);
        tasks::call(
            server,
            upstream,
            address,
            request,
            self.now(),
            self.inputs.clone(),
        );
    }

    fn read_log(&mut self, delay: Duration) {
        let from = self.machine.read_from();
        tasks::read_log(Arc::clone(&self.log), from, delay, self.inputs.clone());
    }

    fn fetch(&mut self, peer: SocketAddr) {
        if self.fetching {
            return;
        }
        self.fetching = true;
        tasks::fetch(
            self.peers.clone(),
            peer,
            self.machine.next_offset(),
            self.inputs.clone(),
        );
    }
}
