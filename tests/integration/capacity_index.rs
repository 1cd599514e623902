//! The capacity index against a plain reference that looks at every machine, on random
//! small fleets; and the cost of a search, counted.

use lilacfork::capacity_index::{CapacityIndex, CapacityState, SearchConstraint, TaskDemand};
use lilacfork::cloud::Offer;
use lilacfork::ids::MachineId;
use lilacfork::placement::{offer_allowed, placement_allowed, FitScore, Resources, ZoneCounts};
use lilacfork::wire::users::{JobKind, JobSpec, Priority};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const NOW_MS: u64 = 100_000;
const FRESH_MS: u64 = 3000;
const ZONES: [&str; 3] = ["a", "b", "c"];
const IMAGES: [&str; 3] = ["x", "y", "z"];

/// What a machine of each type holds.
fn whole(machine_type: &str) -> Resources {
    Resources {
        cpus: 48.0,
        gpus: if machine_type == "g8" { 8.0 } else { 4.0 },
        memory_gb: 384.0,
    }
}

/// A machine with so many tasks of 4 CPUs, a GPU and 25 GB on it.
#[derive(Clone, Debug)]
struct Drawn {
    eight: bool,
    zone: usize,
    spot: bool,
    tasks: u32,
    /// Cores beyond what the tasks take.
    more_cpus: f64,
    images: Vec<bool>,
    coming: Vec<bool>,
    open: bool,
    silent: bool,
}

impl Drawn {
    fn state(&self) -> CapacityState {
        let machine_type = if self.eight { "g8" } else { "g4" };
        let mut unassigned = whole(machine_type);
        unassigned.subtract(&task_need().scaled(f64::from(self.tasks)));
        unassigned.cpus -= self.more_cpus;
        let images = |flags: &[bool]| -> Vec<Rc<str>> {
            let named = IMAGES.iter().zip(flags);
            named
                .filter(|(_, is)| **is)
                .map(|(image, _)| Rc::from(*image))
                .collect()
        };
        let at_hand = images(&self.images);
        let mut coming = images(&self.coming);
        coming.retain(|image| !at_hand.contains(image));
        CapacityState {
            offer: Offer {
                machine_type: Rc::from(machine_type),
                zone: Rc::from(ZONES[self.zone]),
                spot: self.spot,
            },
            total: whole(machine_type),
            unassigned,
            freeing: Resources::default(),
            schedulable: self.open,
            occupied: self.tasks > 0,
            least_important: (self.tasks > 0).then_some(Priority::Standard),
            images: at_hand,
            pulling_images: coming,
        }
    }

    fn heard_ms(&self) -> u64 {
        if self.silent {
            NOW_MS - FRESH_MS
        } else {
            NOW_MS - 100
        }
    }
}

fn task_need() -> Resources {
    Resources {
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 25.0,
    }
}

/// The plain reference: looks at every machine's free capacity, as rounds once did.
struct Plain {
    rooms: BTreeMap<MachineId, (Drawn, Resources)>,
}

impl Plain {
    fn rank(&self, id: &MachineId, demand: &TaskDemand) -> Option<f64> {
        let (drawn, held) = &self.rooms[id];
        let state = drawn.state();
        let offer = &state.offer;
        let mut left = state.unassigned;
        left.subtract(held);
        let takes = drawn.open && !drawn.silent && left.covers(demand.resources);
        if !takes || !placement_allowed(demand.spec, demand.zones, offer) {
            return None;
        }
        left.subtract(demand.resources);
        let fit = FitScore {
            image_cached: state.images.contains(&demand.spec.image),
            image_pulling: state.pulling_images.contains(&demand.spec.image),
            concurrent_pulls: state.pulling_images.len() as u32,
            spot: offer.spot,
            free_share: left.dominant_share(&state.total),
            siblings: demand.siblings.get(id).copied().unwrap_or(0),
        };
        let service = f64::from(u32::from(demand.spec.kind == JobKind::Service));
        let failed = f64::from(u32::from((demand.failed_on)(id)));
        let crowded = service * FitScore::zone_sibling_penalty(demand.zones.count(&offer.zone));
        Some(fit.rank() + 10.0 * failed + crowded)
    }

