//! Memory that is taken without waiting.

use medlarreel_core::entry::memory::Stage;
use tokio::task::LocalSet;

use crate::fixture::memory;

/// Guards against bodies of callers that are given up although nothing more is taken: what an
/// instance collects for itself is counted anew with each part that arrives.
#[tokio::test]
async fn taking_no_more_evicts_nothing() {
    let memory = memory();
    let (_, capacity, _) = memory.usage();
    let leases = [0, 1].map(|_| memory.open(Stage::Reading, false));
    let reserving = async {
        for lease in &leases {
            lease.reserve(1_000).await.unwrap();
        }
    };
    LocalSet::new().run_until(reserving).await;

    let mut taken = memory.take(capacity + 10_000);
    let (.., evicted_before) = memory.usage();
    taken.extend(0);
    taken.resize(capacity + 10_000);
    taken.resize(capacity + 9_000);
    let (.., evicted) = memory.usage();

    assert_eq!((evicted_before, evicted), (1, 1));
    taken.extend(1);
    assert_eq!(memory.usage().2, 2);
}
