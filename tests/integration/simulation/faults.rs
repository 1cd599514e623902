//! Faults that a test injects into the calls of controllers.

use lilacfork::messages::Call;

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Delivery {
    /// Is delivered, carried out and answered.
    Normal,
    /// The request never arrives; the call times out.
    RequestLost,
    /// Is carried out; the response is lost and the call times out.
    ResponseLost,
    /// The call times out; the request is carried out after so many milliseconds.
    RequestDelayed(u64),
    /// Is carried out at once; the response takes so many milliseconds longer.
    ResponseDelayed(u64),
    /// Is answered with status 503 at once and not carried out.
    Rejected,
    /// Is carried out and answered with this status and a meaningless body.
    Garbled(u16),
}

/// Decides what becomes of a call, by the time, the calling node and the call.
pub type FaultInjector = Box<dyn FnMut(u64, usize, &Call) -> Delivery>;

/// Delivers every call.
pub(super) fn no_faults() -> FaultInjector {
    Box::new(|_, _, _| Delivery::Normal)
}
