//! Pure placement policy: on which machines a task may be placed, and how the machines
//! that fit are ranked. No state, no clock.

use crate::cloud::Offer;
use crate::wire::cloud::{Catalog, MachineType};
use crate::wire::users::JobSpec;
use std::rc::Rc;

pub use lilacfork_common::resources::Resources;

/// Rounding of decimal amounts must not rule a machine type out.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The tasks of a job that are, or may be, in one zone.
#[derive(Clone, Debug)]
struct ZoneCount {
    zone: Rc<str>,
    tasks: u32,
}

/// The zones of a job's tasks, which restrict where further ones may be placed.
#[derive(Clone, Debug, Default)]
pub struct ZoneCounts {
    counts: Vec<ZoneCount>,
}

impl ZoneCounts {
    /// Adds a task in the zone.
    pub fn add(&mut self, zone: &Rc<str>) {
        match self.counts.iter_mut().find(|count| count.zone == *zone) {
            Some(count) => count.tasks += 1,
            None => self.counts.push(ZoneCount {
                zone: zone.clone(),
                tasks: 1,
            }),
        }
    }

    /// Removes a task from the zone.
    pub fn remove(&mut self, zone: &str) {
        if let Some(count) = self.counts.iter_mut().find(|count| &*count.zone == zone) {
            count.tasks = count.tasks.saturating_sub(1);
        }
    }

    /// The number of tasks in the zone.
    pub fn count(&self, zone: &str) -> u32 {
        self.counts
            .iter()
            .find(|count| &*count.zone == zone)
            .map_or(0, |count| count.tasks)
    }

    /// Whether one more task of the job may be placed in `zone`.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        if spec.zone.as_ref().is_some_and(|only| &**only != zone) {
            return false;
        }
        let elsewhere = |count: &ZoneCount| &*count.zone != zone && count.tasks > 0;
        if spec.same_zone && self.counts.iter().any(elsewhere) {
            return false;
        }
        // A spread job has at most half of its tasks, rounded up, in one zone.
        !spec.spread || self.count(zone) < spec.tasks.div_ceil(2)
    }
}

fn machine_type_allowed(spec: &JobSpec, machine_type: &Rc<str>) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|types| types.contains(machine_type))
}

/// Whether the job allows the machine type and the purchase option; zones are checked
/// by [`ZoneCounts::allows`].
pub fn offer_allowed(spec: &JobSpec, offer: &Offer) -> bool {
    (spec.spot || !offer.spot) && machine_type_allowed(spec, &offer.machine_type)
}

/// Whether one more task of the job may be placed on a machine of this offer, given the
/// zones of its other tasks.
pub fn placement_allowed(spec: &JobSpec, zones: &ZoneCounts, offer: &Offer) -> bool {
    offer_allowed(spec, offer) && zones.allows(spec, &offer.zone)
}

/// Whether a task of the job could ever be placed on a machine of this type.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let zone_allowed = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    let fits = spec.cpus <= machine_type.cpus + ROUNDING_TOLERANCE
        && spec.gpus <= machine_type.gpus + ROUNDING_TOLERANCE
        && spec.memory_gb <= machine_type.memory_gb + ROUNDING_TOLERANCE;
    machine_type_allowed(spec, &machine_type.name) && zone_allowed && fits
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
    let fitting = catalog.machine_types.iter();
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

/// The weight of image pulls: a start that is late by a second of pulling is worse than
/// any loss of packing.
const PULL_WEIGHT: f64 = 2.0;
/// An image that is being pulled for another task.
const PULLING_IMAGE_PENALTY: f64 = 0.6;
/// An image that has to be pulled.
const COLD_IMAGE_PENALTY: f64 = 1.0;
/// Each other image that is being pulled, which shares the rate.
const CONCURRENT_PULL_PENALTY: f64 = 0.5;
/// A machine at the on-demand price.
const ON_DEMAND_PENALTY: f64 = 0.3;
/// Each task of the same job on the machine.
const SIBLING_PENALTY: f64 = 0.15;
/// Each task of the same job in the zone.
const ZONE_SIBLING_PENALTY: f64 = 0.05;
/// Further siblings make no difference.
const MAX_SIBLINGS_COUNTED: u32 = 4;

/// What ranks the machines that fit a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitScore {
    /// The machine has the image.
    pub image_cached: bool,
    /// It is pulling the image for another task.
    pub image_pulling: bool,
    /// Other images that it is pulling.
    pub concurrent_pulls: u32,
    /// It is a spot instance, and the job may use these.
    pub spot: bool,
    /// The share of it that stays free.
    pub free_share: f64,
    /// Tasks of the same job on it: replicas on one machine fail together.
    pub siblings: u32,
}

impl FitScore {
    /// The rank; smaller is better. Among equals the fullest machine is preferred, so
    /// that others become empty.
    pub fn rank(&self) -> f64 {
        let pull = if self.image_cached {
            0.0
        } else if self.image_pulling {
            PULLING_IMAGE_PENALTY
        } else {
            COLD_IMAGE_PENALTY + CONCURRENT_PULL_PENALTY * f64::from(self.concurrent_pulls)
        };
        let price = if self.spot { 0.0 } else { ON_DEMAND_PENALTY };
        let siblings = f64::from(self.siblings.min(MAX_SIBLINGS_COUNTED));
        pull * PULL_WEIGHT + price + self.free_share + SIBLING_PENALTY * siblings
    }

    /// The penalty that is added for tasks of the same job in the zone.
    pub fn zone_crowding(zone_siblings: u32) -> f64 {
        ZONE_SIBLING_PENALTY * f64::from(zone_siblings.min(MAX_SIBLINGS_COUNTED))
    }
}
