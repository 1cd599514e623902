//! Provisioning orders. Each order is retried under its name until the outcome is known.

use crate::cloud::{CloudEvent, Offer, MAX_MACHINES_PER_ORDER};
use crate::ids::MachineId;
use crate::messages::{CallError, CallResult, Now};
use crate::wire::cloud::{MachineNames, ProvisionRequest};

/// The delay before an order with an indeterminate outcome is retried.
const ORDER_RETRY_DELAY_MS: u64 = 1000;

/// A provisioning order whose outcome isn't known yet.
#[derive(Clone, Debug)]
pub(super) struct ProvisionOrder {
    /// The unique name of the order, made of the leader's term and a counter. No controller
    /// ever reuses a name.
    name: String,
    offer: Offer,
    /// The number of machines ordered.
    count: u32,
    /// The time before which the order isn't sent again.
    retry_at_ms: u64,
    in_flight: bool,
    /// Whether a call for the order failed with an indeterminate outcome, so that the cloud
    /// may have executed it.
    indeterminate: bool,
}

impl ProvisionOrder {
    /// Returns whether the order should be sent now.
    fn is_due(&self, now: Now) -> bool {
        !self.in_flight && now.ms >= self.retry_at_ms
    }

    /// Schedules the order to be sent again under the same name. The cloud executes an order
    /// with the same name at most once.
    fn retry(&mut self, now: Now) {
        self.in_flight = false;
        self.retry_at_ms = now.ms + ORDER_RETRY_DELAY_MS;
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

/// A call to the cloud that places an order.
pub(super) struct OrderCall {
    /// The name of the order, to match the result with it.
    pub(super) name: String,
    /// The serialized request body.
    pub(super) body: Vec<u8>,
}

/// The orders whose outcome isn't known yet.
#[derive(Debug, Default)]
pub(super) struct Orders {
    orders: Vec<ProvisionOrder>,
}

impl Orders {
    /// Drops all orders. Those already sent may still be executed.
    pub(super) fn clear(&mut self) {
        self.orders.clear();
    }

    /// Adds an order for at most [`MAX_MACHINES_PER_ORDER`] machines. `name` must never have
    /// been used.
    pub(super) fn add(&mut self, name: String, offer: Offer, count: u32) {
        self.orders.push(ProvisionOrder {
            name,
            offer,
            count: count.min(MAX_MACHINES_PER_ORDER),
            retry_at_ms: 0,
            in_flight: false,
            indeterminate: false,
        });
    }

    /// Returns the offer and the machine count of each order.
    pub(super) fn pending(&self) -> impl Iterator<Item = (&Offer, u32)> {
        self.orders.iter().map(|order| (&order.offer, order.count))
    }

    /// Returns whether any order has no call in flight.
    pub(super) fn any_unsent(&self) -> bool {
        self.orders.iter().any(|order| !order.in_flight)
    }

    /// Returns the calls for the orders that are due and marks these orders as in flight.
    /// Invokes `may_send` once for each order that is due, and skips the order if it returns
    /// false.
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

    /// Handles the result of an order's call. Returns `None` if the outcome is still unknown,
    /// if the order was dropped before, or if the machine names in the response are
    /// malformed.
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
            // An earlier call may have been executed. Only a retry under the same name shows
            // whether it was.
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

/// Returns whether the body of a 503 response says that the cloud has no capacity for an
/// offer. Any other body of a 503 means that the cloud itself is unavailable.
pub(super) fn is_no_capacity(body: &[u8]) -> bool {
    #[derive(serde::Deserialize)]
    struct ErrorBody {
        error: String,
    }
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|body| body.error.contains("capacity"))
}
