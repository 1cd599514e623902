//! Dealings with the cloud: what to rent and return is decided elsewhere; here
//! calls are paced, repeated until clear, and boot times are learned.

use crate::ids::MachineId;
use crate::messages::{Call, CallError, CallResult, Destination, Now};
use crate::token_bucket::TokenBucket;
use crate::wire::cloud::{Catalog, ListedMachine, MachineList, MachineNames, ProvisionRequest};
use crate::wire::cloud::{CLOUD_CATALOG_PATH, CLOUD_MACHINES_PATH, CLOUD_RELEASE_PATH};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

/// The protocol's most for one call.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// The most machines of one rental (PROTOCOL).
pub const MAX_MACHINES_PER_ORDER: u32 = 50;
const LIST_PAGE: usize = 500;

/// A kind of rental: type, zone, spot or steady.
#[derive(Clone, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type's name.
    pub machine_type: Rc<str>,
    /// The zone.
    pub zone: Rc<str>,
    /// A spot machine, which may be taken back.
    pub spot: bool,
}

/// A rental that was decided and isn't answered for sure yet.
#[derive(Clone, Debug)]
pub struct ProvisionOrder {
    /// Never reused, by any node: term, counter.
    pub name: String,
    /// What is rented.
    pub offer: Offer,
    /// How many machines.
    pub count: u32,
    retry_ms: u64,
    in_flight: bool,
    unclear: bool,
}

/// Which request to the cloud an answer belongs to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CloudCall {
    /// The machine types.
    Catalog,
    /// A page of the machine list.
    List,
    /// The rental of this name.
    Provision(String),
    /// The return of these machines.
    Release(Vec<MachineId>),
}

/// What the cloud's answers tell the leader.
#[derive(Debug)]
pub enum CloudEvent {
    /// The machine types, with current prices.
    Catalog(Catalog),
    /// All machines, as of some while ago.
    Listed(Vec<ListedMachine>),
    /// Machines that were rented.
    Provisioned(Offer, Vec<MachineId>),
    /// Nothing of the kind is to be had now.
    NoCapacity(Offer),
    /// The order can't be placed now; decide anew later.
    OrderFailed(Offer),
    /// Gone with everything on them: proof.
    Released(Vec<MachineId>),
}

/// Paces the requests to the cloud and repeats them until they are clear.
pub struct CloudClient {
    bucket: TokenBucket,
    timeout_ms: u64,
    list_every_ms: u64,
    orders: Vec<ProvisionOrder>,
    releases: BTreeSet<MachineId>,
    releasing: BTreeSet<MachineId>,
    catalog_due_ms: u64,
    list_due_ms: u64,
    listing: Option<Vec<ListedMachine>>,
    list_after: Option<String>,
    in_flight: VecDeque<CloudCall>,
    /// Nothing is asked before this time: the cloud said 429 or was away.
    pause_until_ms: u64,
    failing: bool,
    leading: bool,
}

impl CloudClient {
    /// Nothing is asked yet.
    pub fn new(rps: f64, list_lag_s: f64) -> Self {
        CloudClient {
            // Followers ask for the catalogue at most, so the leader may have
            // nearly all of the rate.
            bucket: TokenBucket::new(rps * 0.85, 1.5),
            timeout_ms: 4000,
            list_every_ms: ((list_lag_s * 500.0) as u64).max(1000),
            orders: Vec::new(),
            releases: BTreeSet::new(),
            releasing: BTreeSet::new(),
            catalog_due_ms: 0,
            list_due_ms: 0,
            listing: None,
            list_after: None,
            in_flight: VecDeque::new(),
            pause_until_ms: 0,
            failing: false,
            leading: false,
        }
    }

    /// A new leader starts with a list; a deposed one forgets its plans. An
    /// unclear order may still be carried out: its machines will turn up.
    pub fn set_leading(&mut self, now: Now, leading: bool) {
        self.leading = leading;
        self.orders.clear();
        self.releases.clear();
        self.listing = None;
        self.list_after = None;
        self.list_due_ms = now.ms;
    }

    /// Asks for the machine types soon.
    pub fn want_catalog(&mut self, now: Now) {
        self.catalog_due_ms = self.catalog_due_ms.min(now.ms);
    }

