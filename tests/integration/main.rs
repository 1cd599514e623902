//! All integration tests in one program, so that the simulation of controllers in virtual
//! time is built once.

mod simulation;

mod boot_times;
mod cancellations;
mod capacity_index;
mod dependencies;
mod failure_attribution;
mod fault_interactions;
mod http;
mod large_fleets;
mod leadership;
mod migration;
mod network_partitions;
mod observer;
mod policy;
mod processor_costs;
mod provisioning;
mod randomized_faults;
mod reactor;
mod replica_groups;
mod resource_limits;
mod round_slices;
mod traces;
mod version_compatibility;
mod write_batching;
