//! Room that is on its way: machines booting, ordered, or not heard yet. Machines
//! of a kind with the same free are counted and not listed, so that what a task
//! costs follows from the kinds, and not from how many machines are coming.

use crate::cloud::Offer;
use crate::placement::{offer_allowed, placement_allowed, Resources, ZoneCounts};
use crate::wire::users::JobSpec;
use std::cmp::Ordering;
use std::rc::Rc;

/// Amounts that differ by less are the same.
const SLOP: f64 = 1e-6;

/// Machines that are alike.
#[derive(Debug)]
struct PendingMachines {
    offer: Offer,
    free: Resources,
    count: u32,
}

/// All room that is on its way.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct PendingCapacity {
    kinds: Vec<PendingMachines>,
}

fn same(a: &Resources, b: &Resources) -> bool {
    let near = |a: f64, b: f64| (a - b).abs() < SLOP;
    near(a.gpus, b.gpus) && near(a.cpus, b.cpus) && near(a.memory_gb, b.memory_gb)
}

/// Machines with the least free are filled up first.
fn fuller(a: &Resources, b: &Resources) -> Ordering {
    let by_gpus = a.gpus.total_cmp(&b.gpus);
    by_gpus
        .then(a.cpus.total_cmp(&b.cpus))
        .then(a.memory_gb.total_cmp(&b.memory_gb))
}

impl PendingMachines {
    /// Whether each of these machines holds a task of the job and is in this zone.
    fn holds_in(&self, spec: &JobSpec, need: &Resources, zone: &str) -> bool {
        self.free.covers(need) && *self.offer.zone == *zone && offer_allowed(spec, &self.offer)
    }
}

impl PendingCapacity {
    /// So many machines with this much free are coming.
    pub(in crate::scheduler) fn add(&mut self, offer: &Offer, free: Resources, count: u32) {
        let like = |kind: &&mut PendingMachines| kind.offer == *offer && same(&kind.free, &free);
        match self.kinds.iter_mut().find(like) {
            Some(kind) => kind.count += count,
            None => self.kinds.push(PendingMachines {
                offer: offer.clone(),
                free,
                count,
            }),
        }
    }

    /// Takes room for one task of a job; tells in which zone. `None`: nothing that
    /// is coming holds it.
    pub(in crate::scheduler) fn take(
        &mut self,
        spec: &JobSpec,
        need: &Resources,
        zones: &ZoneCounts,
    ) -> Option<Rc<str>> {
        let holds = |kind: &&mut PendingMachines| {
            kind.free.covers(need) && placement_allowed(spec, zones, &kind.offer)
        };
        let fitting = self.kinds.iter_mut().filter(|kind| kind.count > 0);
        let kind = fitting
            .filter(holds)
            .min_by(|a, b| fuller(&a.free, &b.free))?;
        kind.count -= 1;
        let (offer, mut left) = (kind.offer.clone(), kind.free);
        left.subtract(need);
        self.add(&offer, left, 1);
        Some(offer.zone)
    }

    /// How many machines that are coming to a zone each hold a task of the job.
    pub(in crate::scheduler) fn fitting(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zone: &str,
    ) -> u32 {
        let fitting = self.kinds.iter();
        let fitting = fitting.filter(|kind| kind.holds_in(spec, need, zone));
        fitting.map(|kind| kind.count).sum()
    }

    /// Takes room for a task each on up to so many different machines that are
    /// coming to a zone. Tells how many there were.
    pub(in crate::scheduler) fn take_apart(
        &mut self,
        spec: &JobSpec,
        need: &Resources,
        zone: &str,
        most: u32,
    ) -> u32 {
        let mut left = most;
        let mut taken = Vec::new();
        for kind in &mut self.kinds {
            if kind.holds_in(spec, need, zone) {
                let count = kind.count.min(left);
                kind.count -= count;
                left -= count;
                taken.push((kind.offer.clone(), kind.free, count));
            }
        }
        for (offer, mut free, count) in taken {
            free.subtract(need);
            self.add(&offer, free, count);
        }
        most - left
    }

    /// How many kinds there are.
    pub(in crate::scheduler) fn len(&self) -> usize {
        self.kinds.len()
    }
}