    /// Whether the cloud answered its last call.
    pub fn reachable(&self) -> bool {
        !self.failing
    }

    /// Places an order; its name must never have been used.
    pub fn provision(&mut self, name: String, offer: Offer, count: u32) {
        self.orders.push(ProvisionOrder {
            name,
            offer,
            count: count.min(MAX_MACHINES_PER_ORDER),
            retry_ms: 0,
            in_flight: false,
            unclear: false,
        });
    }

    /// Machines that are ordered and not yet named.
    pub fn pending_count(&self, offer: &Offer) -> u32 {
        self.orders
            .iter()
            .filter(|o| o.offer == *offer)
            .map(|o| o.count)
            .sum()
    }

    /// The orders that aren't answered yet, with their counts.
    pub fn pending_orders(&self) -> impl Iterator<Item = (&Offer, u32)> {
        self.orders.iter().map(|o| (&o.offer, o.count))
    }

    /// Returns a machine; repeated until the cloud says 200.
    pub fn release(&mut self, machine: MachineId) {
        if !self.releasing.contains(&machine) {
            self.releases.insert(machine);
        }
    }

    /// Sends what is due, returns first, as fast as the cloud's limit allows.
    pub fn dispatch(&mut self, now: Now, mut send: impl FnMut(CloudCall, Call)) {
        if now.ms < self.pause_until_ms {
            return;
        }
        let timeout_ms = self.timeout_ms;
        let post = |path: &str, body: Vec<u8>| Call {
            target: Destination::Cloud,
            method: "POST",
            path: path.to_string(),
            body,
            timeout_ms,
        };
        let get = |path: String| Call {
            target: Destination::Cloud,
            method: "GET",
            path,
            body: Vec::new(),
            timeout_ms,
        };
        if now.ms >= self.catalog_due_ms
            && !self.in_flight.contains(&CloudCall::Catalog)
            && self.bucket.take(now, 1.0)
        {
            self.in_flight.push_back(CloudCall::Catalog);
            send(CloudCall::Catalog, get(CLOUD_CATALOG_PATH.to_string()));
        }
        if !self.leading {
            return;
        }
        // Giving machines back is proof that their tasks are gone, so it
        // comes before renting; the list is only a hint.
        while !self.releases.is_empty() && self.bucket.take(now, 1.0) {
            let names: Vec<MachineId> = self
                .releases
                .iter()
                .take(MAX_MACHINES_PER_RELEASE)
                .cloned()
                .collect();
            for name in &names {
                self.releases.remove(name);
                self.releasing.insert(name.clone());
            }
            let body = MachineNames {
                machines: names.iter().map(|m| m.to_string()).collect(),
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            send(CloudCall::Release(names), post(CLOUD_RELEASE_PATH, body));
        }
        for order in &mut self.orders {
            if order.in_flight || now.ms < order.retry_ms || !self.bucket.take(now, 1.0) {
                continue;
            }
            order.in_flight = true;
            let body = ProvisionRequest {
                request: &order.name,
                machine_type: &order.offer.machine_type,
                zone: &order.offer.zone,
                spot: order.offer.spot,
                count: order.count,
            };
            let body = serde_json::to_vec(&body).unwrap_or_default();
            send(
                CloudCall::Provision(order.name.clone()),
                post(CLOUD_MACHINES_PATH, body),
            );
        }
        if now.ms >= self.list_due_ms
            && !self.in_flight.contains(&CloudCall::List)
            && self.bucket.take(now, 1.0)
        {
            self.in_flight.push_back(CloudCall::List);
            let after = self
                .list_after
                .as_ref()
                .map(|a| format!("from={a}&"))
                .unwrap_or_default();
            send(
                CloudCall::List,
                get(format!("{}?{after}limit={LIST_PAGE}", CLOUD_MACHINES_PATH)),
            );
        }
    }

    /// When `dispatch` should be called next at the latest.
    pub fn wake_ms(&self, now: Now) -> u64 {
        let pending = !self.releases.is_empty() || self.orders.iter().any(|o| !o.in_flight);
        let next = if pending {
            now.ms + 150
        } else if self.leading {
            self.list_due_ms.min(self.catalog_due_ms)
        } else {
            self.catalog_due_ms
        };
        next.max(self.pause_until_ms).max(now.ms + 50)
    }

    /// Takes an answer in.
    pub fn answered(
        &mut self,
        now: Now,
        call: CloudCall,
        outcome: CallResult,
    ) -> Option<CloudEvent> {
        self.in_flight.retain(|c| *c != call);
        let away = match &outcome {
            Ok((429, _)) => {
                self.bucket.mark_empty(now);
                self.pause_until_ms = now.ms + 500;
                true
            }
            Ok((503, body)) => !is_no_capacity(body),
            Ok((status, _)) => *status >= 500,
            Err(_) => true,
        };
        if away && !matches!(outcome, Ok((429, _))) {
            self.failing = true;
            self.pause_until_ms = now.ms + 1000;
        } else if !away {
            self.failing = false;
        }
        match call {
            CloudCall::Catalog => self.on_catalog(now, outcome),
            CloudCall::List => self.on_list(now, outcome),
            CloudCall::Provision(name) => self.on_rent(now, &name, outcome),
            CloudCall::Release(names) => {
                for name in &names {
                    self.releasing.remove(name);
                }
                if matches!(outcome, Ok((200, _))) {
                    return Some(CloudEvent::Released(names));
                }
                // Repeating it is harmless, and only a 200 is proof.
                if self.leading {
                    self.releases.extend(names);
                }
                None
            }
        }
    }

    fn on_catalog(&mut self, now: Now, outcome: CallResult) -> Option<CloudEvent> {
        let catalog = match outcome {
            Ok((200, body)) => serde_json::from_slice::<Catalog>(&body)
                .ok()
                .and_then(Catalog::validated),
            _ => None,
        };
        // Spot prices move; the rest hardly ever does.
        let pause = if catalog.is_some() { 60_000 } else { 1000 };
        self.catalog_due_ms = now.ms + pause;
        catalog.map(CloudEvent::Catalog)
    }

    fn on_list(&mut self, now: Now, outcome: CallResult) -> Option<CloudEvent> {
        let page = match outcome {
            Ok((200, body)) => serde_json::from_slice::<MachineList>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            self.listing = None;
            self.list_after = None;
            self.list_due_ms = now.ms + 1000;
            return None;
        };
        let all = self.listing.get_or_insert_with(Vec::new);
        self.list_after = page.machines.last().map(|m| m.id.clone());
        all.extend(page.machines);
        if page.more && self.list_after.is_some() {
            self.list_due_ms = now.ms;
            return None;
        }
        self.list_after = None;
        self.list_due_ms = now.ms + self.list_every_ms;
        self.listing.take().map(CloudEvent::Listed)
    }

    fn on_rent(&mut self, now: Now, name: &str, outcome: CallResult) -> Option<CloudEvent> {
        let index = self.orders.iter().position(|o| o.name == name)?;
        match outcome {
            Ok((200, body)) => {
                let order = self.orders.swap_remove(index);
                let names: MachineNames = serde_json::from_slice(&body).ok()?;
                let names = names.machines.iter().map(|m| MachineId::new(m)).collect();
                Some(CloudEvent::Provisioned(order.offer, names))
            }
            Ok((503, body)) if is_no_capacity(&body) => {
                let order = self.orders.swap_remove(index);
                Some(CloudEvent::NoCapacity(order.offer))
            }
            Err(CallError::Indeterminate) => {
                // The same name again: it rents at most once.
                let order = &mut self.orders[index];
                order.in_flight = false;
                order.unclear = true;
                order.retry_ms = now.ms + 1000;
                None
            }
            _ if self.orders[index].unclear => {
                let order = &mut self.orders[index];
                order.in_flight = false;
                order.retry_ms = now.ms + 1000;
                None
            }
            _ => {
                let order = self.orders.swap_remove(index);
                Some(CloudEvent::OrderFailed(order.offer))
            }
        }
    }
}

fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct Error {
        error: String,
    }
    serde_json::from_slice::<Error>(body).is_ok_and(|e| e.error.contains("capacity"))
}
