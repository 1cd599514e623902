//! SlackFit (SuperServe, section 4.2), carried over from model variants to machines that
//! could be provisioned. Pure policy: the offers go into evenly spaced latency buckets,
//! each of which keeps its cheapest one, and the bucket closest under the most urgent
//! slack is taken.

use crate::cloud::Offer;

/// Costs that differ by less than this share are equal.
const COST_TOLERANCE: f64 = 0.01;

/// A machine that could be provisioned for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct ProvisioningOption {
    /// What would be provisioned.
    pub offer: Offer,
    /// The estimated boot time plus the task's estimated run time.
    pub latency_ms: u64,
    /// The price per task, in place of the paper's accuracy.
    pub cost: f64,
    /// The number of machines in its zone: among equals the emptiest zone is taken.
    pub machines_in_zone: u32,
}

/// One evenly spaced part of the range of latencies.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// Its cheapest option.
    pub option: ProvisioningOption,
}

/// Whether `a` is preferred to `b`.
fn is_better(a: &ProvisioningOption, b: &ProvisioningOption) -> bool {
    let tolerance = COST_TOLERANCE * a.cost.abs().max(b.cost.abs());
    if (a.cost - b.cost).abs() > tolerance {
        return a.cost < b.cost;
    }
    (a.machines_in_zone, a.latency_ms, &a.offer) < (b.machines_in_zone, b.latency_ms, &b.offer)
}

/// Evenly spaced buckets between the fastest and the slowest option; empty ones are left
/// out.
pub fn buckets(options: &[ProvisioningOption], count: usize) -> Vec<Bucket> {
    let latencies = || options.iter().map(|option| option.latency_ms);
    let (Some(fastest), Some(slowest)) = (latencies().min(), latencies().max()) else {
        return Vec::new();
    };
    let count = count.max(1) as u64;
    let edge = |number: u64| fastest + (slowest - fastest) * number / count;
    (0..count)
        .filter_map(|number| {
            let (lower, upper) = (edge(number), edge(number + 1));
            let inside = options.iter().filter(|option| {
                let is_fastest = number == 0 && option.latency_ms == fastest;
                (option.latency_ms > lower || is_fastest) && option.latency_ms <= upper
            });
            let option = cheapest_of(inside)?.clone();
            Some(Bucket { option })
        })
        .collect()
}

/// The option of the bucket closest under the slack. If the slack is below every bucket,
/// the slowest one: the design's choice, so that what is late anyway isn't made
/// expensive too.
pub fn choose(buckets: &[Bucket], slack_ms: i64) -> Option<&ProvisioningOption> {
    buckets
        .iter()
        .rev()
        .find(|bucket| bucket.option.latency_ms as i64 <= slack_ms)
        .or(buckets.last())
        .map(|bucket| &bucket.option)
}

/// The cheapest option, for work without a deadline of its own, such as services.
pub fn cheapest(options: &[ProvisioningOption]) -> Option<&ProvisioningOption> {
    cheapest_of(options.iter())
}

fn cheapest_of<'a>(
    options: impl Iterator<Item = &'a ProvisioningOption>,
) -> Option<&'a ProvisioningOption> {
    options.reduce(|best, option| {
        if is_better(option, best) {
            option
        } else {
            best
        }
    })
}
