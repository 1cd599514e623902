//! Access to the cloud's API: sends calls, limits their rate and interprets their
//! responses. The scheduler decides which machines to provision and release.

mod client;
mod machine_listing;
mod orders;

pub use client::CloudClient;

use crate::ids::MachineId;
use crate::wire::cloud::{Catalog, ListedMachine};
use std::rc::Rc;

/// The maximum number of machines in one provisioning order, set by the cloud's API.
pub const MAX_MACHINES_PER_ORDER: u32 = 50;

/// A kind of machine that can be provisioned: a machine type in a zone, as a spot or an
/// on-demand instance.
#[derive(Clone, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Offer {
    /// The name of the machine type in the catalog.
    pub machine_type: Rc<str>,
    /// The zone in which the machine is provisioned.
    pub zone: Rc<str>,
    /// Whether the machine is a spot instance, which the cloud may reclaim. Otherwise it is
    /// an on-demand instance.
    pub spot: bool,
}

/// A call to the cloud, by which its response is matched.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CloudCall {
    /// Reads the catalog of machine types.
    Catalog,
    /// Reads the next page of the machine list.
    List,
    /// Places the provisioning order with this name.
    Provision(String),
    /// Releases these machines.
    Release(Vec<MachineId>),
}

/// An event for the scheduler that follows from a response of the cloud.
#[derive(Debug)]
pub enum CloudEvent {
    /// The catalog of machine types was read, with current prices.
    Catalog(Catalog),
    /// The machine list was read completely. It may be out of date.
    Listed(Vec<ListedMachine>),
    /// These machines of the offer were provisioned.
    Provisioned(Offer, Vec<MachineId>),
    /// The cloud has no capacity for this offer now.
    NoCapacity(Offer),
    /// The order for this offer failed without effect. It isn't retried; the scheduler
    /// decides whether to place a new one.
    OrderFailed(Offer),
    /// The cloud has confirmed the release of these machines, which proves that all tasks on
    /// them have ended.
    Released(Vec<MachineId>),
}
