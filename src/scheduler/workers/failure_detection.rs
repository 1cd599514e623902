//! Machines that are silent, late, unresponsive or about to be taken away: when they
//! are given up, and when the silence is more likely a cut or this controller's own.

use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What is known of silences beside each machine's own.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct FailureDetection {
    /// When all machines were last checked.
    pub(in crate::scheduler) last_check_ms: u64,
    /// They should be checked before that is due again.
    pub(in crate::scheduler) check_requested: bool,
    /// When most machines of a zone were last silent.
    zones_silent_ms: HashMap<Rc<str>, u64>,
    /// When this process was last paused, hearing nobody.
    process_paused_ms: u64,
    /// When the key-value store last failed to answer.
    pub(in crate::scheduler) store_failed_ms: Option<u64>,
}

impl FailureDetection {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.zones_silent_ms.clear();
    }
}

/// When most machines of a zone are silent, they are waited for this many
/// times as long.
const CUT_PATIENCE: f64 = 2.5;
/// A leader that hears none of its workers for so many report intervals is
/// unreachable.
const UNREACHABLE_REPORTS: f64 = 2.5;
/// Share of `cancel_s` after which a machine that shares its zone's silence is
/// returned over a cancelled task. Its lease ends before that by itself, or
/// somebody who knows of the cancellation renews it and stops the task.
const CUT_CANCEL_SHARE: f64 = 0.9;

/// How silence is judged in a zone.
struct ZoneSilence {
    /// Most of its machines are silent.
    silent: bool,
    limit_ms: u64,
    excused_ms: u64,
}

