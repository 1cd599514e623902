//! What is stored in the key-value store: keys, formats, versions, and how records are
//! divided to stay below the store's limits.
//!
//! Records are below all actors: nothing here knows who reads or writes them. A
//! format that a released version has written stays readable; docs/DEPENDENCIES.md
//! has the formats of both versions that may work on one set of data.
//!
//! | key | record | written by |
//! | --- | --- | --- |
//! | `leader/key`, `leader/term` | [`leadership`] | candidates, the leader |
//! | `j/ID`, `f/ID` | [`jobs`] | any controller; the leader |
//! | `p/ID/N`, `p/ID/FIRST-LAST` | [`placements`] | the leader |
//! | `h/NODE/N` | [`lease_proxies`] | that follower |
//! | `catalog` | [`catalog`] | the leader |
//! | `learned` | [`estimates`] | the leader |

pub mod catalog;
pub mod estimates;
pub mod jobs;
pub mod leadership;
pub mod lease_proxies;
pub mod placements;
