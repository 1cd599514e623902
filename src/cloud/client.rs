//! The cloud client. It limits the rate of calls to the cloud and retries each call until
//! the outcome is known.

use crate::cloud::machine_listing::MachineListing;
use crate::cloud::orders::{is_no_capacity, Orders};
use crate::cloud::{CloudCall, CloudEvent, Offer};
use crate::ids::MachineId;
use crate::messages::{Call, CallResult, Destination, Now};
use crate::token_bucket::TokenBucket;
use crate::wire::cloud::{Catalog, MachineList, MachineNames};
use crate::wire::cloud::{CLOUD_CATALOG_PATH, CLOUD_MACHINES_PATH, CLOUD_RELEASE_PATH};
use std::collections::{BTreeSet, VecDeque};

/// The maximum number of machines in one release request, set by the cloud's API.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// The leader's share of the cloud's request rate. Followers read nothing but the catalog.
const LEADER_RATE_SHARE: f64 = 0.85;
/// The time over which unused request rate accumulates, in seconds.
const BURST_S: f64 = 1.5;
/// The time after which an unanswered call fails.
const CALL_TIMEOUT_MS: u64 = 4000;
/// The number of times that the machine list is read within its maximum lag.
const LISTS_PER_LAG: f64 = 2.0;
/// The minimum time between two reads of the machine list.
const MIN_LIST_INTERVAL_MS: u64 = 1000;
/// The time between two reads of the catalog. Spot prices change often, and the rest of the
/// catalog rarely.
const CATALOG_INTERVAL_MS: u64 = 60_000;
/// The delay before a failed read of the catalog or the machine list is retried.
const READ_RETRY_DELAY_MS: u64 = 1000;
/// The pause in sending after the cloud has rejected a call because of its rate limit.
const RATE_LIMIT_PAUSE_MS: u64 = 500;
/// The pause in sending after the cloud was unavailable.
const UNAVAILABLE_PAUSE_MS: u64 = 1000;
/// The time after which [`CloudClient::dispatch`] runs again while releases or orders are
/// unsent.
const PENDING_WAKE_INTERVAL_MS: u64 = 150;
/// The minimum time until [`CloudClient::dispatch`] runs again.
const MIN_WAKE_INTERVAL_MS: u64 = 50;

/// The state of the cloud that follows from a call's result.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum CloudHealth {
    Available,
    RateLimited,
    Unavailable,
}

impl CloudHealth {
    fn of(outcome: &CallResult) -> CloudHealth {
        match outcome {
            Ok((429, _)) => CloudHealth::RateLimited,
            Ok((503, body)) if is_no_capacity(body) => CloudHealth::Available,
            Ok((status, _)) if *status < 500 => CloudHealth::Available,
            Ok(_) | Err(_) => CloudHealth::Unavailable,
        }
    }
}

/// Sends calls to the cloud within its rate limit and retries each call until the outcome
/// is known.
pub struct CloudClient {
    bucket: TokenBucket,
    list_interval_ms: u64,
    orders: Orders,
    /// Machines whose release is unsent.
    releases: BTreeSet<MachineId>,
    /// Machines whose release is in flight.
    releasing: BTreeSet<MachineId>,
    catalog_due_ms: u64,
    list_due_ms: u64,
    listing: MachineListing,
    /// The reads in flight.
    in_flight: VecDeque<CloudCall>,
    /// The time before which nothing is sent, because the cloud has rejected a call or was
    /// unavailable.
    pause_until_ms: u64,
    unavailable: bool,
    leading: bool,
}

impl CloudClient {
    /// Creates a client. `rps` is the cloud's rate limit in requests per second, and
    /// `list_lag_s` the maximum lag of the machine list in seconds.
    pub fn new(rps: f64, list_lag_s: f64) -> Self {
        let list_interval_ms = (list_lag_s * (1000.0 / LISTS_PER_LAG)) as u64;
        CloudClient {
            bucket: TokenBucket::new(rps * LEADER_RATE_SHARE, BURST_S),
            list_interval_ms: list_interval_ms.max(MIN_LIST_INTERVAL_MS),
            orders: Orders::default(),
            releases: BTreeSet::new(),
            releasing: BTreeSet::new(),
            catalog_due_ms: 0,
            list_due_ms: 0,
            listing: MachineListing::default(),
            in_flight: VecDeque::new(),
            pause_until_ms: 0,
            unavailable: false,
            leading: false,
        }
    }

    /// Sets whether this controller is the leader, and drops all orders and releases. A new
    /// leader begins by reading the machine list. An order of a former leader whose outcome
    /// isn't known may still be executed, in which case its machines appear in the list.
    pub fn set_leading(&mut self, now: Now, leading: bool) {
        self.leading = leading;
        self.orders.clear();
        self.releases.clear();
        self.listing.reset();
        self.list_due_ms = now.ms;
    }

    /// Returns whether the cloud was available at the last call that wasn't rate-limited.
    pub fn reachable(&self) -> bool {
        !self.unavailable
    }

    /// Places a provisioning order for `count` machines. `name` must never have been used.
    pub fn provision(&mut self, name: String, offer: Offer, count: u32) {
        self.orders.add(name, offer, count);
    }

