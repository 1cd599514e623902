//! What found no room chooses rental rungs; machines that nobody needs go
//! back.

use crate::capacity_index::MachineCapacity;
use crate::cloud::{CloudClient, Offer, MAX_MACHINES_PER_ORDER};
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{MachineId, Term};
use crate::messages::Now;
use crate::placement::{feasible_offers, Resources, ZoneCounts};
use crate::scheduler::rounds::pending_capacity::PendingCapacity;
use crate::scheduler::rounds::round::Unplaced;
use crate::scheduler::Scheduler;
use crate::slackfit::{self, Rung};
use crate::wire::cloud::{Catalog, MachineType};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A new leader listens for so many report intervals before it rents.
const LISTEN_REPORTS: u64 = 3;

/// A boot usually takes up to so many times what is known (PROTOCOL). What
/// takes longer may take several times as long, and isn't counted on.
const USUAL_BOOTS: f64 = 1.5;
/// So many empty machines wait for work, in roots of the fleet's size.
const SPARE_ROOTS: f64 = 0.5;
/// Those beyond leave after this share of the usual time.
const SOONER: f64 = 0.25;

/// What a round rents, while that is worked out.
#[derive(Debug)]
pub(in crate::scheduler) struct ProvisionPlan {
    pub(in crate::scheduler) catalog: Rc<Catalog>,
    pub(in crate::scheduler) coming: PendingCapacity,
    /// Machines in each zone, those to be rented included.
    pub(in crate::scheduler) crowd: BTreeMap<Rc<str>, u32>,
    pub(in crate::scheduler) wanted: BTreeMap<Offer, u32>,
    /// The next in the list of what found no room.
    pub(in crate::scheduler) next: usize,
}

impl Scheduler {
    /// Begins to rent for the work that found neither free room nor room that is
    /// already coming. `None`: nothing can be rented now.
    pub(in crate::scheduler) fn begin_scale_out(
        &mut self,
        now: Now,
        cloud: &CloudClient,
    ) -> Option<ProvisionPlan> {
        let catalog = self.catalog.clone()?;
        if self.listens(now) || !cloud.reachable() {
            return None;
        }
        Some(ProvisionPlan {
            coming: self.coming(now, cloud),
            crowd: self.capacity.machines_by_zone(),
            wanted: BTreeMap::new(),
            catalog,
            next: 0,
        })
    }

    /// A new leader listens before it rents: machines may be there, or on
    /// their way, that it doesn't know of. Before the first leader ever nobody
    /// rented; once all that the list shows as running are heard, that is all.
    fn listens(&self, now: Now) -> bool {
        if now.ms >= self.elected_ms + self.heartbeat_interval_ms() * LISTEN_REPORTS {
            return false;
        }
        let unheard = |m: &Machine| m.listed_running && !m.fenced;
        self.term > Term(1) || !self.provisioning.fleet_listed || self.fleet.iter().any(unheard)
    }

    /// Orders what covers the work that neither free nor coming room holds.
    pub(in crate::scheduler) fn order(&mut self, rentals: &ProvisionPlan, cloud: &mut CloudClient) {
        for (offer, count) in &rentals.wanted {
            // One order of a kind at a time: its answer says what there is.
            if cloud.pending_count(offer) > 0 {
                continue;
            }
            self.provisioning.orders_placed += 1;
            let name = format!("lf-{}-{}", self.term, self.provisioning.orders_placed);
            log::info!(
                "rent {count} of {} in {} spot={} order={name}",
                offer.machine_type,
                offer.zone,
                offer.spot
            );
            cloud.provision(name, offer.clone(), (*count).min(MAX_MACHINES_PER_ORDER));
        }
    }

    /// Room that is on its way: machines booting, ordered, or not heard yet.
    fn coming(&mut self, now: Now, cloud: &CloudClient) -> PendingCapacity {
        let mut coming = PendingCapacity::default();
        let fresh_ms = self.fresh_ms();
        for machine in self
            .capacity
            .unschedulable()
            .filter_map(|id| self.fleet.get(id))
        {
            self.pacing.examined += 1;
            let usual_ms = (self.usual_boot_ms(&machine.offer) as f64 * USUAL_BOOTS) as u64;
            let boots = machine.phase == MachinePhase::Booting
                && now.ms < machine.provisioned_ms + usual_ms;
            // It will be back or be given up soon.
            let quiet = machine.phase == MachinePhase::Up
                && !machine.accepts_tasks(now.ms, fresh_ms)
                && machine.reclaim_at_ms.is_none()
                && !machine.faults.is_suspect()
                && now.ms < machine.last_heartbeat_ms + self.lease_ms() / 2;
            if boots || quiet {
                coming.add(&machine.offer, machine.free(), 1);
            }
        }
        for (offer, count) in cloud.pending_orders() {
            let whole = self
                .catalog
                .as_ref()
                .and_then(|c| c.find(&offer.machine_type))
                .map_or(Resources::default(), MachineType::capacity);
            coming.add(offer, whole, count);
        }
        coming
    }