impl Scheduler {
    /// Looks after every machine and every stop that is due.
    pub(in crate::scheduler) fn check_machines(&mut self, now: Now, cloud: &mut CloudClient) {
        self.fleet.forget_released(now.ms);
        self.finished_jobs.retain(|_, until| now.ms < *until);
        self.jobs.refresh();
        let cancelled: Vec<_> = self.jobs.stopping().iter().cloned().collect();
        for id in &cancelled {
            self.enforce_cancel(now, id);
        }
        let lease_ms = self.lease_ms();
        let silent_ms = self.silent_limits(now);
        let cancel_ms = self.settings.site.workers.cancel_s * 1000.0;
        let mut give_up = self.late_boots(now);
        let mut drain = Vec::new();
        for machine in self.fleet.iter() {
            if machine.phase != MachinePhase::Up {
                continue;
            }
            let Some(zone) = silent_ms.get(&machine.offer.zone) else {
                continue;
            };
            let heard_ms = machine
                .last_heartbeat_ms
                .max(machine.lease_proxied_ms)
                .max(zone.excused_ms);
            // In an outage followers can't tell whose leases they renew, and
            // nothing could be placed anew in any case.
            let blind = self
                .failure_detection
                .store_failed_ms
                .is_some_and(|at| now.ms < at + lease_ms / 2);
            if !blind && now.ms > heard_ms + zone.limit_ms {
                give_up.push((machine.id.clone(), "silent"));
            } else if machine
                .unresponsive_since_ms
                .is_some_and(|at| now.ms > at + lease_ms)
            {
                give_up.push((machine.id.clone(), "unresponsive"));
            } else if machine.reclaim_at_ms.is_some() && !machine.tasks.is_empty() {
                drain.push(machine.id.clone());
            }
            let share = if zone.silent && now.ms > machine.last_heartbeat_ms + lease_ms / 2 {
                CUT_CANCEL_SHARE.max(self.tuning.cancel_share)
            } else {
                self.tuning.cancel_share
            };
            let overdue = machine.tasks.iter().any(|task| {
                self.jobs.get(&task.job).is_some_and(|job| {
                    job.cancelled.is_some()
                        && job
                            .assignments
                            .get(&task.index)
                            .and_then(|a| a.stop)
                            .is_some_and(|s| now.ms as f64 > s.since_ms as f64 + cancel_ms * share)
                })
            });
            // Who renews a lease for us stops cancelled tasks itself.
            let looked_after = now.ms < machine.lease_proxied_ms + lease_ms;
            if overdue && !looked_after {
                give_up.push((machine.id.clone(), "doesn't stop a cancelled task"));
            }
        }
        for (id, why) in give_up {
            if let Some(machine) = self.fleet.get_mut(&id) {
                log::info!("machine {id} given up: {why}");
                machine.phase = MachinePhase::Releasing;
            }
        }
        for id in drain {
            self.drain(now, &id);
        }
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Releasing {
                cloud.release(machine.id.clone());
            }
        }
        self.close_silent(now);
    }

    /// Silence alone changes what a machine may get: the index of rooms has to be
    /// told.
    fn close_silent(&mut self, now: Now) {
        let fresh_ms = self.fresh_ms();
        let silent = |m: &&Machine| m.is_schedulable() && !m.accepts_tasks(now.ms, fresh_ms);
        let silent: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(silent)
            .map(|m| m.id.clone())
            .collect();
        for id in &silent {
            self.fleet.get_mut(id);
        }
    }

    /// Machines that should have come up long ago; what that says of boots is
    /// learned.
    fn late_boots(&mut self, now: Now) -> Vec<(MachineId, &'static str)> {
        // A new leader may know an old machine by the list alone: it has to
        // have had time to report.
        let listen_ms = self.silence_ms();
        let late: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|m| {
                m.phase == MachinePhase::Booting && now.ms > m.last_heartbeat_ms + listen_ms
            })
            .filter(|m| {
                let usual_ms = self.usual_boot_ms(&m.offer) as f64;
                now.ms > m.provisioned_ms + (usual_ms * self.tuning.late_boots) as u64
            })
            .map(|m| m.id.clone())
            .collect();
        for id in &late {
            let Some(machine) = self.fleet.get(id).filter(|m| m.provisioned_this_term) else {
                continue;
            };
            let machine_type = machine.offer.machine_type.clone();
            let rented_ms = machine.provisioned_ms;
            let waited_s = (now.ms - rented_ms) as f64 / 1000.0;
            let nominal_s = self.nominal_boot_s(&machine_type);
            self.estimates
                .gave_up_boot(&machine_type, nominal_s, rented_ms, waited_s);
        }
        late.into_iter().map(|id| (id, "never came up")).collect()
    }

    /// How long a machine may be silent by itself.
    fn silence_ms(&self) -> u64 {
        (self.lease_ms() as f64 * self.tuning.silent_leases) as u64
    }

    /// How long a zone's machines may be silent, and until when they were all
    /// excused. When most of a zone are silent, the fault is more likely a cut
    /// or ours, and returning them all would be the worst answer. After it
    /// they come back one by one: those that are last must not be judged by
    /// the silence that all of them kept.
    fn silent_limits(&mut self, now: Now) -> BTreeMap<Rc<str>, ZoneSilence> {
        let lease_ms = self.lease_ms();
        let mut zones: BTreeMap<Rc<str>, (u32, u32)> = BTreeMap::new();
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Up {
                let (all, silent) = zones.entry(machine.offer.zone.clone()).or_default();
                *all += 1;
                *silent += u32::from(now.ms > machine.last_heartbeat_ms + lease_ms / 2);
            }
        }
        let limit_ms = self.silence_ms();
        let cut_ms = (limit_ms as f64 * CUT_PATIENCE) as u64;
        let still_ms = self.failure_detection.process_paused_ms;
        let mut limits = BTreeMap::new();
        for (zone, (all, silent)) in zones {
            let silence = if silent * 2 > all && silent > 2 {
                self.failure_detection
                    .zones_silent_ms
                    .insert(zone.clone(), now.ms);
                ZoneSilence {
                    silent: true,
                    // A controller in there renews its workers' leases for as
                    // long as it may, and what they run lives on.
                    limit_ms: if self.settings.has_controller(&zone) {
                        cut_ms.max(self.settings.max_task_survival_ms())
                    } else {
                        cut_ms
                    },
                    // Nor does silence count while followers can't store whose
                    // leases they renew, or while this process stood still.
                    excused_ms: self
                        .failure_detection
                        .store_failed_ms
                        .unwrap_or(0)
                        .max(still_ms),
                }
            } else {
                ZoneSilence {
                    silent: false,
                    limit_ms,
                    excused_ms: self
                        .failure_detection
                        .zones_silent_ms
                        .get(&zone)
                        .map_or(still_ms, |at| still_ms.max(*at)),
                }
            };
            limits.insert(zone, silence);
        }
        limits
    }

    /// Nobody was heard for a while, and that was our own fault.
    pub fn excuse_silence(&mut self, now: Now) {
        self.failure_detection.process_paused_ms = now.ms;
    }

    /// Whether none of the workers is heard that report to this leader itself
    /// (`to_us`, by zone). Those that are new to it may be on their way.
    pub fn hears_no_worker(&self, now: Now, to_us: impl Fn(&str) -> bool) -> bool {
        let patience_ms = (self.heartbeat_interval_ms() as f64 * UNREACHABLE_REPORTS) as u64;
        // Nobody can be heard by a process that stands still.
        let listening_since_ms = self
            .elected_ms
            .max(self.failure_detection.process_paused_ms);
        if !self.active() || now.ms < listening_since_ms + patience_ms {
            return false;
        }
        let mut ours = self
            .fleet
            .iter()
            .filter(|m| m.phase == MachinePhase::Up && to_us(&m.offer.zone))
            .peekable();
        ours.peek().is_some() && ours.all(|m| now.ms > m.last_heartbeat_ms + patience_ms)
    }

    /// Whether most of a zone's machines are heard, as far as it has any.
    pub fn hears_zone(&self, now: Now, zone: &str) -> bool {
        let heard_since_ms = now.ms.saturating_sub(self.lease_ms() / 2);
        let (mut all, mut heard) = (0, 0);
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Up && &*machine.offer.zone == zone {
                all += 1;
                heard += usize::from(machine.last_heartbeat_ms >= heard_since_ms);
            }
        }
        heard * 2 >= all
    }
}