    /// Returns the number of machines of an offer in orders whose outcome isn't known.
    pub fn pending_count(&self, offer: &Offer) -> u32 {
        self.pending_orders()
            .filter(|(pending, _)| *pending == offer)
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns the offers and machine counts of the orders whose outcome isn't known.
    pub fn pending_orders(&self) -> impl Iterator<Item = (&Offer, u32)> {
        self.orders.pending()
    }

    /// Queues the release of a machine. The call is retried until the cloud responds with 200.
    pub fn release(&mut self, machine: MachineId) {
        if !self.releasing.contains(&machine) {
            self.releases.insert(machine);
        }
    }

    /// Sends all calls that are due, within the cloud's rate limit.
    pub fn dispatch(&mut self, now: Now, mut send: impl FnMut(CloudCall, Call)) {
        if now.ms < self.pause_until_ms {
            return;
        }
        if self.may_read(now, self.catalog_due_ms, &CloudCall::Catalog) {
            self.in_flight.push_back(CloudCall::Catalog);
            send(CloudCall::Catalog, get(CLOUD_CATALOG_PATH.to_string()));
        }
        if !self.leading {
            return;
        }
        // Releases come first, because a confirmed release proves that the machine's tasks
        // have ended. The list comes last, because its information may be out of date.
        self.send_releases(now, &mut send);
        let bucket = &mut self.bucket;
        for order in self.orders.take_due(now, || bucket.take(now, 1.0)) {
            let call = post(CLOUD_MACHINES_PATH, order.body);
            send(CloudCall::Provision(order.name), call);
        }
        if self.may_read(now, self.list_due_ms, &CloudCall::List) {
            self.in_flight.push_back(CloudCall::List);
            send(CloudCall::List, get(self.listing.next_path()));
        }
    }

    /// Returns whether a read that is due at `due_ms` may be sent now. If so, takes a token
    /// from the token bucket.
    fn may_read(&mut self, now: Now, due_ms: u64, call: &CloudCall) -> bool {
        now.ms >= due_ms && !self.in_flight.contains(call) && self.bucket.take(now, 1.0)
    }

    fn send_releases(&mut self, now: Now, send: &mut impl FnMut(CloudCall, Call)) {
        while !self.releases.is_empty() && self.bucket.take(now, 1.0) {
            let batch = self.releases.iter().take(MAX_MACHINES_PER_RELEASE);
            let machines: Vec<MachineId> = batch.cloned().collect();
            for machine in &machines {
                self.releases.remove(machine);
                self.releasing.insert(machine.clone());
            }
            let names = MachineNames {
                machines: machines.iter().map(MachineId::to_string).collect(),
            };
            let body = serde_json::to_vec(&names).unwrap_or_default();
            send(CloudCall::Release(machines), post(CLOUD_RELEASE_PATH, body));
        }
    }

    /// Returns the time at which `dispatch` should be called next, at the latest.
    pub fn next_wake_ms(&self, now: Now) -> u64 {
        let pending = !self.releases.is_empty() || self.orders.any_unsent();
        let next_ms = if pending {
            now.ms + PENDING_WAKE_INTERVAL_MS
        } else if self.leading {
            self.list_due_ms.min(self.catalog_due_ms)
        } else {
            self.catalog_due_ms
        };
        next_ms
            .max(self.pause_until_ms)
            .max(now.ms + MIN_WAKE_INTERVAL_MS)
    }

    /// Handles the result of a call. Returns an event if the result concerns the scheduler.
    pub fn on_result(
        &mut self,
        now: Now,
        call: CloudCall,
        outcome: CallResult,
    ) -> Option<CloudEvent> {
        self.in_flight.retain(|in_flight| *in_flight != call);
        self.update_health(now, CloudHealth::of(&outcome));
        match call {
            CloudCall::Catalog => self.on_catalog(now, outcome),
            CloudCall::List => self.on_list(now, outcome),
            CloudCall::Provision(name) => self.orders.on_result(now, &name, outcome),
            CloudCall::Release(machines) => self.on_release(machines, &outcome),
        }
    }

    fn update_health(&mut self, now: Now, health: CloudHealth) {
        match health {
            CloudHealth::Available => self.unavailable = false,
            CloudHealth::RateLimited => {
                self.bucket.discard_available(now);
                self.pause_until_ms = now.ms + RATE_LIMIT_PAUSE_MS;
            }
            CloudHealth::Unavailable => {
                self.unavailable = true;
                self.pause_until_ms = now.ms + UNAVAILABLE_PAUSE_MS;
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
        let pause_ms = if catalog.is_some() {
            CATALOG_INTERVAL_MS
        } else {
            READ_RETRY_DELAY_MS
        };
        self.catalog_due_ms = now.ms + pause_ms;
        catalog.map(CloudEvent::Catalog)
    }

    fn on_list(&mut self, now: Now, outcome: CallResult) -> Option<CloudEvent> {
        let page = match outcome {
            Ok((200, body)) => serde_json::from_slice::<MachineList>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            self.listing.reset();
            self.list_due_ms = now.ms + READ_RETRY_DELAY_MS;
            return None;
        };
        let machines = self.listing.add_page(page);
        let pause_ms = machines.as_ref().map_or(0, |_| self.list_interval_ms);
        self.list_due_ms = now.ms + pause_ms;
        machines.map(CloudEvent::Listed)
    }

    fn on_release(&mut self, machines: Vec<MachineId>, outcome: &CallResult) -> Option<CloudEvent> {
        for machine in &machines {
            self.releasing.remove(machine);
        }
        if matches!(outcome, Ok((200, _))) {
            return Some(CloudEvent::Released(machines));
        }
        // Only a 200 proves the release, and releasing a machine twice is harmless.
        if self.leading {
            self.releases.extend(machines);
        }
        None
    }
}

fn post(path: &str, body: Vec<u8>) -> Call {
    Call {
        destination: Destination::Cloud,
        method: "POST",
        path: path.to_string(),
        body,
        timeout_ms: CALL_TIMEOUT_MS,
    }
}

fn get(path: String) -> Call {
    Call {
        destination: Destination::Cloud,
        method: "GET",
        path,
        body: Vec::new(),
        timeout_ms: CALL_TIMEOUT_MS,
    }
}
