//! Orders: each is repeated under its name until its outcome is known.

use crate::cloud::{CloudEvent, Offer, MAX_MACHINES_PER_ORDER};
use crate::ids::MachineId;
use crate::messages::{CallError, CallResult, Now};
use crate::wire::cloud::{MachineNames, ProvisionRequest};

/// An order whose outcome isn't known is repeated after this time.
const RETRY_MS: u64 = 1000;

/// An order that was placed and whose outcome isn't known yet.
#[derive(Clone, Debug)]
pub(super) struct ProvisionOrder {
    /// Never reused, by any node: term, counter.
    name: String,
    offer: Offer,
    /// How many machines.
    count: u32,
    retry_ms: u64,
    in_flight: bool,
    /// A call may have been executed although it has failed.
    indeterminate: bool,
}

impl ProvisionOrder {
    /// Whether it should be sent now.
    fn is_due(&self, now: Now) -> bool {
        !self.in_flight && now.ms >= self.retry_ms
    }

    /// The same name again later: the cloud carries it out at most once.
    fn retry(&mut self, now: Now) {
        self.in_flight = false;
        self.retry_ms = now.ms + RETRY_MS;
    }

    fn request(&self) -> ProvisionRequest<'_> {
        ProvisionRequest {
            order_name: &self.name,
            machine_type: &self.offer.machine_type,
            zone: &self.offer.zone,
            spot: self.offer.spot,
            count: self.count,
        }
    }
}

/// An order's call.
pub(super) struct OrderCall {
    /// The order's name.
    pub(super) name: String,
    /// The body of the request.
    pub(super) body: Vec<u8>,
}

/// All orders whose outcome isn't known yet.
#[derive(Debug, Default)]
pub(super) struct Orders {
    orders: Vec<ProvisionOrder>,
}

impl Orders {
    /// Forgets all orders.
    pub(super) fn clear(&mut self) {
        self.orders.clear();
    }

    /// Adds an order; its name must never have been used.
    pub(super) fn add(&mut self, name: String, offer: Offer, count: u32) {
        self.orders.push(ProvisionOrder {
            name,
            offer,
            count: count.min(MAX_MACHINES_PER_ORDER),
            retry_ms: 0,
            in_flight: false,
            indeterminate: false,
        });
    }

    /// The offers that are ordered, with the numbers of machines.
    pub(super) fn pending(&self) -> impl Iterator<Item = (&Offer, u32)> {
        self.orders.iter().map(|order| (&order.offer, order.count))
    }

    /// Whether an order waits for being sent.
    pub(super) fn any_unsent(&self) -> bool {
        self.orders.iter().any(|order| !order.in_flight)
    }

    /// The calls of the orders that are due, as far as `may_send` allows.
    pub(super) fn take_due(
        &mut self,
        now: Now,
        mut may_send: impl FnMut() -> bool,
    ) -> Vec<OrderCall> {
        let mut calls = Vec::new();
        for order in &mut self.orders {
            if order.is_due(now) && may_send() {
                order.in_flight = true;
                calls.push(OrderCall {
                    name: order.name.clone(),
                    body: serde_json::to_vec(&order.request()).unwrap_or_default(),
                });
            }
        }
        calls
    }

    /// Handles the result of an order's call.
    pub(super) fn on_result(
        &mut self,
        now: Now,
        name: &str,
        outcome: CallResult,
    ) -> Option<CloudEvent> {
        let index = self.orders.iter().position(|order| order.name == name)?;
        match outcome {
            Ok((200, body)) => {
                let order = self.orders.swap_remove(index);
                let response: MachineNames = serde_json::from_slice(&body).ok()?;
                let names = response.machines.iter().map(|name| MachineId::new(name));
                Some(CloudEvent::Provisioned(order.offer, names.collect()))
            }
            Ok((503, body)) if is_no_capacity(&body) => {
                let order = self.orders.swap_remove(index);
                Some(CloudEvent::NoCapacity(order.offer))
            }
            Err(CallError::Indeterminate) => {
                let order = &mut self.orders[index];
                order.indeterminate = true;
                order.retry(now);
                None
            }
            // An earlier call may have been executed: only its repetition tells.
            _ if self.orders[index].indeterminate => {
                self.orders[index].retry(now);
                None
            }
            _ => {
                let order = self.orders.swap_remove(index);
                Some(CloudEvent::OrderFailed(order.offer))
            }
        }
    }
}

/// Whether the body of a 503 says that the cloud has no capacity for an offer;
/// otherwise the cloud itself is unavailable.
pub(super) fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: String,
    }
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|body| body.error.contains("capacity"))
}
