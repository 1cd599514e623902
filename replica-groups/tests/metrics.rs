//! Tests of the text form of metrics in log lines.

use lilacfork_replica_groups::group::GroupState;
use lilacfork_replica_groups::metrics::{GroupMetrics, StateCounts};

#[test]
fn metrics_text_contains_state_counts_and_repair_times() {
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
    let mut metrics = GroupMetrics::default();
    assert_eq!(
        metrics.to_string(),
        "repaired=0 interrupted=0 moved=0 abandoned_moves=0"
    );
    // Repair times of any length must be recorded. In an earlier version, a histogram with
    // a fixed range cut off values above 2 ms.
    for took_ms in [4000, 5000, 90_000] {
        metrics.record_repair(took_ms);
    }
    let text = metrics.to_string();
    let max_ms = text
        .rsplit("repair_ms_most=")
        .next()
        .and_then(|n| n.parse().ok());
    let max_ms: u64 = max_ms.expect("repair_ms_most is a number");
    assert!((90_000..91_000).contains(&max_ms), "{text}");
    assert!(text.starts_with("repaired=3 "), "{text}");
}
