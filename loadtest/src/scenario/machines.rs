//! Machines by number: every process derives a machine's name, type and zone from
//! its number.

use super::Scenario;
use lilacfork::wire::cloud::{Catalog, MachineType};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A machine of the fleet.
#[derive(Clone, PartialEq, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Index of its type.
    pub machine_type: usize,
    /// Index of its zone.
    pub zone: usize,
}

/// Machines with consecutive numbers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MachineRange {
    /// The first machine's number.
    pub first: u32,
    /// The last machine's number.
    pub last: u32,
}

impl MachineRange {
    /// Whether the machine with this number is among them.
    pub fn contains(&self, number: u32) -> bool {
        (self.first..=self.last).contains(&number)
    }
}

impl Scenario {
    /// All machines that may ever be up.
    pub fn machine_count(&self) -> u32 {
        self.workers.count + self.workers.spare
    }

    /// The machine with this number.
    pub fn machine(&self, number: u32) -> Machine {
        let zones = self.zones.len() as u32;
        let total: u32 = self.machine_types.iter().map(|ty| ty.weight).sum();
        let mut rest = (number / zones) % total;
        let mut machine_type = 0;
        while rest >= self.machine_types[machine_type].weight {
            rest -= self.machine_types[machine_type].weight;
            machine_type += 1;
        }
        Machine {
            name: format!("vm-{number:06}"),
            machine_type,
            zone: (number % zones) as usize,
        }
    }

    /// The number in a machine's name.
    pub fn machine_number(name: &str) -> Option<u32> {
        name.strip_prefix("vm-")?.parse().ok()
    }

    /// The cloud's machine types.
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
            image_pull_gb_per_s: ty.fetch_gb_per_s,
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
