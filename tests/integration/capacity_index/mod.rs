//! Tests of the capacity index. Most of them compare the index with a reference that scans every
//! machine, on small random fleets. Another test counts the entries that a search examines.

mod reference;

use lilacfork::capacity_index::{CapacityIndex, SearchConstraint, TaskDemand};
use lilacfork::ids::MachineId;
use lilacfork::placement::{offer_allowed, Resources, ZoneCounts};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use reference::{
    base_request, machine_id, random_job, random_machine, RandomJob, RandomMachine, ReferenceScan,
    MAX_HEARTBEAT_AGE_MS, NOW_MS, ZONES,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn deterministic_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    // A fixed seed generates the same cases in every run.
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

/// Creates the index and the reference of the same machines.
fn index_and_reference(machines: &[RandomMachine]) -> (CapacityIndex, ReferenceScan) {
    let mut index = CapacityIndex::default();
    index.set_time(NOW_MS, MAX_HEARTBEAT_AGE_MS);
    let mut reference = ReferenceScan {
        machines: BTreeMap::new(),
    };
    for (n, machine) in machines.iter().enumerate() {
        index.refresh(&machine_id(n), machine.state(), machine.last_heartbeat_ms());
        reference
            .machines
            .insert(machine_id(n), (machine.clone(), Resources::default()));
    }
    (index, reference)
}

/// Places the tasks of a job one by one, each on the machine that the index chooses, and checks
/// that the rank of the chosen machine equals the best rank of the reference.
fn check_placements(
    index: &mut CapacityIndex,
    reference: &mut ReferenceScan,
    job: &RandomJob,
) -> Result<(), TestCaseError> {
    let spec = job.spec();
    let request = spec.task_request();
    let mut zones = ZoneCounts::default();
    let mut siblings = BTreeMap::new();
    let failed: BTreeSet<MachineId> = job.failed.iter().map(|n| machine_id(*n)).collect();
    let failed_on = |id: &MachineId| failed.contains(id);
    for task in 0..spec.tasks {
        let demand = TaskDemand {
            spec: &spec,
            resources: &request,
            zones: &zones,
            siblings: &siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint::default(),
        };
        let found = index.best(&demand);
        let expected = reference.best(&demand);
        prop_assert_eq!(found.is_some(), expected.is_some(), "task {}", task);
        let (Some(best), Some(expected_rank)) = (found, expected) else {
            return Ok(());
        };
        let id = index.get(best.slot).unwrap().id.clone();
        let rank = reference.rank(&id, &demand).unwrap();
        prop_assert!(
            (rank - expected_rank).abs() < 1e-6,
            "{id} has rank {rank}, the best rank is {expected_rank}"
        );
        prop_assert!((best.rank - rank).abs() < 1e-9);
        prop_assert_eq!(index.rank(best.slot, &demand), Some(best.rank));
        index.reserve(best.slot, &request);
        let (machine, reserved) = reference.machines.get_mut(&id).unwrap();
        reserved.add(&request);
        zones.add(&Rc::from(ZONES[machine.zone]));
        if job.service {
            *siblings.entry(id).or_insert(0) += 1;
        }
    }
    Ok(())
}

#[test]
fn index_chooses_machine_of_same_rank_as_full_scan() {
    let fleet = proptest::collection::vec(random_machine(), 1..16);
    let jobs = proptest::collection::vec(random_job(), 1..4);
    let result = deterministic_runner(600).run(&(fleet, jobs), |(machines, jobs)| {
        let (mut index, mut reference) = index_and_reference(&machines);
        for job in &jobs {
            check_placements(&mut index, &mut reference, job)?;
            index
                .check_invariants()
                .map_err(|violation| TestCaseError::fail(violation.to_string()))?;
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn fitting_returns_every_machine_with_capacity_for_gang_task() {
    let fleet = proptest::collection::vec(random_machine(), 1..16);
    let result = deterministic_runner(300).run(&(fleet, random_job()), |(machines, job)| {
        let (index, reference) = index_and_reference(&machines);
        let spec = job.spec();
        let request = spec.task_request();
        let found: BTreeSet<MachineId> = index
            .fitting(&spec, &request)
            .map(|(_, machine)| machine.id.clone())
            .collect();
        let fits = |machine: &RandomMachine| {
            let state = machine.state();
            let accepts =
                machine.schedulable && !machine.unresponsive && state.unassigned.covers(&request);
            accepts && offer_allowed(&spec, &state.offer)
        };
        let fitting = reference
            .machines
            .iter()
            .filter(|(_, (machine, _))| fits(machine));
        let expected: BTreeSet<MachineId> = fitting.map(|(id, _)| id.clone()).collect();
        prop_assert_eq!(found, expected);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn forecast_demand_prefers_cached_image_then_fullest_machine() {
    let fleet = proptest::collection::vec(random_machine(), 1..16);
    let result = deterministic_runner(300).run(&(fleet, random_job()), |(machines, job)| {
        let (index, reference) = index_and_reference(&machines);
        let spec = job.spec();
        let request = spec.task_request();
        let share = |machine: &RandomMachine| {
            let state = machine.state();
            let accepts =
                machine.schedulable && !machine.unresponsive && state.unassigned.covers(&request);
            let allowed = accepts && offer_allowed(&spec, &state.offer) && !state.offer.spot;
            // Machines without the image rank behind all machines that have it.
            let missing_image_penalty = if state.images.contains(&spec.image) {
                0.0
            } else {
                2.0
            };
            allowed.then(|| state.unassigned.dominant_share(&state.total) + missing_image_penalty)
        };
        let shares = reference
            .machines
            .values()
            .filter_map(|(machine, _)| share(machine));
        let expected = shares.min_by(f64::total_cmp);
        let found = index.fullest(&spec, &request);
        let found = found.map(|fullest| {
            let id = &index.get(fullest.slot).unwrap().id;
            (share(&reference.machines[id].0).unwrap(), fullest.has_image)
        });
        let difference = |(a, b): (f64, f64)| (a - b).abs();
        let error = found.map(|(share, _)| share).zip(expected).map(difference);
        prop_assert_eq!(found.is_some(), expected.is_some());
        prop_assert!(error.is_none_or(|error| error < 1e-5));
        prop_assert!(found.is_none_or(|(share, has_image)| has_image == (share < 2.0)));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn index_invariants_hold_after_random_changes() {
    #[derive(Clone, Debug)]
    enum Change {
        Refresh(usize, RandomMachine),
        Remove(usize),
        Reserve(usize, u32),
        ReserveForForecast(usize, u32),
        ReleaseForecast(usize),
        BeginRound,
        AdvanceTime { by_ms: u64 },
    }
    let machine_number = || 0usize..10;
    let change = prop_oneof![
        4 => (machine_number(), random_machine()).prop_map(|(n, new)| Change::Refresh(n, new)),
        1 => machine_number().prop_map(Change::Remove),
        2 => (machine_number(), 1u32..4).prop_map(|(n, size)| Change::Reserve(n, size)),
        2 => (machine_number(), 1u32..4).prop_map(|(n, size)| Change::ReserveForForecast(n, size)),
        1 => machine_number().prop_map(Change::ReleaseForecast),
        1 => Just(Change::BeginRound),
        1 => (1u64..2000).prop_map(|by_ms| Change::AdvanceTime { by_ms }),
    ];
    let changes = proptest::collection::vec(change, 1..60);
    let result = deterministic_runner(400).run(&changes, |changes| {
        let (mut index, mut now_ms) = (CapacityIndex::default(), NOW_MS);
        index.set_time(now_ms, MAX_HEARTBEAT_AGE_MS);
        for change in changes {
            let amount = |size: u32| base_request().scaled(f64::from(size));
            match change {
                Change::Refresh(n, new) => index.refresh(&machine_id(n), new.state(), now_ms),
                Change::Remove(n) => index.remove(&machine_id(n)),
                Change::Reserve(n, size) => index
                    .slot(&machine_id(n))
                    .into_iter()
                    .for_each(|slot| index.reserve(slot, &amount(size))),
                Change::ReserveForForecast(n, size) => index
                    .slot(&machine_id(n))
                    .into_iter()
                    .for_each(|slot| index.reserve_for_forecast(slot, &amount(size))),
                Change::ReleaseForecast(n) => index
                    .slot(&machine_id(n))
                    .into_iter()
                    .for_each(|slot| index.release_forecast(slot)),
                Change::BeginRound => index.begin_round(),
                Change::AdvanceTime { by_ms } => {
                    now_ms += by_ms;
                    index.set_time(now_ms, MAX_HEARTBEAT_AGE_MS);
                }
            }
            index
                .check_invariants()
                .map_err(|violation| TestCaseError::fail(violation.to_string()))?;
        }
        index.begin_round();
        let counted_by_zone: u32 = index.machines_by_zone().values().sum();
        let contents = index.contents();
        let indexed = contents.schedulable.len() + contents.unschedulable.len();
        prop_assert_eq!(counted_by_zone as usize, indexed);
        prop_assert_eq!(index.retained_machines().count(), 0);
        Ok(())
    });
    result.unwrap();
}

/// Creates the index of a fleet with two machine types, three zones and a few different amounts
/// of free capacity. Half of the machines have the first image, a third the second one.
fn large_fleet(machines: usize) -> CapacityIndex {
    let mut index = CapacityIndex::default();
    index.set_time(NOW_MS, MAX_HEARTBEAT_AGE_MS);
    for n in 0..machines {
        let machine = RandomMachine {
            eight_gpus: n % 5 < 2,
            zone: n % ZONES.len(),
            spot: n % 7 == 0,
            tasks: (n / 3) as u32 % 5,
            extra_cpus: 0.0,
            cached_images: vec![n % 2 == 0, n % 3 == 0, false],
            pulling_images: vec![false; 3],
            schedulable: true,
            unresponsive: false,
        };
        index.refresh(&machine_id(n), machine.state(), machine.last_heartbeat_ms());
    }
    index
}

/// Returns the number of entries that one search for capacity examines.
fn entries_examined_by_search(machines: usize, image: usize) -> u64 {
    let index = large_fleet(machines);
    let job = RandomJob {
        service: true,
        tasks: 4,
        spread: true,
        same_zone: false,
        only_zone: None,
        only_eight_gpus: false,
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
    let before = index.examined();
    assert!(index.best(&demand).is_some());
    index.examined() - before
}

#[test]
fn search_cost_stays_bounded_in_fleet_sixteen_times_as_large() {
    // Half of the machines have the first image; no machine has the last one.
    for image in [0, 2] {
        let (small, large) = (
            entries_examined_by_search(500, image),
            entries_examined_by_search(8100, image),
        );
        assert!(
            large * 2 < small * 3,
            "{small} entries in the small fleet, {large} in the large one"
        );
        assert!(large < 300, "{large} entries in the large fleet");
    }
}
