//! Pending capacity: machines that are ordered, booting, or unresponsive for a short
//! time. Machines of the same offer with the same free resources form one kind and are
//! counted instead of listed, so that the cost of placing a task depends on the number
//! of kinds and not on the number of pending machines.

use crate::cloud::Offer;
use crate::placement::{offer_allowed, placement_allowed, Resources, ZoneCounts};
use crate::wire::users::JobSpec;
use std::cmp::Ordering;
use std::rc::Rc;

/// The difference below which two amounts are considered equal.
const AMOUNT_TOLERANCE: f64 = 1e-6;

/// Pending machines of the same offer with the same free resources.
#[derive(Debug)]
struct PendingMachines {
    offer: Offer,
    free: Resources,
    count: u32,
}

/// All pending capacity, grouped by kind of machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct PendingCapacity {
    kinds: Vec<PendingMachines>,
}

fn same_amounts(a: &Resources, b: &Resources) -> bool {
    let same = |a: f64, b: f64| (a - b).abs() < AMOUNT_TOLERANCE;
    same(a.gpus, b.gpus) && same(a.cpus, b.cpus) && same(a.memory_gb, b.memory_gb)
}

/// Compares free resources by GPUs, then CPUs, then memory. Machines with the least free
/// resources are filled first.
fn compare_free(a: &Resources, b: &Resources) -> Ordering {
    let by_gpus = a.gpus.total_cmp(&b.gpus);
    by_gpus
        .then(a.cpus.total_cmp(&b.cpus))
        .then(a.memory_gb.total_cmp(&b.memory_gb))
}

impl PendingMachines {
    /// Returns whether these machines are in the zone and each fit a task of the job.
    fn fits_in_zone(&self, spec: &JobSpec, need: &Resources, zone: &str) -> bool {
        self.free.covers(need) && *self.offer.zone == *zone && offer_allowed(spec, &self.offer)
    }
}

impl PendingCapacity {
    /// Adds `count` machines of an offer, each with the free resources `free`.
    pub(in crate::scheduler) fn add(&mut self, offer: &Offer, free: Resources, count: u32) {
        let same_kind =
            |kind: &&mut PendingMachines| kind.offer == *offer && same_amounts(&kind.free, &free);
        match self.kinds.iter_mut().find(same_kind) {
            Some(kind) => kind.count += count,
            None => self.kinds.push(PendingMachines {
                offer: offer.clone(),
                free,
                count,
            }),
        }
    }

    /// Takes capacity for one task of a job and returns the zone of the machine, or `None`
    /// if no pending machine fits the task.
    pub(in crate::scheduler) fn take(
        &mut self,
        spec: &JobSpec,
        need: &Resources,
        zones: &ZoneCounts,
    ) -> Option<Rc<str>> {
        let fits = |kind: &&mut PendingMachines| {
            kind.count > 0 && kind.free.covers(need) && placement_allowed(spec, zones, &kind.offer)
        };
        let kind = self
            .kinds
            .iter_mut()
            .filter(fits)
            .min_by(|a, b| compare_free(&a.free, &b.free))?;
        kind.count -= 1;
        let (offer, mut free) = (kind.offer.clone(), kind.free);
        free.subtract(need);
        self.add(&offer, free, 1);
        Some(offer.zone)
    }

    /// Returns the number of pending machines in a zone that each fit a task of the job.
    pub(in crate::scheduler) fn count_fitting(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zone: &str,
    ) -> u32 {
        self.kinds
            .iter()
            .filter(|kind| kind.fits_in_zone(spec, need, zone))
            .map(|kind| kind.count)
            .sum()
    }

    /// Takes capacity for one task each on up to `limit` different pending machines in a
    /// zone. Returns the number of machines on which capacity was taken.
    pub(in crate::scheduler) fn take_on_separate_machines(
        &mut self,
        spec: &JobSpec,
        need: &Resources,
        zone: &str,
        limit: u32,
    ) -> u32 {
        let mut remaining = limit;
        let mut taken = Vec::new();
        for kind in &mut self.kinds {
            if kind.fits_in_zone(spec, need, zone) {
                let count = kind.count.min(remaining);
                kind.count -= count;
                remaining -= count;
                taken.push(PendingMachines {
                    offer: kind.offer.clone(),
                    free: kind.free,
                    count,
                });
            }
        }
        for mut machines in taken {
            machines.free.subtract(need);
            self.add(&machines.offer, machines.free, machines.count);
        }
        limit - remaining
    }

    /// Returns the number of kinds of machines.
    pub(in crate::scheduler) fn len(&self) -> usize {
        self.kinds.len()
    }
}