    /// Covers work that found no room, by what is coming and then by rentals.
    pub(in crate::scheduler) fn cover(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        rentals: &mut ProvisionPlan,
    ) {
        if !unplaced.forecast && !self.jobs.contains(&unplaced.spec.id) {
            // It has ended since it was looked at.
            return;
        }
        if let Some(demand) = &unplaced.group {
            if self.cover_group(now, unplaced, demand, rentals) {
                return;
            }
        }
        let need = unplaced.spec.task_request();
        let mut zones = unplaced.zones.clone();
        let mut rungs: Option<Vec<Rung>> = None;
        for _ in 0..unplaced.count {
            self.count_scanned(rentals.coming.len());
            if let Some(zone) = rentals.coming.take(&unplaced.spec, &need, &zones) {
                zones.add(&zone);
                continue;
            }
            let rungs =
                rungs.get_or_insert_with(|| self.rungs(now, &unplaced.spec, &rentals.catalog));
            let Some(rung) = self.choose_rung(now, unplaced, &zones, rungs, &rentals.crowd) else {
                return;
            };
            let mut free = rentals
                .catalog
                .find(&rung.offer.machine_type)
                .map_or(Resources::default(), MachineType::capacity);
            free.subtract(&need);
            let zone = rung.offer.zone.clone();
            zones.add(&zone);
            *rentals.crowd.entry(zone).or_insert(0) += 1;
            rentals.coming.add(&rung.offer, free, 1);
            *rentals.wanted.entry(rung.offer).or_insert(0) += 1;
        }
    }

    /// The rung for one more task of the work, among those in zones where it may
    /// stand.
    pub(in crate::scheduler) fn choose_rung(
        &self,
        now: Now,
        unplaced: &Unplaced,
        zones: &ZoneCounts,
        rungs: &[Rung],
        crowd: &BTreeMap<Rc<str>, u32>,
    ) -> Option<Rung> {
        let spec = &unplaced.spec;
        let slack_ms = unplaced.deadline as i64 - now.wall as i64;
        let open = rungs.iter().filter(|r| zones.allows(spec, &r.offer.zone));
        // Among equals, the zone with the fewest machines, new ones included.
        let crowded = |rung: &Rung| Rung {
            crowd: crowd.get(&rung.offer.zone).copied().unwrap_or(0),
            ..rung.clone()
        };
        let open: Vec<Rung> = open.map(crowded).collect();
        let rung = if spec.kind == JobKind::Service {
            slackfit::cheapest(&open).cloned()
        } else {
            let buckets = slackfit::buckets(&open, self.tuning.buckets as usize);
            slackfit::choose(&buckets, slack_ms).cloned()
        }?;
        log::debug!(
            "rung for {} slack_ms={slack_ms} latency_ms={} cost={:.2} type={} zone={} spot={}",
            spec.id,
            rung.latency_ms,
            rung.cost,
            rung.offer.machine_type,
            rung.offer.zone,
            rung.offer.spot
        );
        Some(rung)
    }

    /// The rentals that could hold a task of the job and weren't refused
    /// lately.
    pub(in crate::scheduler) fn rungs(
        &self,
        now: Now,
        spec: &JobSpec,
        catalog: &Catalog,
    ) -> Vec<Rung> {
        let need = spec.task_request();
        let run_s = spec.estimated_run_s * self.estimates.bias(&spec.class);
        feasible_offers(spec, catalog)
            .into_iter()
            .filter(|(offer, ..)| self.provisioning.may_order(offer, now.ms))
            .map(|(offer, price, whole, boot_s)| {
                let boot_s = self.estimates.boot_s(&offer.machine_type, boot_s);
                Rung {
                    latency_ms: ((boot_s + run_s) * 1000.0) as u64,
                    cost: price / f64::from(whole.count_of(&need).clamp(1, 10_000)),
                    crowd: 0,
                    offer,
                }
            })
            .collect()
    }

    /// Machines that have been empty for a while and that no expected work
    /// needs go back. How much work comes and goes spreads with the root of
    /// the fleet: so many empty machines wait for it, and those beyond leave
    /// soon.
    pub(in crate::scheduler) fn scale_in(&mut self, now: Now, cloud: &mut CloudClient) {
        let mut empty: Vec<(u64, MachineId)> = self
            .fleet
            .iter()
            .filter(|m| {
                matches!(m.phase, MachinePhase::Up | MachinePhase::Draining) && m.tasks.is_empty()
            })
            .filter_map(|m| Some((m.idle_since_ms?, m.id.clone())))
            .collect();
        // Those that are empty for the shortest time stay.
        empty.sort_by(|a, b| b.cmp(a));
        let waiting = ((self.fleet.len() as f64).sqrt() * SPARE_ROOTS).ceil();
        let mut spare = 0.0;
        let mut idle = Vec::new();
        for (since, id) in empty {
            let Some(machine) = self.fleet.get(&id) else {
                continue;
            };
            let faulty = machine.faults.is_faulty();
            let emptied = machine.phase == MachinePhase::Draining;
            let room = self
                .capacity
                .slot(&id)
                .and_then(|slot| self.capacity.get(slot));
            let reserved = room.is_some_and(MachineCapacity::is_reserved);
            if !faulty && !emptied && !reserved {
                spare += 1.0;
            }
            let boots = if spare <= waiting {
                self.tuning.idle_boots
            } else {
                self.tuning.idle_boots * SOONER
            };
            let patience = (self.expected_boot_ms(&machine.offer) as f64 * boots) as u64;
            let unneeded = emptied || (!reserved && now.ms > since + patience);
            // The first minute is paid for in any case.
            if faulty || (unneeded && now.ms > machine.provisioned_ms + 60_000) {
                idle.push(id);
            }
        }
        for id in idle {
            if let Some(machine) = self.fleet.get_mut(&id) {
                log::info!("machine {id} returned, idle");
                machine.phase = MachinePhase::Releasing;
                cloud.release(id);
            }
        }
    }
}
