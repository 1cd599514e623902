//! Fault injection into the calls of controllers.

use lilacfork::messages::Call;

/// How a call is delivered. Responses to watches and from peers are returned without delay even if
/// the fault concerns the response.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Delivery {
    /// The call is executed and its response delivered.
    Normal,
    /// The request never arrives; the call times out.
    RequestLost,
    /// The call is executed; the response is lost and the call times out.
    ResponseLost,
    /// The call times out; the request is executed this number of milliseconds after it was sent.
    RequestDelayed(u64),
    /// The call is executed without delay; the response is delayed by this number of
    /// milliseconds.
    ResponseDelayed(u64),
    /// The call is rejected with status 503 and not executed.
    Rejected,
    /// The call is executed; the caller receives this status and a malformed body.
    MalformedResponse(u16),
}

/// Chooses the delivery of each call from the virtual time in milliseconds, the index of the
/// calling controller and the call.
pub type FaultInjector = Box<dyn FnMut(u64, usize, &Call) -> Delivery>;

/// Returns a fault injector that injects no faults.
pub(super) fn no_faults() -> FaultInjector {
    Box::new(|_, _, _| Delivery::Normal)
}
