//! What this controller knows of the job records: which jobs are unfinished,
//! which of these are cancelled, and up to which time it is sure to know all
//! cancellations.
//!
//! One poll of the changes serves every request that asks about jobs: the
//! response is at least as new as any request that arrived before the poll was
//! sent. So requests cost no calls of their own, however many arrive.
//!
//! A worker's lease may be renewed only by a controller that knows what is
//! cancelled, or that is sure that whatever it misses will end in time all the
//! same. One actor owns that knowledge: the set of cancelled jobs, and the
//! **watermark**, the time up to which every cancellation that any controller
//! confirmed to a user is in the set. The watermark moves in two ways only,
//! each dated by when the request was sent:
//!
//! - a complete read of the key-value store (a list, then the changes since);
//! - a response from every peer, each holding all that its present process has
//!   confirmed since before the last such read, numbered without a gap.
//!
//! That no controller reaches the key-value store now says nothing of what one
//! of them confirmed a second ago, so it doesn't move the watermark.

mod actor;
mod confirmation_log;
mod known_cancellations;
mod peer_logs;
mod record_reader;

pub use actor::{CancellationBounds, Cancellations};
pub use record_reader::{CancellationsKvCall, RecordStatus};
