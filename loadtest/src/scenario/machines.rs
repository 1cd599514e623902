//! Machines by number. Every process derives a machine's name, type and zone from the
//! machine's number.

use super::Scenario;
use lilacfork::wire::cloud::{Catalog, MachineType};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A machine of the simulated fleet.
#[derive(Clone, PartialEq, Debug)]
pub struct Machine {
    /// The id under which the cloud and the workers' heartbeats report the machine.
    pub name: String,
    /// Index into [`Scenario::machine_types`].
    pub machine_type: usize,
    /// Index into [`Scenario::zones`].
    pub zone: usize,
}

/// An inclusive range of machine numbers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MachineRange {
    /// The lowest number in the range.
    pub first: u32,
    /// The highest number in the range.
    pub last: u32,
}

impl MachineRange {
    /// Reports whether the range includes this machine number.
    pub fn contains(&self, number: u32) -> bool {
        (self.first..=self.last).contains(&number)
    }
}

impl Scenario {
    /// Returns the number of machines: those running from the start and the spare ones.
    pub fn machine_count(&self) -> u32 {
        self.workers.count + self.workers.spare
    }

    /// Returns the machine with this number. Consecutive numbers cycle through the zones;
    /// in each zone the types occur in proportion to their weights.
    pub fn machine(&self, number: u32) -> Machine {
        let zones = self.zones.len() as u32;
        let total_weight: u32 = self.machine_types.iter().map(|ty| ty.weight).sum();
        let mut position = (number / zones) % total_weight;
        let mut machine_type = 0;
        while position >= self.machine_types[machine_type].weight {
            position -= self.machine_types[machine_type].weight;
            machine_type += 1;
        }
        Machine {
            name: format!("vm-{number:06}"),
            machine_type,
            zone: (number % zones) as usize,
        }
    }

    /// Returns the number that a machine's name holds.
    pub fn machine_number(name: &str) -> Option<u32> {
        name.strip_prefix("vm-")?.parse().ok()
    }

    /// Returns the catalog of machine types that the simulated cloud publishes.
    pub fn catalog(&self) -> Catalog {
        let zones: Vec<Rc<str>> = self
            .zones
            .iter()
            .map(|zone| Rc::from(zone.as_str()))
            .collect();
        let types = self.machine_types.iter().map(|ty| MachineType {
            name: Rc::from(ty.name.as_str()),
            cpus: ty.cpus,
            gpus: ty.gpus,
            memory_gb: ty.memory_gb,
            image_cache_gb: ty.cache_gb,
            image_pull_gb_per_s: ty.pull_gb_per_s,
            hourly_price: ty.price,
            hourly_spot_price: 0.0,
            boot_s: ty.boot_s,
            zones: zones.clone(),
        });
        Catalog {
            machine_types: types.collect(),
        }
    }
}
