//! Tracks job cancellations: which jobs are unfinished, which of these are cancelled, and
//! up to which time this controller knows all cancellations.
//!
//! One poll of the changes serves all pending requests about jobs: its response is at
//! least as new as any request that arrived before the poll was sent. The number of calls
//! therefore doesn't grow with the number of requests.
//!
//! A controller may renew a worker's lease only if it knows which jobs are cancelled, or
//! if any task of a cancelled job that it doesn't know of will still stop in time. One
//! actor owns the set of cancelled jobs and the **watermark**: the time up to which every
//! cancellation that any controller confirmed to a user is in the set. Two events advance
//! the watermark, each to the time at which the request was sent:
//!
//! - a complete read of the key-value store (a list, then the changes since);
//! - a response from every peer, where each response holds all cancellations that the
//!   peer's current process has confirmed since before the last complete read, numbered
//!   without a gap.
//!
//! While a controller can't reach the key-value store, its watermark advances only if every
//! peer responds: a peer that doesn't respond may have confirmed a cancellation just before
//! it lost the connection. This also holds if no controller reaches the store: such an
//! outage doesn't show what one of them confirmed just before, so it doesn't advance the
//! watermark. Without peers, the watermark advances with the clock once the first read is
//! complete, because this controller confirms every cancellation itself.

mod actor;
mod confirmation_log;
mod known_cancellations;
mod peer_logs;
mod record_reader;

pub use actor::{CancellationBounds, Cancellations};
pub use record_reader::{CancellationsKvCall, RecordStatus};
