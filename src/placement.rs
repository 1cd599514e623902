//! Placement policy: determines on which machines a task may be placed, and ranks the
//! machines that fit. The policy keeps no state and reads no clock.

use crate::cloud::Offer;
use crate::wire::cloud::{Catalog, MachineType};
use crate::wire::users::JobSpec;
use std::rc::Rc;

pub use lilacfork_common::resources::Resources;

/// Tolerance for rounding errors, which must not rule out a machine type.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The number of a job's tasks that are, or may be, in one zone.
#[derive(Clone, Debug)]
struct ZoneCount {
    zone: Rc<str>,
    tasks: u32,
}

/// The number of a job's tasks in each zone, which restricts the placement of further
/// tasks.
#[derive(Clone, Debug, Default)]
pub struct ZoneCounts {
    counts: Vec<ZoneCount>,
}

impl ZoneCounts {
    /// Counts one more task in the zone.
    pub fn add(&mut self, zone: &Rc<str>) {
        match self.counts.iter_mut().find(|count| count.zone == *zone) {
            Some(count) => count.tasks += 1,
            None => self.counts.push(ZoneCount {
                zone: zone.clone(),
                tasks: 1,
            }),
        }
    }

    /// Counts one task less in the zone.
    pub fn remove(&mut self, zone: &str) {
        if let Some(count) = self.counts.iter_mut().find(|count| &*count.zone == zone) {
            count.tasks = count.tasks.saturating_sub(1);
        }
    }

    /// Returns the number of the job's tasks in the zone.
    pub fn count(&self, zone: &str) -> u32 {
        self.counts
            .iter()
            .find(|count| &*count.zone == zone)
            .map_or(0, |count| count.tasks)
    }

    /// Returns whether one more task of the job may be placed in `zone`.
    pub fn allows(&self, spec: &JobSpec, zone: &str) -> bool {
        if spec.zone.as_ref().is_some_and(|only| &**only != zone) {
            return false;
        }
        let elsewhere = |count: &ZoneCount| &*count.zone != zone && count.tasks > 0;
        if spec.same_zone && self.counts.iter().any(elsewhere) {
            return false;
        }
        // At most half of a spread job's tasks, rounded up, are placed in one zone.
        !spec.spread || self.count(zone) < spec.tasks.div_ceil(2)
    }
}

fn machine_type_allowed(spec: &JobSpec, machine_type: &Rc<str>) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|types| types.contains(machine_type))
}

/// Returns whether the job allows the offer's machine type and purchase option.
/// [`ZoneCounts::allows`] checks the zone.
pub fn offer_allowed(spec: &JobSpec, offer: &Offer) -> bool {
    (spec.spot || !offer.spot) && machine_type_allowed(spec, &offer.machine_type)
}

/// Returns whether one more task of the job may be placed on a machine of this offer, given
/// the zones of the job's other tasks.
pub fn placement_allowed(spec: &JobSpec, zones: &ZoneCounts, offer: &Offer) -> bool {
    offer_allowed(spec, offer) && zones.allows(spec, &offer.zone)
}

/// Returns whether a task of the job fits an empty machine of this type in an allowed zone.
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

/// An offer whose machines fit a task of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct FeasibleOffer {
    /// The machine type, zone and purchase option.
    pub offer: Offer,
    /// The price per hour for the offer's purchase option, from the catalog.
    pub hourly_price: f64,
    /// The total resources of a machine of the type.
    pub capacity: Resources,
    /// The boot time stated in the catalog, in seconds.
    pub nominal_boot_s: f64,
}

/// Returns every offer in the catalog whose machines fit a task of the job. Spot offers are
/// included only if the job allows spot instances and the type has a spot price.
pub fn feasible_offers(spec: &JobSpec, catalog: &Catalog) -> Vec<FeasibleOffer> {
    let mut offers = Vec::new();
    let machine_types = catalog.machine_types.iter();
    for machine_type in machine_types.filter(|candidate| fits_machine_type(spec, candidate)) {
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

/// The weight of image pulls in the rank. It is high because a start that an image pull
/// delays by a second is worse than any loss in packing density.
const PULL_WEIGHT: f64 = 2.0;
/// Penalty for an image that is already being pulled for another task.
const PULLING_IMAGE_PENALTY: f64 = 0.6;
/// Penalty for an image that has to be pulled.
const COLD_IMAGE_PENALTY: f64 = 1.0;
/// Penalty for each other image that is being pulled, because concurrent pulls share the
/// machine's pull rate.
const CONCURRENT_PULL_PENALTY: f64 = 0.5;
/// Penalty for an on-demand instance, which costs more than a spot instance.
const ON_DEMAND_PENALTY: f64 = 0.3;
/// Penalty for each task of the same job on the machine.
const SIBLING_PENALTY: f64 = 0.15;
/// Penalty for each task of the same job in the zone.
const ZONE_SIBLING_PENALTY: f64 = 0.05;
/// The number of tasks of the same job beyond which further ones add no penalty.
const MAX_SIBLINGS_COUNTED: u32 = 4;

/// The properties of a machine that determine its rank for a task that fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FitScore {
    /// Whether the machine has the task's image in its cache.
    pub image_cached: bool,
    /// Whether the machine is pulling the image for another task.
    pub image_pulling: bool,
    /// The number of other images that the machine is pulling.
    pub concurrent_pulls: u32,
    /// Whether the machine is a spot instance. The job must allow these.
    pub spot: bool,
    /// The share of the machine that the task would leave free.
    pub free_share: f64,
    /// The number of tasks of the same job on the machine. Replicas on one machine fail
    /// together.
    pub siblings: u32,
}

impl FitScore {
    /// Returns the rank; smaller is better. Among otherwise equal machines the fullest is
    /// preferred, so that other machines become empty.
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

    /// Returns the penalty to add to the rank for tasks of the same job in the zone.
    pub fn zone_sibling_penalty(zone_siblings: u32) -> f64 {
        ZONE_SIBLING_PENALTY * f64::from(zone_siblings.min(MAX_SIBLINGS_COUNTED))
    }
}
