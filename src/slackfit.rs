//! SlackFit (SuperServe, section 4.2), carried over from model variants to
//! rentals. Pure policy: rungs go into evenly spaced latency buckets, each
//! keeping its cheapest rung, and the bucket closest under the most urgent
//! slack is taken.

use crate::cloud::Offer;

/// A rental that could start a round of tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Rung {
    /// What would be rented.
    pub offer: Offer,
    /// Learned boot time plus the task's run-time estimate.
    pub latency_ms: u64,
    /// Price per task; stands in for the paper's accuracy.
    pub cost: f64,
    /// Machines of this zone already there: equals are spread over zones.
    pub crowd: u32,
}

/// One evenly spaced part of the range of latencies.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// The longest latency in it.
    pub edge_ms: u64,
    /// Its cheapest rung.
    pub rung: Rung,
}

fn better(a: &Rung, b: &Rung) -> bool {
    // Prices within a hundredth are the same price.
    let margin = 0.01 * a.cost.abs().max(b.cost.abs());
    if (a.cost - b.cost).abs() > margin {
        return a.cost < b.cost;
    }
    (a.crowd, a.latency_ms, &a.offer) < (b.crowd, b.latency_ms, &b.offer)
}

/// Evenly spaced buckets between the fastest and the slowest rung.
pub fn buckets(rungs: &[Rung], count: usize) -> Vec<Bucket> {
    let Some(low) = rungs.iter().map(|r| r.latency_ms).min() else {
        return Vec::new();
    };
    let high = rungs.iter().map(|r| r.latency_ms).max().unwrap_or(low);
    let count = count.max(1) as u64;
    let mut all: Vec<Bucket> = Vec::new();
    for i in 0..count {
        let from = low + (high - low) * i / count;
        let edge_ms = low + (high - low) * (i + 1) / count;
        let inside = rungs.iter().filter(|r| {
            let above = r.latency_ms > from || (i == 0 && r.latency_ms == low);
            above && r.latency_ms <= edge_ms
        });
        let mut best: Option<&Rung> = None;
        for rung in inside {
            if best.is_none_or(|b| better(rung, b)) {
                best = Some(rung);
            }
        }
        if let Some(rung) = best {
            all.push(Bucket {
                edge_ms,
                rung: rung.clone(),
            });
        }
    }
    all
}

/// The bucket whose rung is closest under the slack; below every bucket, the
/// slowest rental (the design's choice: what is late anyway is not made dear).
pub fn choose(buckets: &[Bucket], slack_ms: i64) -> Option<&Rung> {
    buckets
        .iter()
        .rev()
        .find(|b| b.rung.latency_ms as i64 <= slack_ms)
        .or(buckets.last())
        .map(|b| &b.rung)
}

/// The rung for work without a deadline of its own, services above all.
pub fn cheapest(rungs: &[Rung]) -> Option<&Rung> {
    rungs
        .iter()
        .reduce(|best, rung| if better(rung, best) { rung } else { best })
}
