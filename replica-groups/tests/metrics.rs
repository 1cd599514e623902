//! The text of metrics in logs.

use lilacfork_replica_groups::group::GroupState;
use lilacfork_replica_groups::metrics::{GroupMetrics, StateCounts};

#[test]
fn states_and_repairs_are_written_as_counts_and_times() {
    let mut counts = StateCounts::default();
    for state in [
        GroupState::Serving,
        GroupState::Serving,
        GroupState::Degraded,
    ] {
        counts.add(state);
    }
    counts.migrating = 1;
    assert_eq!(
        counts.to_string(),
        "pending=0 starting=0 serving=2 degraded=1 stopping=0 finished=0 moving=1 failing=0"
    );
    let mut figures = GroupMetrics::default();
    assert_eq!(
        figures.to_string(),
        "repaired=0 interrupted=0 moved=0 abandoned_moves=0"
    );
    // Times of any length are recorded: a bounded histogram once cut them off at 2 ms.
    for took_ms in [4000, 5000, 90_000] {
        figures.record_repair(took_ms);
    }
    let text = figures.to_string();
    let most = text
        .rsplit("repair_ms_most=")
        .next()
        .and_then(|n| n.parse().ok());
    let most: u64 = most.expect("a number");
    assert!((90_000..91_000).contains(&most), "{text}");
    assert!(text.starts_with("repaired=3 "), "{text}");
}