    fn best(&self, demand: &TaskDemand) -> Option<f64> {
        let ranks = self.rooms.keys().filter_map(|id| self.rank(id, demand));
        ranks.min_by(f64::total_cmp)
    }
}

#[derive(Clone, Debug)]
struct DrawnJob {
    service: bool,
    tasks: u32,
    spread: bool,
    one_zone: bool,
    only_zone: Option<usize>,
    only_eight: bool,
    spot: bool,
    image: usize,
    size: u32,
    /// Machines on which it has failed.
    failed: BTreeSet<usize>,
}

impl DrawnJob {
    fn spec(&self) -> JobSpec {
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
        spec.same_zone = self.one_zone && !self.spread;
        spec.zone = self.only_zone.map(|z| Rc::from(ZONES[z]));
        spec.machine_types = self.only_eight.then(|| vec![Rc::from("g8")]);
        spec.spot = self.spot;
        spec.image = Rc::from(IMAGES[self.image]);
        let need = task_need().scaled(f64::from(self.size));
        (spec.cpus, spec.gpus, spec.memory_gb) = (need.cpus, need.gpus, need.memory_gb);
        spec
    }
}

fn drawn_machine() -> impl Strategy<Value = Drawn> {
    let flags = || proptest::collection::vec(proptest::bool::weighted(0.3), IMAGES.len());
    let kind = (any::<bool>(), 0..ZONES.len(), proptest::bool::weighted(0.3));
    let filled = (0u32..5, prop_oneof![Just(0.0), 0.0..20.0]);
    let state = (proptest::bool::weighted(0.9), proptest::bool::weighted(0.1));
    (kind, filled, flags(), flags(), state).prop_map(
        |((eight, zone, spot), (tasks, more_cpus), images, coming, (open, silent))| Drawn {
            eight,
            zone,
            spot,
            tasks,
            more_cpus,
            images,
            coming,
            open,
            silent,
        },
    )
}

fn drawn_job() -> impl Strategy<Value = DrawnJob> {
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
            (spread, one_zone, only_zone),
            (service, tasks, only_eight, spot),
            (image, size),
            failed,
        )| DrawnJob {
            service,
            tasks,
            spread,
            one_zone,
            only_zone,
            only_eight,
            spot,
            image,
            size,
            failed,
        },
    )
}

