//! Random fleets and jobs, and a reference implementation that scans every machine.

use lilacfork::capacity_index::{CapacityState, TaskDemand};
use lilacfork::cloud::Offer;
use lilacfork::ids::MachineId;
use lilacfork::placement::{placement_allowed, FitScore, Resources};
use lilacfork::wire::users::{JobKind, JobSpec, Priority};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub(super) const NOW_MS: u64 = 100_000;
pub(super) const MAX_HEARTBEAT_AGE_MS: u64 = 3000;
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
pub(super) const IMAGES: [&str; 3] = ["x", "y", "z"];

/// Returns the total capacity of a machine of this type.
pub(super) fn total_capacity(machine_type: &str) -> Resources {
    Resources {
        cpus: 48.0,
        gpus: if machine_type == "g8" { 8.0 } else { 4.0 },
        memory_gb: 384.0,
    }
}

/// A randomly generated machine.
#[derive(Clone, Debug)]
pub(super) struct RandomMachine {
    /// Whether the machine has eight GPUs instead of four.
    pub(super) eight_gpus: bool,
    pub(super) zone: usize,
    pub(super) spot: bool,
    /// The number of tasks on the machine, each of which uses `base_request`.
    pub(super) tasks: u32,
    /// CPUs in use beyond those of the tasks.
    pub(super) extra_cpus: f64,
    /// Which of `IMAGES` the machine has.
    pub(super) cached_images: Vec<bool>,
    /// Which of `IMAGES` the machine is pulling, unless it has them already.
    pub(super) pulling_images: Vec<bool>,
    pub(super) schedulable: bool,
    pub(super) unresponsive: bool,
}

impl RandomMachine {
    pub(super) fn state(&self) -> CapacityState {
        let machine_type = if self.eight_gpus { "g8" } else { "g4" };
        let mut unassigned = total_capacity(machine_type);
        unassigned.subtract(&base_request().scaled(f64::from(self.tasks)));
        unassigned.cpus -= self.extra_cpus;
        let selected_images = |flags: &[bool]| -> Vec<Rc<str>> {
            let images = IMAGES.iter().zip(flags);
            images
                .filter(|(_, selected)| **selected)
                .map(|(image, _)| Rc::from(*image))
                .collect()
        };
        let cached_images = selected_images(&self.cached_images);
        let mut pulling_images = selected_images(&self.pulling_images);
        pulling_images.retain(|image| !cached_images.contains(image));
        CapacityState {
            offer: Offer {
                machine_type: Rc::from(machine_type),
                zone: Rc::from(ZONES[self.zone]),
                spot: self.spot,
            },
            total: total_capacity(machine_type),
            unassigned,
            freeing: Resources::default(),
            schedulable: self.schedulable,
            occupied: self.tasks > 0,
            least_important: (self.tasks > 0).then_some(Priority::Standard),
            images: cached_images,
            pulling_images,
        }
    }

    pub(super) fn last_heartbeat_ms(&self) -> u64 {
        if self.unresponsive {
            NOW_MS - MAX_HEARTBEAT_AGE_MS
        } else {
            NOW_MS - 100
        }
    }
}

/// Returns the resources of the smallest task. Larger tasks request a multiple of them.
pub(super) fn base_request() -> Resources {
    Resources {
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 25.0,
    }
}

/// The reference implementation, which scans the free capacity of every machine, as scheduling
/// rounds did before the index existed.
pub(super) struct ReferenceScan {
    /// Each machine with the resources that the test has reserved on it.
    pub(super) machines: BTreeMap<MachineId, (RandomMachine, Resources)>,
}

impl ReferenceScan {
    /// Returns the machine's rank for a task; `None` means that the machine can't take the
    /// task. The lowest rank is the best.
    pub(super) fn rank(&self, id: &MachineId, demand: &TaskDemand) -> Option<f64> {
        let (machine, reserved) = &self.machines[id];
        let state = machine.state();
        let offer = &state.offer;
        let mut free = state.unassigned;
        free.subtract(reserved);
        let accepts = machine.schedulable && !machine.unresponsive && free.covers(demand.resources);
        if !accepts || !placement_allowed(demand.spec, demand.zones, offer) {
            return None;
        }
        free.subtract(demand.resources);
        let fit = FitScore {
            image_cached: state.images.contains(&demand.spec.image),
            image_pulling: state.pulling_images.contains(&demand.spec.image),
            concurrent_pulls: state.pulling_images.len() as u32,
            spot: offer.spot,
            free_share: free.dominant_share(&state.total),
            siblings: demand.siblings.get(id).copied().unwrap_or(0),
        };
        let service = f64::from(u32::from(demand.spec.kind == JobKind::Service));
        let failed = f64::from(u32::from((demand.failed_on)(id)));
        let zone_penalty =
            service * FitScore::zone_sibling_penalty(demand.zones.count(&offer.zone));
        Some(fit.rank() + 10.0 * failed + zone_penalty)
    }

