//! Messages to and from users, workers, the cloud, the key-value store and other
//! controllers, with one module for each of these.
//!
//! Only this module maps the protocol's field names to the terms of the code, by serde
//! attributes. The table lists the mapping, except names that the protocol shares with
//! the code and names that differ only by case (`memoryGb`, `memory_gb`).
//!
//! | protocol | used with | term in the code |
//! | --- | --- | --- |
//! | `run` (`/v2/runs`, ids `run-...`), `abort` | users | job, cancellation |
//! | `pieces` | users | number of tasks |
//! | `piece`, `pieces` | workers | task, tasks |
//! | `gabarit` | users | class |
//! | `equipe` | users | team |
//! | `genre`: `array`, `service`, `group` | users | kind: job array, service, gang |
//! | `rang` | users | priority |
//! | `moule`, `pullGb` | users | container image, image size |
//! | `cacheGb`, `pullGbPerS` | cloud | size of the image cache, image pull rate |
//! | `gammes` | users, cloud | machine types: the allowed ones, all of them |
//! | `gamme` | workers, cloud | machine type |
//! | `sku` | cloud | name of a machine type |
//! | `secteur` | users, workers, cloud | zone |
//! | `secteurs` | cloud | zones |
//! | `samePlace` | users | all tasks in one zone |
//! | `occasion` | users, workers, cloud | spot instance |
//! | `hourly`, `marketPrice` | cloud | hourly price, hourly price of a spot instance |
//! | `prevuS` | users | estimated run time |
//! | `jalonS`, `sauvegardeS` | users | checkpoint interval, time to save a checkpoint |
//! | `echeanceS` | users | deadline |
//! | `attend` | users | dependencies |
//! | `etat` | users, workers, cloud | state of a job or machine, phase of a task |
//! | `beat` (`/agent/beat`) | workers | heartbeat |
//! | `banc` | workers | machine |
//! | `bancs` | cloud | machines |
//! | `quart` | workers | agent epoch: increases each time the worker's lease expires |
//! | `numero` | workers | sequence number of a heartbeat within its epoch |
//! | `jeton` | workers | fencing token |
//! | `essai` | workers | attempt |
//! | `motif` | workers | exit reason |
//! | `preavisS` | workers | preemption notice |
//! | `consignes`, `geste`, `delaiS` | workers | commands, command, grace period |
//! | `pulling`, `flushing`, `stored` | workers | pulling the image, checkpointing, checkpointed |
//! | `halt`, `reap` | workers | stop, acknowledge the end of a task |
//! | `rendreA` | workers | redirect to a controller |
//! | `bon`, `howMany` | cloud | provisioning order, count |
//! | `starting` | cloud | booting |
//! | `startupS`, `heldS` | cloud | boot time, age |
//! | `truncated` | cloud, key-value store | whether more pages follow |
//! | `rows`, `k`, `v` | key-value store | items of a page, key, value |
//! | `retouche` | key-value store | mod revision of a key |
//! | `tirage` | key-value store | revision of the store |
//! | `guards`, `writes`, `set`, `drop` | key-value store | compares, write operations, put, delete |
//! | `bail` | key-value store | lease |
//!
//! Messages between controllers are protocol buffers, whose fields are identified by
//! numbers.

pub mod cloud;
pub mod kv;
pub mod peers;
pub mod users;
pub mod workers;