fn machine(n: usize) -> MachineId {
    MachineId::new(&format!("vm-{n:03}"))
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    // The same cases every time.
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn index(machines: &[Drawn]) -> (CapacityIndex, Plain) {
    let mut rooms = CapacityIndex::default();
    rooms.set_time(NOW_MS, FRESH_MS);
    let mut plain = Plain {
        rooms: BTreeMap::new(),
    };
    for (n, drawn) in machines.iter().enumerate() {
        rooms.refresh(&machine(n), drawn.state(), drawn.heard_ms());
        plain
            .rooms
            .insert(machine(n), (drawn.clone(), Resources::default()));
    }
    (rooms, plain)
}

/// Places the tasks of a job one by one, by index and by reference: both choose the same
/// machine, or one of equal rank.
fn place_alike(
    rooms: &mut CapacityIndex,
    plain: &mut Plain,
    job: &DrawnJob,
) -> Result<(), TestCaseError> {
    let spec = job.spec();
    let need = spec.task_request();
    let mut zones = ZoneCounts::default();
    let mut siblings = BTreeMap::new();
    let failed: BTreeSet<MachineId> = job.failed.iter().map(|n| machine(*n)).collect();
    let failed_on = |id: &MachineId| failed.contains(id);
    for task in 0..spec.tasks {
        let demand = TaskDemand {
            spec: &spec,
            resources: &need,
            zones: &zones,
            siblings: &siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint::default(),
        };
        let found = rooms.best(&demand);
        let expected = plain.best(&demand);
        prop_assert_eq!(found.is_some(), expected.is_some(), "task {}", task);
        let (Some(best), Some(least)) = (found, expected) else {
            return Ok(());
        };
        let id = rooms.get(best.slot).unwrap().id.clone();
        let rank = plain.rank(&id, &demand).unwrap();
        prop_assert!(
            (rank - least).abs() < 1e-6,
            "{id}: {rank}, the best is {least}"
        );
        prop_assert!((best.rank - rank).abs() < 1e-9);
        prop_assert_eq!(rooms.rank(best.slot, &demand), Some(best.rank));
        rooms.reserve(best.slot, &need);
        let (drawn, held) = plain.rooms.get_mut(&id).unwrap();
        held.add(&need);
        zones.add(&Rc::from(ZONES[drawn.zone]));
        if job.service {
            *siblings.entry(id).or_insert(0) += 1;
        }
    }
    Ok(())
}

#[test]
fn the_index_chooses_as_a_scan_of_all_machines_does() {
    let fleet = proptest::collection::vec(drawn_machine(), 1..16);
    let jobs = proptest::collection::vec(drawn_job(), 1..4);
    let verdict = runner(600).run(&(fleet, jobs), |(machines, jobs)| {
        let (mut rooms, mut plain) = index(&machines);
        for job in &jobs {
            place_alike(&mut rooms, &mut plain, job)?;
            rooms
                .check_invariants()
                .map_err(|violation| TestCaseError::fail(violation.to_string()))?;
        }
        Ok(())
    });
    verdict.unwrap();
}

#[test]
fn all_machines_with_capacity_for_a_gangs_task_are_found() {
    let fleet = proptest::collection::vec(drawn_machine(), 1..16);
    let verdict = runner(300).run(&(fleet, drawn_job()), |(machines, job)| {
        let (rooms, plain) = index(&machines);
        let spec = job.spec();
        let need = spec.task_request();
        let found: BTreeSet<MachineId> = rooms
            .fitting(&spec, &need)
            .map(|(_, r)| r.id.clone())
            .collect();
        let holds = |drawn: &Drawn| {
            let state = drawn.state();
            let takes = drawn.open && !drawn.silent && state.unassigned.covers(&need);
            takes && offer_allowed(&spec, &state.offer)
        };
        let holding = plain.rooms.iter().filter(|(_, (drawn, _))| holds(drawn));
        let expected: BTreeSet<MachineId> = holding.map(|(id, _)| id.clone()).collect();
        prop_assert_eq!(found, expected);
        Ok(())
    });
    verdict.unwrap();
}

#[test]
fn forecast_demand_goes_where_its_image_is_and_then_to_the_fullest() {
    let fleet = proptest::collection::vec(drawn_machine(), 1..16);
    let verdict = runner(300).run(&(fleet, drawn_job()), |(machines, job)| {
        let (rooms, plain) = index(&machines);
        let spec = job.spec();
        let need = spec.task_request();
        let share = |drawn: &Drawn| {
            let state = drawn.state();
            let takes = drawn.open && !drawn.silent && state.unassigned.covers(&need);
            let allowed = takes && offer_allowed(&spec, &state.offer) && !state.offer.spot;
            let cold = if state.images.contains(&spec.image) {
                0.0
            } else {
                2.0
            };
            allowed.then(|| state.unassigned.dominant_share(&state.total) + cold)
        };
        let shares = plain.rooms.values().filter_map(|(drawn, _)| share(drawn));
        let least = shares.min_by(f64::total_cmp);
        let found = rooms.fullest(&spec, &need);
        let found = found.map(|fullest| {
            let id = &rooms.get(fullest.slot).unwrap().id;
            (share(&plain.rooms[id].0).unwrap(), fullest.has_image)
        });
        let off = |(a, b): (f64, f64)| (a - b).abs();
        let same = found.map(|f| f.0).zip(least).map(off);
        prop_assert_eq!(found.is_some(), least.is_some());
        prop_assert!(same.is_none_or(|off| off < 1e-5));
        prop_assert!(found.is_none_or(|(share, warm)| warm == (share < 2.0)));
        Ok(())
    });
    verdict.unwrap();
}

/// After any changes every machine is indexed where it belongs.
#[test]
fn changes_in_any_order_leave_every_machine_indexed_correctly() {
    #[derive(Clone, Debug)]
    enum Change {
        Seen(usize, Drawn),
        Gone(usize),
        Hold(usize, u32),
        Keep(usize, u32),
        Release(usize),
        NewRound,
        Later(u64),
    }
    let n = || 0usize..10;
    let change = prop_oneof![
        4 => (n(), drawn_machine()).prop_map(|(n, d)| Change::Seen(n, d)),
        1 => n().prop_map(Change::Gone),
        2 => (n(), 1u32..4).prop_map(|(n, k)| Change::Hold(n, k)),
        2 => (n(), 1u32..4).prop_map(|(n, k)| Change::Keep(n, k)),
        1 => n().prop_map(Change::Release),
        1 => Just(Change::NewRound),
        1 => (1u64..2000).prop_map(Change::Later),
    ];
    let changes = proptest::collection::vec(change, 1..60);
    let verdict = runner(400).run(&changes, |changes| {
        let (mut rooms, mut now_ms) = (CapacityIndex::default(), NOW_MS);
        rooms.set_time(now_ms, FRESH_MS);
        for change in changes {
            let some = |k: u32| task_need().scaled(f64::from(k));
            match change {
                Change::Seen(n, drawn) => rooms.refresh(&machine(n), drawn.state(), now_ms),
                Change::Gone(n) => rooms.remove(&machine(n)),
                Change::Hold(n, k) => rooms
                    .slot(&machine(n))
                    .into_iter()
                    .for_each(|s| rooms.reserve(s, &some(k))),
                Change::Keep(n, k) => rooms
                    .slot(&machine(n))
                    .into_iter()
                    .for_each(|s| rooms.reserve_for_forecast(s, &some(k))),
                Change::Release(n) => rooms
                    .slot(&machine(n))
                    .into_iter()
                    .for_each(|s| rooms.release_forecast(s)),
                Change::NewRound => rooms.begin_round(),
                Change::Later(ms) => {
                    now_ms += ms;
                    rooms.set_time(now_ms, FRESH_MS);
                }
            }
            rooms
                .check_invariants()
                .map_err(|violation| TestCaseError::fail(violation.to_string()))?;
        }
        rooms.begin_round();
        let zones: u32 = rooms.machines_by_zone().values().sum();
        let contents = rooms.contents();
        let known = contents.schedulable.len() + contents.unschedulable.len();
        prop_assert_eq!(zones as usize, known);
        prop_assert_eq!(rooms.retained_machines().count(), 0);
        Ok(())
    });
    verdict.unwrap();
}

/// A fleet of two types, three zones, a few different amounts of free capacity, and
/// images on half of the machines.
fn large_fleet(machines: usize) -> CapacityIndex {
    let mut rooms = CapacityIndex::default();
    rooms.set_time(NOW_MS, FRESH_MS);
    for n in 0..machines {
        let drawn = Drawn {
            eight: n % 5 < 2,
            zone: n % ZONES.len(),
            spot: n % 7 == 0,
            tasks: (n / 3) as u32 % 5,
            more_cpus: 0.0,
            images: vec![n % 2 == 0, n % 3 == 0, false],
            coming: vec![false; 3],
            open: true,
            silent: false,
        };
        rooms.refresh(&machine(n), drawn.state(), drawn.heard_ms());
    }
    rooms
}

/// The entries that one search for capacity examines.
fn entries_of_a_question(machines: usize, image: usize) -> u64 {
    let rooms = large_fleet(machines);
    let job = DrawnJob {
        service: true,
        tasks: 4,
        spread: true,
        one_zone: false,
        only_zone: None,
        only_eight: false,
        spot: false,
        image,
        size: 2,
        failed: BTreeSet::new(),
    };
    let spec = job.spec();
    let demand = TaskDemand {
        spec: &spec,
        resources: &spec.task_request(),
        zones: &ZoneCounts::default(),
        siblings: &BTreeMap::new(),
        failed_on: &|_| false,
        constraint: SearchConstraint::default(),
    };
    let before = rooms.examined();
    assert!(rooms.best(&demand).is_some());
    rooms.examined() - before
}

#[test]
fn a_search_costs_the_same_in_a_fleet_sixteen_times_as_large() {
    // An image that half of the machines have, and one that nobody has.
    for image in [0, 2] {
        let (small, large) = (
            entries_of_a_question(500, image),
            entries_of_a_question(8100, image),
        );
        assert!(large * 2 < small * 3, "{small} entries, then {large}");
        assert!(large < 300, "{large} entries");
    }
}