    /// Returns the lowest rank of all machines.
    pub(super) fn best(&self, demand: &TaskDemand) -> Option<f64> {
        let ranks = self.machines.keys().filter_map(|id| self.rank(id, demand));
        ranks.min_by(f64::total_cmp)
    }
}

#[derive(Clone, Debug)]
pub(super) struct RandomJob {
    pub(super) service: bool,
    pub(super) tasks: u32,
    pub(super) spread: bool,
    pub(super) same_zone: bool,
    /// The only zone that the job allows.
    pub(super) only_zone: Option<usize>,
    /// Whether the job allows only machines with eight GPUs.
    pub(super) only_eight_gpus: bool,
    pub(super) spot: bool,
    pub(super) image: usize,
    /// The resources of a task as a multiple of `base_request`.
    pub(super) size: u32,
    /// The numbers of the machines on which the job has failed.
    pub(super) failed: BTreeSet<usize>,
}

impl RandomJob {
    pub(super) fn spec(&self) -> JobSpec {
        let mut spec = JobSpec::parse(
            br#"{"id":"run-1","gabarit":"c","equipe":"t","genre":"array","rang":"high","pieces":9,
            "cpus":4.0,"gpus":1.0,"memoryGb":25.0,"moule":"x","pullGb":6.2,"samePlace":false,
            "spread":false,"occasion":true,"prevuS":0.0,"jalonS":0.0,"sauvegardeS":0.0}"#,
        )
        .unwrap();
        spec.kind = if self.service {
            JobKind::Service
        } else {
            JobKind::Array
        };
        spec.tasks = self.tasks;
        spec.spread = self.spread;
        spec.same_zone = self.same_zone && !self.spread;
        spec.zone = self.only_zone.map(|zone| Rc::from(ZONES[zone]));
        spec.machine_types = self.only_eight_gpus.then(|| vec![Rc::from("g8")]);
        spec.spot = self.spot;
        spec.image = Rc::from(IMAGES[self.image]);
        let request = base_request().scaled(f64::from(self.size));
        (spec.cpus, spec.gpus, spec.memory_gb) = (request.cpus, request.gpus, request.memory_gb);
        spec
    }
}

pub(super) fn random_machine() -> impl Strategy<Value = RandomMachine> {
    let flags = || proptest::collection::vec(proptest::bool::weighted(0.3), IMAGES.len());
    let offer = (any::<bool>(), 0..ZONES.len(), proptest::bool::weighted(0.3));
    let usage = (0u32..5, prop_oneof![Just(0.0), 0.0..20.0]);
    let state = (proptest::bool::weighted(0.9), proptest::bool::weighted(0.1));
    (offer, usage, flags(), flags(), state).prop_map(
        |(
            (eight_gpus, zone, spot),
            (tasks, extra_cpus),
            cached_images,
            pulling_images,
            (schedulable, unresponsive),
        )| RandomMachine {
            eight_gpus,
            zone,
            spot,
            tasks,
            extra_cpus,
            cached_images,
            pulling_images,
            schedulable,
            unresponsive,
        },
    )
}

pub(super) fn random_job() -> impl Strategy<Value = RandomJob> {
    let place = (
        any::<bool>(),
        any::<bool>(),
        proptest::option::weighted(0.2, 0..ZONES.len()),
    );
    let kind = (
        any::<bool>(),
        1u32..12,
        proptest::bool::weighted(0.2),
        any::<bool>(),
    );
    let size = (0..IMAGES.len(), 1u32..4);
    let failed = proptest::collection::btree_set(0usize..16, 0..3);
    (place, kind, size, failed).prop_map(
        |(
            (spread, same_zone, only_zone),
            (service, tasks, only_eight_gpus, spot),
            (image, size),
            failed,
        )| RandomJob {
            service,
            tasks,
            spread,
            same_zone,
            only_zone,
            only_eight_gpus,
            spot,
            image,
            size,
            failed,
        },
    )
}

pub(super) fn machine_id(n: usize) -> MachineId {
    MachineId::new(&format!("vm-{n:03}"))
}
