//! The leader's loop: what is due at a time, and in which order.

use crate::cloud::CloudClient;
use crate::kv_client::WriteBudget;
use crate::messages::Now;
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, MIN_ROUND_GAP_MS};

/// The time between two full rounds, in heartbeat intervals.
const FULL_ROUND_HEARTBEATS: f64 = 1.0;
/// How often machines are checked between two full rounds.
const CHECKS_PER_FULL_ROUND: u64 = 4;
/// How often a controller that isn't an active leader looks whether anything is due.
const INACTIVE_TICK_MS: u64 = 1000;
/// What examining one entry of a round (a machine, a task, a level of the capacity
/// index, an image of a machine that is indexed anew) takes of a processor, roughly:
/// 0.08 us on the bench's large fleets, 0.2 us beside other work. Entries are counted
/// and not timed so that traces replay.
pub(in crate::scheduler) const EXAMINED_ENTRY_MS: f64 = 100e-6;
/// The share of the processor's limit that rounds may take under a burst of work.
const ROUND_CPU_SHARE: f64 = 0.3;

impl Scheduler {
    /// Acts on what is due, and returns when to be called again.
    pub fn tick(
        &mut self,
        now: Now,
        cloud: &mut CloudClient,
        budget: WriteBudget,
        effects: &mut SchedulerEffects,
    ) -> u64 {
        if self.stage != LeaderStage::Active {
            self.retry_loading(now, effects);
            return self.loading.retry_ms.unwrap_or(now.ms + INACTIVE_TICK_MS);
        }
        if let Some(list) = self.loading.early_cloud_list.take() {
            self.on_machine_list(now, list, cloud);
        }
        self.watch_jobs(now, effects);
        self.read_stale_jobs(now, effects);
        self.read_unresolved_dependencies(now, effects);
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
    }

    fn retry_loading(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let is_due = self.loading.retry_ms.is_some_and(|at| now.ms >= at);
        if self.stage == LeaderStage::Loading && is_due {
            self.loading.retry_ms = None;
            self.list_records(now, effects);
        }
    }

    fn check_machines_if_due(&mut self, now: Now, cloud: &mut CloudClient) {
        let is_due = now.ms >= self.next_check_ms();
        if is_due || std::mem::take(&mut self.failure_detection.check_requested) {
            self.failure_detection.last_check_ms = now.ms;
            self.pacing.activity.checks += 1;
            self.check_machines(now, cloud);
            // Silence and reserved capacity have no event of their own.
            self.groups.request_all_evaluations();
        }
    }

    /// Begins a round: a full one at regular intervals, in between one that only
    /// places what has arrived and scales out for it. Scaling in and the care for
    /// machines can wait for the next full round.
    fn begin_round_if_due(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let full = now.ms >= self.next_full_round_ms();
        let wanted = self.pacing.requested && now.ms >= self.pacing.began_ms + self.pacing.gap_ms;
        if self.round.is_some() || !(full || wanted) {
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

    /// The pause after a round follows what it cost, so that a burst of work on a
    /// large fleet leaves time for heartbeats, submissions and cancellations.
    pub(in crate::scheduler) fn round_gap_ms(&self, examined: u64) -> u64 {
        let cost_ms = examined as f64 * EXAMINED_ENTRY_MS;
        let gap = cost_ms / (self.settings.site.limits.cores * ROUND_CPU_SHARE);
        (gap as u64).clamp(
            MIN_ROUND_GAP_MS,
            self.heartbeat_interval_ms().max(MIN_ROUND_GAP_MS),
        )
    }
}
