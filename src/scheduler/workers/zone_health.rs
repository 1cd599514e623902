//! Health of whole zones, and whether this controller receives heartbeats at all. If most
//! machines of a zone are unresponsive at the same time, the cause is probably not a fault of
//! the machines.

use crate::messages::Now;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Factor by which the heartbeat timeout is extended in a zone most of whose machines are
/// unresponsive.
const PARTITION_TIMEOUT_FACTOR: f64 = 2.5;
/// A leader that receives no heartbeat from any of its workers for this many heartbeat
/// intervals is considered unreachable.
const UNREACHABLE_HEARTBEATS: f64 = 2.5;
/// Minimum number of unresponsive machines for a zone to count as mostly unresponsive.
const MIN_UNRESPONSIVE_MACHINES: u32 = 3;

/// The health of a zone, by which its machines are judged.
pub(super) struct ZoneHealth {
    /// Whether most of the zone's machines are unresponsive.
    pub(super) mostly_unresponsive: bool,
    /// Time without a heartbeat after which a machine is declared failed.
    pub(super) heartbeat_timeout_ms: u64,
    /// Earliest start of the timeout: missing heartbeats before this time don't count.
    pub(super) timeouts_start_ms: u64,
}

/// The number of machines of a zone that are expected to send heartbeats, and how many of these
/// are unresponsive.
#[derive(Clone, Copy, Default)]
struct ZoneMachines {
    expected: u32,
    unresponsive: u32,
}

impl ZoneMachines {
    fn mostly_unresponsive(self) -> bool {
        self.unresponsive * 2 > self.expected && self.unresponsive >= MIN_UNRESPONSIVE_MACHINES
    }
}

impl Scheduler {
    /// Returns the heartbeat timeout of machines in a healthy zone.
    pub(super) fn heartbeat_timeout_ms(&self) -> u64 {
        (self.lease_ms() as f64 * self.tuning.silent_leases) as u64
    }

    /// Returns the health of each zone with machines that are expected to send heartbeats. If most machines of a zone are
    /// unresponsive, the cause is more likely a network partition or a fault of this controller,
    /// and releasing all of them would do the most damage. After such a period the machines
    /// resume their heartbeats one by one, so the period isn't counted against the last ones.
    pub(super) fn assess_zones(&mut self, now: Now) -> BTreeMap<Rc<str>, ZoneHealth> {
        let counts = self.count_zone_machines(now);
        counts
            .into_iter()
            .map(|(zone, machines)| {
                let health = if machines.mostly_unresponsive() {
                    self.failure_detection
                        .zone_last_unresponsive_ms
                        .insert(zone.clone(), now.ms);
                    self.unresponsive_zone_health(&zone)
                } else {
                    self.responsive_zone_health(&zone)
                };
                (zone, health)
            })
            .collect()
    }

    fn count_zone_machines(&self, now: Now) -> BTreeMap<Rc<str>, ZoneMachines> {
        let unresponsive_after_ms = self.lease_ms() / 2;
        let mut zones: BTreeMap<Rc<str>, ZoneMachines> = BTreeMap::new();
        for machine in self.fleet.iter() {
            if machine.expects_heartbeats() {
                let counts = zones.entry(machine.offer.zone.clone()).or_default();
                let unresponsive = now.ms > machine.last_heartbeat_ms + unresponsive_after_ms;
                counts.expected += 1;
                counts.unresponsive += u32::from(unresponsive);
            }
        }
        zones
    }

    /// Returns the health of a zone most of whose machines are unresponsive.
    fn unresponsive_zone_health(&self, zone: &str) -> ZoneHealth {
        let partition_timeout_ms =
            (self.heartbeat_timeout_ms() as f64 * PARTITION_TIMEOUT_FACTOR) as u64;
        // A controller in the zone renews the leases of its workers for as long as it is
        // allowed to, so their tasks may still be running until then.
        let heartbeat_timeout_ms = if self.settings.has_controller(zone) {
            partition_timeout_ms.max(self.settings.max_task_survival_ms())
        } else {
            partition_timeout_ms
        };
        // Missing heartbeats don't count while followers can't store which leases they renew,
        // or while this process was paused.
        let detection = &self.failure_detection;
        ZoneHealth {
            mostly_unresponsive: true,
            heartbeat_timeout_ms,
            timeouts_start_ms: detection
                .last_kv_failure_ms
                .unwrap_or(0)
                .max(detection.last_process_pause_ms),
        }
    }

    /// Returns the health of a zone that isn't mostly unresponsive.
    fn responsive_zone_health(&self, zone: &str) -> ZoneHealth {
        let detection = &self.failure_detection;
        let last_unresponsive_ms = detection.zone_last_unresponsive_ms.get(zone).copied();
        ZoneHealth {
            mostly_unresponsive: false,
            heartbeat_timeout_ms: self.heartbeat_timeout_ms(),
            timeouts_start_ms: detection
                .last_process_pause_ms
                .max(last_unresponsive_ms.unwrap_or(0)),
        }
    }

    /// Restarts the heartbeat timeouts of all machines after this process was paused and couldn't
    /// receive heartbeats.
    pub fn on_process_paused(&mut self, now: Now) {
        self.failure_detection.last_process_pause_ms = now.ms;
    }

    /// Returns whether this leader receives no heartbeat from any of the workers that report to
    /// it directly. `reports_here` states for a zone whether its workers do. Returns `false` for
    /// some time after the election, because workers may not have sent a heartbeat to a new
    /// leader yet, and if there are no such workers.
    pub fn receives_no_heartbeats(&self, now: Now, reports_here: impl Fn(&str) -> bool) -> bool {
        let unreachable_after_ms =
            (self.heartbeat_interval_ms() as f64 * UNREACHABLE_HEARTBEATS) as u64;
        // A paused process receives no heartbeats.
        let receiving_since_ms = self
            .elected_ms
            .max(self.failure_detection.last_process_pause_ms);
        if !self.active() || now.ms < receiving_since_ms + unreachable_after_ms {
            return false;
        }
        let mut machines = self
            .fleet
            .iter()
            .filter(|machine| machine.expects_heartbeats() && reports_here(&machine.offer.zone))
            .peekable();
        machines.peek().is_some()
            && machines.all(|machine| now.ms > machine.last_heartbeat_ms + unreachable_after_ms)
    }

    /// Returns whether this leader has received recent heartbeats from at least half of a zone's
    /// machines that are expected to send them, or the zone has no such machines.
    pub fn receives_heartbeats_from_zone(&self, now: Now, zone: &str) -> bool {
        let recent_since_ms = now.ms.saturating_sub(self.lease_ms() / 2);
        let (mut expected, mut responsive) = (0, 0);
        for machine in self.fleet.iter() {
            if machine.expects_heartbeats() && &*machine.offer.zone == zone {
                expected += 1;
                responsive += usize::from(machine.last_heartbeat_ms >= recent_since_ms);
            }
        }
        responsive * 2 >= expected
    }
}
