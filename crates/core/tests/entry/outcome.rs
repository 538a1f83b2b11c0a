//! Tests of what is promised to callers about the runs of their requests.

use medlarreel_core::entry::outcome::{Cause, Ending, Progress, Reply, Verdict};
use medlarreel_core::ids::Upstream;
use proptest::prelude::*;

/// Sends that end before anything is written, or with the upstream's word that it did not
/// run the request.
const NOT_RUN: [Ending; 4] = [
    Ending::NotWritten,
    Ending::NotAccepted,
    Ending::NotExecuted,
    Ending::NotOwner,
];

fn ending() -> impl Strategy<Value = Ending> {
    prop::sample::select([&NOT_RUN[..], &[Ending::Doubtful]].concat())
}

fn send(progress: &mut Progress, ending: Ending) {
    if ending != Ending::NotAccepted {
        progress.begin_write(Upstream(1));
    }
    progress.end(ending);
}

proptest! {
    /// Guards against a promise that a request has not run after a send that may have run,
    /// and against 502 or 504 for one that has reached no upstream, in any order of sends.
    #[test]
    fn promise_is_given_exactly_while_no_send_is_in_doubt(
        endings in prop::collection::vec(ending(), 0..8),
    ) {
        let mut progress = Progress::default();

        for ending in &endings {
            send(&mut progress, *ending);
        }

        let has_doubt = endings.contains(&Ending::Doubtful);
        prop_assert_eq!(progress.verdict() == Verdict::Unknown, has_doubt);
        prop_assert_eq!(progress.reply(Cause::GivenUp) == Reply::Refusal, !has_doubt);
        prop_assert_eq!(progress.reply(Cause::Deadline) == Reply::Refusal, !has_doubt);
    }
}

/// Guards against a promise while an upstream has the request: it may run it at any moment.
#[test]
fn written_request_may_run_until_its_send_has_ended() {
    let mut progress = Progress::default();
    progress.begin_write(Upstream(1));

    let reply = progress.reply(Cause::Deadline);
    progress.end(Ending::NotExecuted);

    assert_eq!(reply, Reply::Timeout);
    assert_eq!(progress.reply(Cause::Deadline), Reply::Refusal);
}

/// Guards against attempts being used up by sends that reached no upstream or the wrong one.
#[test]
fn only_upstreams_that_may_run_the_request_count_as_attempts() {
    let mut progress = Progress::default();

    send(&mut progress, Ending::NotWritten);
    send(&mut progress, Ending::NotOwner);
    send(&mut progress, Ending::Doubtful);

    assert_eq!(progress.arrivals(), 2);
    assert_eq!(progress.attempts(), 1);
    assert_eq!(progress.connect_failures(), 1);
}
