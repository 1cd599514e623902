//! The cloud's API: which calls are made, at what rate, and what their responses
//! mean. Which machines to provision and release is decided elsewhere.

mod client;
mod machine_listing;
mod orders;

pub use client::CloudClient;

use crate::ids::MachineId;
use crate::wire::cloud::{Catalog, ListedMachine};
use std::rc::Rc;

/// The most machines of one order (PROTOCOL).
pub const MAX_MACHINES_PER_ORDER: u32 = 50;

/// What can be ordered: a machine type in a zone, as spot or on-demand instances.
#[derive(Clone, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type's name.
    pub machine_type: Rc<str>,
    /// The zone.
    pub zone: Rc<str>,
    /// A spot instance, which may be reclaimed.
    pub spot: bool,
}

/// Which call to the cloud a response belongs to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CloudCall {
    /// The machine types.
    Catalog,
    /// A page of the machine list.
    List,
    /// The order of this name.
    Provision(String),
    /// The release of these machines.
    Release(Vec<MachineId>),
}

/// What the cloud's responses tell the leader.
#[derive(Debug)]
pub enum CloudEvent {
    /// The machine types, with current prices.
    Catalog(Catalog),
    /// All machines; the list lags behind.
    Listed(Vec<ListedMachine>),
    /// Machines that were provisioned.
    Provisioned(Offer, Vec<MachineId>),
    /// The cloud has no capacity for this offer now.
    NoCapacity(Offer),
    /// The order can't be placed now; whether to order again is decided anew.
    OrderFailed(Offer),
    /// Released, which proves that everything on them has ended.
    Released(Vec<MachineId>),
}
