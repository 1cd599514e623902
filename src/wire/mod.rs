//! The messages of users, workers, cloud, key-value store and controllers, one module
//! for each counterpart.
//!
//! This is the one place where the protocol's field names are mapped to the terms of
//! the code, by serde attributes. Names that the protocol shares with the code aren't
//! listed.
//!
//! | protocol | counterpart | term here |
//! | --- | --- | --- |
//! | `run` (`/v2/runs`) | users | job |
//! | `piece`, `pieces` | users, workers | task, tasks |
//! | `gabarit` | users | class |
//! | `equipe` | users | team |
//! | `genre`: `array`, `service`, `group` | users | kind: job array, service, gang |
//! | `rang` | users | priority |
//! | `moule`, `pullGb` | users | container image, image size |
//! | `gammes`, `gamme`, `sku` | users, workers, cloud | machine types, machine type |
//! | `secteur`, `secteurs` | all | zone, zones |
//! | `samePlace` | users | all tasks in one zone |
//! | `occasion`, `marketPrice` | all | spot instance, its price |
//! | `prevuS` | users | estimated run time |
//! | `jalonS`, `sauvegardeS` | users | checkpoint interval, time to save a checkpoint |
//! | `echeanceS` | users | deadline |
//! | `attend` | users | dependencies |
//! | `etat` | all | state or phase |
//! | `banc`, `bancs` | workers, cloud | machine, machines |
//! | `quart` | workers | agent epoch: rises each time the worker's lease expires |
//! | `numero` | workers | sequence number of a heartbeat within its epoch |
//! | `jeton` | workers | fencing token |
//! | `essai` | workers | attempt |
//! | `motif` | workers | exit reason |
//! | `preavisS` | workers | preemption notice |
//! | `consignes`, `geste`, `delaiS` | workers | commands, command, grace period |
//! | `pulling`, `flushing`, `stored` | workers | pulling the image, checkpointing, checkpointed |
//! | `halt`, `reap` | workers | stop, acknowledge an end |
//! | `rendreA` | workers | redirect to a controller |
//! | `bon`, `howMany` | cloud | provisioning order, count |
//! | `hourly`, `startupS`, `heldS` | cloud | hourly price, boot time, age |
//! | `retouche` | key-value store | mod revision of a key |
//! | `tirage` | key-value store | revision of the store |
//! | `guards`, `writes`, `set`, `drop` | key-value store | compares, write operations, put, delete |
//! | `bail` | key-value store | lease |

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod users;
pub mod workers;
