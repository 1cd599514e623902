//! Faults that a test injects into the calls of controllers.

use lilacfork::messages::Call;

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fate {
    /// Is delivered, carried out and answered.
    Pass,
    /// The request never arrives; the call times out.
    LoseRequest,
    /// Is carried out; the response is lost and the call times out.
    LoseAnswer,
    /// The call times out; the request is carried out after so many milliseconds.
    Late(u64),
    /// Is carried out at once; the response takes so many milliseconds longer.
    SlowAnswer(u64),
    /// Is answered with status 503 at once and not carried out.
    Refuse,
    /// Is carried out and answered with this status and a meaningless body.
    Garble(u16),
}

/// Decides what becomes of a call, by the time, the calling node and the call.
pub type Hook = Box<dyn FnMut(u64, usize, &Call) -> Fate>;

/// Delivers every call.
pub(super) fn no_faults() -> Hook {
    Box::new(|_, _, _| Fate::Pass)
}
