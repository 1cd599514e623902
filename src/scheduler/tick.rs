//! The leader's periodic loop: which steps are due and the order in which they run.

use crate::cloud::CloudClient;
use crate::kv_client::WriteBudget;
use crate::messages::Now;
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, MIN_ROUND_GAP_MS};

/// The interval between full rounds, in heartbeat intervals.
const FULL_ROUND_HEARTBEATS: f64 = 1.0;
/// The number of machine checks per full round interval.
const CHECKS_PER_FULL_ROUND: u64 = 4;
/// The tick interval of a controller that isn't an active leader.
const INACTIVE_TICK_MS: u64 = 1000;
/// The approximate processor time for examining one entry of a round: a machine, a task,
/// a level of the capacity index, or an image of a machine that is indexed again. An
/// entry takes 0.08 us in the benchmark of large fleets and 0.2 us alongside other work.
/// Rounds count entries instead of measuring time so that traces replay deterministically.
pub(in crate::scheduler) const EXAMINED_ENTRY_CPU_MS: f64 = 100e-6;
/// The share of the CPU limit that rounds may use during a burst of work.
const ROUND_CPU_SHARE: f64 = 0.3;

impl Scheduler {
    /// Runs the steps that are due and returns the time at which to call `tick` again.
    pub fn tick(
        &mut self,
        now: Now,
        cloud: &mut CloudClient,
        budget: WriteBudget,
        effects: &mut SchedulerEffects,
    ) -> u64 {
        if self.stage != LeaderStage::Active {
            self.retry_loading(now, effects);
            return self
                .loading
                .retry_due_ms
                .unwrap_or(now.ms + INACTIVE_TICK_MS);
        }
        if let Some(list) = self.loading.early_cloud_list.take() {
            self.on_machine_list(now, list, cloud);
        }
        self.watch_jobs(now, effects);
        self.read_stale_jobs(now, effects);
        self.read_unresolved_dependencies(now, effects);
        self.propagate_urgency(now);
        self.check_machines_if_due(now, cloud);
        self.evaluate_groups(now);
        self.begin_round_if_due(now, effects);
        self.continue_round(now, cloud);
        self.commit(now, budget, effects);
        self.push_commands(now, effects);
        self.clean_up(now, effects);
        self.write_estimates(now, effects);
        self.next_round_ms(now)
            .min(self.next_commit_ms(now))
            .min(self.next_check_ms())
            .min(self.next_propagation_ms(now))
    }

    fn retry_loading(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let is_due = self
            .loading
            .retry_due_ms
            .is_some_and(|retry_ms| now.ms >= retry_ms);
        if self.stage == LeaderStage::Loading && is_due {
            self.loading.retry_due_ms = None;
            self.list_records(now, effects);
        }
    }

    fn check_machines_if_due(&mut self, now: Now, cloud: &mut CloudClient) {
        let is_due = now.ms >= self.next_check_ms();
        if is_due || std::mem::take(&mut self.failure_detection.check_requested) {
            self.failure_detection.last_check_ms = now.ms;
            self.pacing.activity.checks += 1;
            self.check_machines(now, cloud);
            // Missing heartbeats and expired reservations cause no event, so each check
            // evaluates all groups.
            self.groups.request_all_evaluations();
        }
    }

    /// Begins a round if one is due. Full rounds run at regular intervals. A round between
    /// two full ones only places queued work, and preempts and scales out for it; scale in
    /// and compaction wait for the next full round.
    fn begin_round_if_due(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let full = now.ms >= self.next_full_round_ms();
        let requested_due =
            self.pacing.requested && now.ms >= self.pacing.began_ms + self.pacing.gap_ms;
        if self.round.is_some() || !(full || requested_due) {
            return;
        }
        self.pacing.requested = false;
        self.pacing.activity.rounds += 1;
        self.pacing.began_ms = now.ms;
        if full {
            self.pacing.last_full_ms = now.ms;
            self.poll_lease_proxies(now, effects);
        }
        self.begin_round(now, full);
    }

    fn full_round_interval_ms(&self) -> u64 {
        (self.heartbeat_interval_ms() as f64 * FULL_ROUND_HEARTBEATS) as u64
    }

    fn next_full_round_ms(&self) -> u64 {
        self.pacing.last_full_ms + self.full_round_interval_ms()
    }

    fn next_round_ms(&self, now: Now) -> u64 {
        if self.round.is_some() {
            now.ms + 1
        } else if self.pacing.requested {
            self.pacing.began_ms + self.pacing.gap_ms
        } else {
            self.next_full_round_ms()
        }
    }

    fn next_check_ms(&self) -> u64 {
        self.failure_detection.last_check_ms + self.full_round_interval_ms() / CHECKS_PER_FULL_ROUND
    }

    /// Returns the minimum time from the beginning of a round to that of the next one, in
    /// proportion to the cost of the round, so that a burst of work on a large fleet leaves
    /// processor time for heartbeats, submissions and cancellations.
    pub(in crate::scheduler) fn round_gap_ms(&self, examined: u64) -> u64 {
        self.slice_pause_ms(examined).max(MIN_ROUND_GAP_MS)
    }

    /// Returns the pause after work that has examined so many entries, in proportion to
    /// their cost and at most one heartbeat interval.
    pub(in crate::scheduler) fn slice_pause_ms(&self, examined: u64) -> u64 {
        let cost_ms = examined as f64 * EXAMINED_ENTRY_CPU_MS;
        let pause_ms = cost_ms / (self.settings.site.limits.cores * ROUND_CPU_SHARE);
        (pause_ms as u64).min(self.heartbeat_interval_ms())
    }
}
