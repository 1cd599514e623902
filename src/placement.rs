//! Pure placement: amounts, who may stand where, and which of the fitting
//! machines is taken. No state, no clock.

use crate::cloud::Offer;
use crate::wire::cloud::{Catalog, MachineType};
use crate::wire::users::JobSpec;
use std::rc::Rc;

pub use lilacfork_common::resources::Resources;

/// Where the tasks of a job may still go, given where its others may be.
#[derive(Clone, Debug, Default)]
pub struct ZoneCounts {
    /// (zone, tasks that may be there).
    counts: Vec<(Rc<str>, u32)>,
}

impl ZoneCounts {
    /// A task stands in the zone.
    pub fn add(&mut self, zone: &Rc<str>) {
        match self.counts.iter_mut().find(|(z, _)| z == zone) {
            Some((_, n)) => *n += 1,
            None => self.counts.push((zone.clone(), 1)),
        }
    }
    /// A task leaves the zone.
    pub fn remove(&mut self, zone: &str) {
        if let Some((_, n)) = self.counts.iter_mut().find(|(z, _)| &**z == zone) {
            *n = n.saturating_sub(1);
        }
    }
    /// How many tasks stand in the zone.
    pub fn count(&self, zone: &str) -> u32 {
        self.counts
            .iter()
            .find(|(z, _)| &**z == zone)
            .map_or(0, |(_, n)| *n)
    }
    /// Whether one more task of the job may stand in `zone`.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        if spec.zone.as_ref().is_some_and(|only| &**only != zone) {
            return false;
        }
        if spec.same_zone && self.counts.iter().any(|(z, n)| &**z != zone && *n > 0) {
            return false;
        }
        // At most half of the tasks, rounded up.
        !spec.spread || self.count(zone) < spec.tasks.div_ceil(2)
    }
}

/// Type and kind of machine; the zone is `ZoneUse`'s.
pub fn offer_allowed(spec: &JobSpec, offer: &Offer) -> bool {
    (spec.spot || !offer.spot)
        && spec
            .types
            .as_ref()
            .is_none_or(|types| types.contains(&offer.machine_type))
}

/// Whether one more task of the job may stand on such a machine, given where
/// its others may be.
pub fn placement_allowed(spec: &JobSpec, zones: &ZoneCounts, offer: &Offer) -> bool {
    offer_allowed(spec, offer) && zones.allows(spec, &offer.zone)
}

/// Whether a task of the job could ever stand on a machine of this type.
pub fn fits_machine_type(spec: &JobSpec, t: &MachineType) -> bool {
    let allowed = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&t.name));
    let zone = spec
        .zone
        .as_ref()
        .is_none_or(|zone| t.zones.iter().any(|z| z == zone));
    let room = spec.cpus <= t.cpus + 1e-9
        && spec.gpus <= t.gpus + 1e-9
        && spec.memory_gb <= t.memory_gb + 1e-9;
    allowed && zone && room
}

/// A rental that could hold a task of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct FeasibleOffer {
    /// What would be rented.
    pub offer: Offer,
    /// The price per hour.
    pub hourly_price: f64,
    /// What a machine of the type holds.
    pub capacity: Resources,
    /// The boot time that the catalog states, in seconds.
    pub nominal_boot_s: f64,
}

/// Every rental that could hold a task of the job.
pub fn feasible_offers(spec: &JobSpec, catalog: &Catalog) -> Vec<FeasibleOffer> {
    let mut offers = Vec::new();
    let fitting = catalog.types.iter();
    for machine_type in fitting.filter(|t| fits_machine_type(spec, t)) {
        let zones = machine_type.zones.iter();
        for zone in zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone)) {
            for spot in [true, false] {
                if spot && (!spec.spot || machine_type.hourly_spot_price <= 0.0) {
                    continue;
                }
                offers.push(FeasibleOffer {
                    offer: Offer {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    },
                    hourly_price: if spot {
                        machine_type.hourly_spot_price
                    } else {
                        machine_type.hourly_price
                    },
                    capacity: machine_type.capacity(),
                    nominal_boot_s: machine_type.boot_s,
                });
            }
        }
    }
    offers
}

/// What the choice between fitting machines looks at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitScore {
    /// Image there already.
    pub image_cached: bool,
    /// Image on its way for another task.
    pub image_pulling: bool,
    /// Other images being fetched, which share the rate.
    pub concurrent_pulls: u32,
    /// The machine is cheap and the job may use it.
    pub spot: bool,
    /// Share of the machine that stays free.
    pub free_share: f64,
    /// Tasks of the same job there already: replicas fall together.
    pub siblings: u32,
}

impl FitScore {
    /// Smaller is better. Late work for a second of fetching is worse than
    /// any packing; among equals, full machines fill up so that others empty.
    pub fn rank(&self) -> f64 {
        let fetch = if self.image_cached {
            0.0
        } else if self.image_pulling {
            0.6
        } else {
            1.0 + 0.5 * f64::from(self.concurrent_pulls)
        };
        let dear = if self.spot { 0.0 } else { 0.3 };
        fetch * 2.0 + dear + self.free_share + 0.15 * f64::from(self.siblings.min(4))
    }

    /// What is added for tasks of the same job in the zone already.
    pub fn zone_crowding(zone_siblings: u32) -> f64 {
        0.05 * f64::from(zone_siblings.min(4))
    }
}
