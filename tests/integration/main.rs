//! Integration tests. All of them are compiled into one test binary, so that the
//! virtual-time simulation is built only once.

mod simulation;

mod boot_times;
mod cancellations;
mod capacity_index;
mod dependencies;
mod dependency_costs;
mod failure_attribution;
mod fault_interactions;
mod forwarding_costs;
mod http;
mod large_fleets;
mod leadership;
mod migration;
mod network_partitions;
mod observer;
mod policy;
mod provisioning;
mod randomized_faults;
mod reactor;
mod readiness;
mod replica_groups;
mod resource_limits;
mod round_slices;
mod traces;
mod unused_capacity;
mod version_compatibility;
mod write_batching;
