//! SlackFit (SuperServe, section 4.2), carried over from model variants to machines that
//! could be provisioned. Pure policy: the offers go into evenly spaced latency buckets,
//! each of which keeps its cheapest one, and the bucket closest under the most urgent
//! slack is taken.

use crate::cloud::Offer;

/// Costs that differ by less than this share are equal.
const COST_TOLERANCE: f64 = 0.01;

/// A machine that could be provisioned for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Rung {
    /// What would be provisioned.
    pub offer: Offer,
    /// The estimated boot time plus the task's estimated run time.
    pub latency_ms: u64,
    /// The price per task, in place of the paper's accuracy.
    pub cost: f64,
    /// The number of machines in its zone: among equals the emptiest zone is taken.
    pub crowd: u32,
}

/// One evenly spaced part of the range of latencies.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Its cheapest rung.
    pub rung: Rung,
}

/// Whether `a` is preferred to `b`.
fn is_better(a: &Rung, b: &Rung) -> bool {
    let tolerance = COST_TOLERANCE * a.cost.abs().max(b.cost.abs());
    if (a.cost - b.cost).abs() > tolerance {
        return a.cost < b.cost;
    }
    (a.crowd, a.latency_ms, &a.offer) < (b.crowd, b.latency_ms, &b.offer)
}

/// Evenly spaced buckets between the fastest and the slowest rung; empty ones are left
/// out.
pub fn buckets(rungs: &[Rung], count: usize) -> Vec<Bucket> {
    let latencies = || rungs.iter().map(|rung| rung.latency_ms);
    let (Some(fastest), Some(slowest)) = (latencies().min(), latencies().max()) else {
        return Vec::new();
    };
    let count = count.max(1) as u64;
    let edge = |number: u64| fastest + (slowest - fastest) * number / count;
    (0..count)
        .filter_map(|number| {
            let (lower, upper) = (edge(number), edge(number + 1));
            let inside = rungs.iter().filter(|rung| {
                let is_fastest = number == 0 && rung.latency_ms == fastest;
                (rung.latency_ms > lower || is_fastest) && rung.latency_ms <= upper
            });
            let rung = cheapest_of(inside)?.clone();
            Some(Bucket { rung })
        })
        .collect()
}

/// The rung of the bucket closest under the slack. If the slack is below every bucket,
/// the slowest one: the design's choice, so that what is late anyway isn't made
/// expensive too.
pub fn choose(buckets: &[Bucket], slack_ms: i64) -> Option<&Rung> {
    buckets
        .iter()
        .rev()
        .find(|bucket| bucket.rung.latency_ms as i64 <= slack_ms)
        .or(buckets.last())
        .map(|bucket| &bucket.rung)
}

/// The cheapest rung, for work without a deadline of its own, such as services.
pub fn cheapest(rungs: &[Rung]) -> Option<&Rung> {
    cheapest_of(rungs.iter())
}

fn cheapest_of<'a>(rungs: impl Iterator<Item = &'a Rung>) -> Option<&'a Rung> {
    rungs.reduce(|best, rung| if is_better(rung, best) { rung } else { best })
}
