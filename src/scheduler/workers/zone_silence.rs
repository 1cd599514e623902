//! How silence is judged in each zone, and whether this controller hears
//! workers at all: what most machines share is not the machines' fault.

use crate::fleet::MachinePhase;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::rc::Rc;

/// When most machines of a zone are silent, they are waited for this many
/// times as long.
const PARTITION_PATIENCE: f64 = 2.5;
/// A leader that hears none of its workers for so many heartbeat intervals is
/// unreachable.
const UNREACHABLE_HEARTBEATS: f64 = 2.5;
/// Fewer silent machines never count as a zone's silence.
const MIN_SILENT_MACHINES: u32 = 3;

/// How silence is judged in a zone.
pub(super) struct ZoneSilence {
    /// Most of its machines are silent.
    pub(super) mostly_silent: bool,
    /// How long a machine may be silent.
    pub(super) limit_ms: u64,
    /// Silence before this time doesn't count.
    pub(super) excused_ms: u64,
}

/// How many machines of a zone are up, and how many of these are silent.
#[derive(Clone, Copy, Default)]
struct ZoneMachines {
    up: u32,
    silent: u32,
}

impl ZoneMachines {
    fn mostly_silent(self) -> bool {
        self.silent * 2 > self.up && self.silent >= MIN_SILENT_MACHINES
    }
}

impl Scheduler {
    /// How long a machine may be silent by itself.
    pub(super) fn silence_limit_ms(&self) -> u64 {
        (self.lease_ms() as f64 * self.tuning.silent_leases) as u64
    }

    /// How long a zone's machines may be silent, and until when they were all
    /// excused. When most of a zone are silent, the cause is more likely a
    /// network partition or a fault of this controller, and releasing them all
    /// would be the worst reaction. Afterwards they come back one by one: the
    /// last ones must not be judged by the silence that all of them shared.
    pub(super) fn zone_silences(&mut self, now: Now) -> BTreeMap<Rc<str>, ZoneSilence> {
        let counts = self.count_zone_machines(now);
        counts
            .into_iter()
            .map(|(zone, machines)| {
                let silence = if machines.mostly_silent() {
                    self.failure_detection
                        .zones_silent_ms
                        .insert(zone.clone(), now.ms);
                    self.silent_zone(&zone)
                } else {
                    self.heard_zone(&zone)
                };
                (zone, silence)
            })
            .collect()
    }

    fn count_zone_machines(&self, now: Now) -> BTreeMap<Rc<str>, ZoneMachines> {
        let silent_after_ms = self.lease_ms() / 2;
        let mut zones: BTreeMap<Rc<str>, ZoneMachines> = BTreeMap::new();
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Up {
                let counts = zones.entry(machine.offer.zone.clone()).or_default();
                let silent = now.ms > machine.last_heartbeat_ms + silent_after_ms;
                counts.up += 1;
                counts.silent += u32::from(silent);
            }
        }
        zones
    }

    /// A zone most of whose machines are silent.
    fn silent_zone(&self, zone: &str) -> ZoneSilence {
        let partition_ms = (self.silence_limit_ms() as f64 * PARTITION_PATIENCE) as u64;
        // A controller in the zone renews its workers' leases for as long as it
        // may, and what they run lives on.
        let limit_ms = if self.settings.has_controller(zone) {
            partition_ms.max(self.settings.max_task_survival_ms())
        } else {
            partition_ms
        };
        // Nor does silence count while followers can't store whose leases they
        // renew, or while this process was paused.
        let detection = &self.failure_detection;
        ZoneSilence {
            mostly_silent: true,
            limit_ms,
            excused_ms: detection
                .store_failed_ms
                .unwrap_or(0)
                .max(detection.process_paused_ms),
        }
    }

    /// A zone most of whose machines are heard.
    fn heard_zone(&self, zone: &str) -> ZoneSilence {
        let detection = &self.failure_detection;
        let zone_silent_ms = detection.zones_silent_ms.get(zone).copied();
        ZoneSilence {
            mostly_silent: false,
            limit_ms: self.silence_limit_ms(),
            excused_ms: detection.process_paused_ms.max(zone_silent_ms.unwrap_or(0)),
        }
    }

    /// Nothing was received for a while because this process was paused: the
    /// machines' silence until now doesn't count.
    pub fn on_process_paused(&mut self, now: Now) {
        self.failure_detection.process_paused_ms = now.ms;
    }

    /// Whether none of the workers is heard that report to this leader directly
    /// (`reports_here`, by zone). Those that are new to it may not have sent a
    /// heartbeat yet.
    pub fn hears_no_worker(&self, now: Now, reports_here: impl Fn(&str) -> bool) -> bool {
        let patience_ms = (self.heartbeat_interval_ms() as f64 * UNREACHABLE_HEARTBEATS) as u64;
        // A paused process can't hear anything.
        let listening_since_ms = self
            .elected_ms
            .max(self.failure_detection.process_paused_ms);
        if !self.active() || now.ms < listening_since_ms + patience_ms {
            return false;
        }
        let mut machines = self
            .fleet
            .iter()
            .filter(|machine| {
                machine.phase == MachinePhase::Up && reports_here(&machine.offer.zone)
            })
            .peekable();
        machines.peek().is_some()
            && machines.all(|machine| now.ms > machine.last_heartbeat_ms + patience_ms)
    }

    /// Whether most of a zone's machines are heard, as far as it has any.
    pub fn hears_zone(&self, now: Now, zone: &str) -> bool {
        let heard_since_ms = now.ms.saturating_sub(self.lease_ms() / 2);
        let (mut up, mut heard) = (0, 0);
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Up && &*machine.offer.zone == zone {
                up += 1;
                heard += usize::from(machine.last_heartbeat_ms >= heard_since_ms);
            }
        }
        heard * 2 >= up
    }
}
