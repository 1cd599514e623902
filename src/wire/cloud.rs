//! Messages to and from the cloud: machine types, the machine list, provisioning and
//! release.

use lilacfork_common::resources::Resources;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Path of the machine types ([`Catalog`]).
pub const CLOUD_CATALOG_PATH: &str = "/catalog";
/// Path of the machine list (GET) and of provisioning orders (POST).
pub const CLOUD_MACHINES_PATH: &str = "/machines";
/// Path of the release of machines.
pub const CLOUD_RELEASE_PATH: &str = "/machines/release";

/// A type of machine that the cloud rents out.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Name by which jobs and orders refer to the type.
    #[serde(rename = "sku")]
    pub name: Rc<str>,
    /// Processor cores of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Size of a machine's container image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: f64,
    /// Rate at which a machine pulls container images, in GB per second.
    #[serde(rename = "pullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price per hour of a spot instance.
    #[serde(rename = "marketPrice", default)]
    pub hourly_spot_price: f64,
    /// Typical boot time in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// Zones in which the type is available.
    #[serde(rename = "secteurs")]
    pub zones: Vec<Rc<str>>,
}

impl MachineType {
    /// Returns the capacity of a machine of this type.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    fn is_plausible(&self) -> bool {
        let amounts = [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_cache_gb,
            self.hourly_price,
            self.hourly_spot_price,
            self.boot_s,
        ];
        let not_negative = |amount: &f64| amount.is_finite() && *amount >= 0.0;
        amounts.iter().all(not_negative) && self.image_pull_gb_per_s.is_finite()
    }
}

/// The machine types that the cloud offers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// All machine types, in the order of the cloud's response.
    #[serde(rename = "gammes")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// Returns the catalog, or `None` if it has no machine type, or if a type has a non-finite
    /// figure or a negative figure other than the pull rate.
    pub fn validated(self) -> Option<Catalog> {
        let valid = !self.machine_types.is_empty()
            && self.machine_types.iter().all(MachineType::is_plausible);
        valid.then_some(self)
    }

    /// Returns the machine type of this name.
    pub fn find(&self, name: &str) -> Option<&MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| &*machine_type.name == name)
    }
}

/// A provisioning order.
#[derive(Debug, Serialize)]
pub struct ProvisionRequest<'a> {
    /// Name of the order, which is never reused. The cloud executes orders of the same name
    /// at most once, so that an order can be retried.
    #[serde(rename = "bon")]
    pub order_name: &'a str,
    /// Name of the machine type to provision.
    #[serde(rename = "gamme")]
    pub machine_type: &'a str,
    /// Zone to provision the machines in.
    #[serde(rename = "secteur")]
    pub zone: &'a str,
    /// Whether to provision spot instances.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// Number of machines to provision.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// A list of machine names: the response to a provisioning order, or the request to release
/// machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names that the cloud gave to the machines.
    #[serde(rename = "bancs")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The machine is booting.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is running, whether or not its worker sends heartbeats.
    Running,
    /// The machine stopped without a release.
    Failed,
    /// A state that this version of lilacfork doesn't know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Name that the cloud gave to the machine.
    pub id: String,
    /// Address at which the worker accepts direct commands; may be empty.
    #[serde(default)]
    pub address: String,
    /// Name of the machine's type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Zone that the machine runs in.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// State of the machine when the cloud made the list.
    #[serde(rename = "etat")]
    pub state: ListedState,
    /// Seconds since the machine was provisioned.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's machine list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// Machines of this page, ordered by name.
    #[serde(rename = "bancs")]
    pub machines: Vec<ListedMachine>,
    /// Whether more pages follow.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
