//! The SlackFit policy (SuperServe, section 4.2), applied to machines to provision in place
//! of model variants. Options are divided into evenly spaced latency buckets, each of which
//! keeps its cheapest option. The policy chooses the bucket with the highest latency that
//! doesn't exceed the slack of the most urgent task.

use crate::cloud::Offer;

/// Costs whose relative difference is at most this are treated as equal.
const COST_TOLERANCE: f64 = 0.01;

/// A machine that could be provisioned for a task.
#[derive(Clone, Debug, PartialEq)]
pub struct ProvisioningOption {
    /// The offer of which a machine would be provisioned.
    pub offer: Offer,
    /// The estimated boot time plus the estimated run time of the task.
    pub latency_ms: u64,
    /// The price per task, which takes the place of the accuracy in the paper.
    pub cost: f64,
    /// The number of known machines in the offer's zone. Among options of equal cost the
    /// zone with the fewest machines is preferred.
    pub machines_in_zone: u32,
}

/// One of the evenly spaced intervals of the latency range. Empty intervals have no bucket.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    /// The cheapest option with a latency in the interval.
    pub option: ProvisioningOption,
}

/// Returns whether `a` is preferred to `b`.
fn is_better(a: &ProvisioningOption, b: &ProvisioningOption) -> bool {
    let tolerance = COST_TOLERANCE * a.cost.abs().max(b.cost.abs());
    if (a.cost - b.cost).abs() > tolerance {
        return a.cost < b.cost;
    }
    (a.machines_in_zone, a.latency_ms, &a.offer) < (b.machines_in_zone, b.latency_ms, &b.offer)
}

/// Divides the latency range from the fastest to the slowest option into `count` intervals
/// of equal length. Returns the non-empty buckets in ascending order of latency.
pub fn buckets(options: &[ProvisioningOption], count: usize) -> Vec<Bucket> {
    let latencies = || options.iter().map(|option| option.latency_ms);
    let (Some(fastest), Some(slowest)) = (latencies().min(), latencies().max()) else {
        return Vec::new();
    };
    let count = count.max(1) as u64;
    let edge = |index: u64| fastest + (slowest - fastest) * index / count;
    (0..count)
        .filter_map(|index| {
            let (lower, upper) = (edge(index), edge(index + 1));
            let inside = options.iter().filter(|option| {
                let is_fastest = index == 0 && option.latency_ms == fastest;
                (option.latency_ms > lower || is_fastest) && option.latency_ms <= upper
            });
            let option = cheapest_of(inside)?.clone();
            Some(Bucket { option })
        })
        .collect()
}

/// Returns the option of the bucket with the highest latency that doesn't exceed the slack.
/// If the options of all buckets exceed the slack, returns that of the slowest bucket: the
/// task is late anyway, so a faster and more expensive machine isn't worth its cost.
pub fn choose(buckets: &[Bucket], slack_ms: i64) -> Option<&ProvisioningOption> {
    buckets
        .iter()
        .rev()
        .find(|bucket| bucket.option.latency_ms as i64 <= slack_ms)
        .or(buckets.last())
        .map(|bucket| &bucket.option)
}

/// Returns the cheapest option, for jobs without a deadline, such as services.
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
