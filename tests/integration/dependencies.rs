//! Tests of jobs with dependencies, with and without faults. The observer checks the rules
//! `too_early` and `orphaned` in addition to its other rules.

use crate::simulation::fixtures::{heal, isolate_node, running_cluster};
use crate::simulation::{array, Delivery, Simulation, CANCEL_MS};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Returns the specification of a short job with two tasks that depends on the given jobs.
fn job_with_dependencies(id: &str, dependencies: &[&str]) -> Value {
    let mut spec = array(id, 2);
    spec["cpus"] = json!(1.0);
    spec["gpus"] = json!(0.0);
    spec["memoryGb"] = json!(1.0);
    spec["attend"] = json!(dependencies);
    spec
}

fn submit_all(sim: &mut Simulation, jobs: &[(&str, &[&str])]) {
    for (n, (id, dependencies)) in jobs.iter().enumerate() {
        assert_eq!(
            sim.submit(n % 3, &job_with_dependencies(id, dependencies)),
            201,
            "{id}"
        );
    }
}

/// Queries all jobs on all controllers at the same time. Returns the status and the job state of
/// each response.
fn reported_states(sim: &mut Simulation, ids: &[&str]) -> Vec<(u16, String)> {
    let mut queries = Vec::new();
    for id in ids {
        for node in 0..sim.nodes.len() {
            queries.push(sim.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null));
        }
    }
    sim.run_for(1800);
    queries
        .iter()
        .map(|query| sim.status_and_state(*query))
        .collect()
}

/// Repeats the queries until all controllers report this state for all jobs. Fails the test after
/// forty unsuccessful rounds of queries.
fn await_state(sim: &mut Simulation, ids: &[&str], state: &str) {
    for _ in 0..40 {
        let reports = reported_states(sim, ids);
        if reports
            .iter()
            .all(|(status, reported)| *status == 200 && reported == state)
        {
            return;
        }
        sim.run_for(1000);
    }
    panic!(
        "not all of {ids:?} are reported as {state}: {:?}",
        reported_states(sim, ids)
    );
}

const DIAMOND: [(&str, &[&str]); 5] = [
    ("run-1", &[]),
    ("run-2", &["run-1"]),
    ("run-3", &["run-1"]),
    ("run-4", &["run-2", "run-3"]),
    ("run-5", &["run-4", "run-1"]),
];
const DIAMOND_IDS: [&str; 5] = ["run-1", "run-2", "run-3", "run-4", "run-5"];

/// A pipeline takes less than one more write to the key-value store per job than the same jobs
/// without dependencies.
#[test]
fn pipeline_runs_in_order_with_less_than_one_extra_write_per_job() {
    let mut writes = Vec::new();
    for with_dependencies in [true, false] {
        let mut sim = running_cluster(3);
        let writes_before = sim.kv_store.write_count;
        for (id, dependencies) in DIAMOND {
            let dependencies = if with_dependencies { dependencies } else { &[] };
            assert_eq!(sim.submit(1, &job_with_dependencies(id, dependencies)), 201);
        }
        sim.run_for(1000);
        let running = sim.on_machines("run-2") + sim.on_machines("run-5");
        assert_eq!(running, if with_dependencies { 0 } else { 4 });
        sim.run_for(40_000);
        await_state(&mut sim, &DIAMOND_IDS, "done");
        sim.run_for(5000);
        writes.push(sim.kv_store.write_count - writes_before);
    }
    let (pipeline, independent) = (writes[0], writes[1]);
    assert!(pipeline < independent + DIAMOND.len(), "{writes:?}");
}

#[test]
fn submission_with_invalid_or_unknown_dependency_is_rejected() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &job_with_dependencies("run-1", &[])), 201);
    let cases = [
        (json!(["run-1"]), 201),
        (json!(null), 201),
        (json!([]), 201),
        (json!("run-1"), 400),
        (json!(["run-1", 7]), 400),
        (json!(["../leader/key"]), 400),
        (json!(["run-1", "run-1"]), 400),
        (json!(["run-own-7"]), 400),
        (json!(["run-nobody"]), 422),
        (json!(["run-1", "run-nobody"]), 422),
    ];
    for (n, (dependencies, status)) in cases.into_iter().enumerate() {
        let mut spec = job_with_dependencies(&format!("run-own-{n}"), &[]);
        spec["attend"] = dependencies.clone();
        assert_eq!(sim.submit(n % 3, &spec), status, "{dependencies}");
        assert_eq!(
            sim.query(0, &format!("run-own-{n}")).0 == 200,
            status == 201
        );
    }
    // An earlier version accepted a submission with an unknown dependency if another of its
    // dependencies was a cancelled job.
    assert_eq!(sim.submit(0, &job_with_dependencies("run-2", &[])), 201);
    assert_eq!(sim.cancel(1, "run-2").1, "cancelled");
    for (n, dependencies) in [["run-2", "run-nobody"], ["run-nobody", "run-2"]]
        .iter()
        .enumerate()
    {
        for node in 0..3 {
            let spec = job_with_dependencies(&format!("run-both-{n}"), dependencies);
            assert_eq!(sim.submit(node, &spec), 422);
        }
    }
    // The first submission of an id counts. A repeated one is accepted whatever its
    // dependencies are.
    for dependencies in [json!(["run-nobody"]), json!(["run-own-0"]), json!(7)] {
        let mut repeated = job_with_dependencies("run-own-0", &[]);
        repeated["attend"] = dependencies;
        for node in 0..3 {
            assert_eq!(sim.submit(node, &repeated), 200);
        }
    }
    sim.run_for(30_000);
    await_state(&mut sim, &["run-1", "run-own-0"], "done");
    // The jobs are complete, and a restarted controller does not have them in memory.
    sim.kill(1);
    sim.start(1);
    sim.run_for(4000);
    let mut repeated = job_with_dependencies("run-own-0", &["run-nobody"]);
    assert_eq!(sim.submit(1, &repeated), 200);
    repeated["id"] = json!("run-late");
    repeated["attend"] = json!(["run-own-0", "run-1"]);
    assert_eq!(sim.submit(1, &repeated), 201);
    sim.run_for(8000);
    await_state(&mut sim, &["run-late"], "done");
}

/// A job may depend on a service. A service ends only by cancellation, which cancels its
/// dependents too.
#[test]
fn job_depending_on_service_is_cancelled_with_service() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &crate::simulation::service("run-s", 2)), 201);
    assert_eq!(
        sim.submit(1, &job_with_dependencies("run-1", &["run-s"])),
        201
    );
    sim.run_for(10_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert_eq!(sim.cancel(2, "run-s").1, "cancelled");
    await_state(&mut sim, &["run-1"], "cancelled");
}

/// The dependents form a graph that is deeper and wider than one transaction can hold.
#[test]
fn cancellation_propagates_to_all_transitive_dependents() {
    let mut sim = running_cluster(3);
    let mut long = job_with_dependencies("run-0", &[]);
    long["pieces"] = json!(1);
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(0, &long), 201);
    let mut ids = Vec::new();
    for n in 1..40 {
        let id = format!("run-{n}");
        // A chain of 20 jobs, and 19 jobs that depend on the fifth job of the chain.
        let dependency = if n <= 20 { n - 1 } else { 5 };
        let dependency = format!("run-{dependency}");
        assert_eq!(
            sim.submit(n % 3, &job_with_dependencies(&id, &[&dependency])),
            201
        );
        ids.push(id);
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert_eq!(sim.cancel(1, "run-0").1, "cancelled");
    // All controllers report the cancellation immediately, from the records of the dependencies.
    let states = reported_states(&mut sim, &ids);
    assert!(
        states.iter().all(|(_, state)| state == "cancelled"),
        "{states:?}"
    );
    // A job submitted later that depends on a cancelled job is cancelled from the start.
    sim.run_for(CANCEL_MS * 3);
    for node in 0..3 {
        let id = format!("run-late-{node}");
        let request_number = sim.request(
            node,
            "POST",
            "/v2/runs",
            job_with_dependencies(&id, &["run-7", "run-33"]),
        );
        sim.run_for(2000);
        assert_eq!(
            sim.status_and_state(request_number),
            (201, "cancelled".into())
        );
        await_state(&mut sim, &[&id], "cancelled");
    }
    let remaining = sim
        .kv_store
        .items
        .keys()
        .filter(|key| key.starts_with("j/"));
    assert_eq!(remaining.count(), 0, "no job records remain");
}

/// The leader is killed at various times while a cancellation propagates or while a stage of the
/// pipeline completes.
#[test]
fn dependents_reach_final_state_after_leader_crash_at_any_step() {
    for cancels in [true, false] {
        for kill_delay_ms in (0..600).step_by(20) {
            let mut sim = running_cluster(3);
            sim.task_duration_ms = if cancels { 600_000 } else { 2500 };
            submit_all(&mut sim, &DIAMOND);
            let leader = sim.leader().unwrap();
            if cancels {
                sim.run_for(3000);
                let path = "/v2/runs/run-1/abort";
                sim.request((leader + 1) % 3, "POST", path, Value::Null);
            } else {
                sim.run_for(2600);
            }
            sim.run_for(kill_delay_ms);
            sim.kill(leader);
            sim.run_for(3000);
            sim.start(leader);
            sim.run_for(30_000);
            let state = if cancels { "cancelled" } else { "done" };
            await_state(&mut sim, &DIAMOND_IDS, state);
        }
    }
}

/// While the job is cancelled, the key-value store rejects the calls of the leader only. It is
/// then unavailable to all controllers for longer than `cancel_s`.
#[test]
fn dependents_of_cancelled_job_are_not_reported_pending_during_kv_store_outage() {
    for outage_delay_ms in [0, 20, 100, 300, 1000, 2500] {
        let mut sim = running_cluster(3);
        sim.task_duration_ms = 600_000;
        submit_all(&mut sim, &DIAMOND);
        sim.run_for(2000);
        let leader = sim.leader().unwrap();
        isolate_node(&mut sim, leader, Delivery::Rejected, false);
        let request_number = sim.request(
            (leader + 1) % 3,
            "POST",
            "/v2/runs/run-1/abort",
            Value::Null,
        );
        sim.run_for(outage_delay_ms);
        sim.kv_store.unavailable = true;
        for _ in 0..12 {
            for (status, state) in reported_states(&mut sim, &DIAMOND_IDS[1..]) {
                assert!(status == 503 || state == "cancelled", "{status} {state}");
            }
            sim.run_for(2000);
        }
        heal(&mut sim);
        sim.end_kv_store_outage();
        if sim.status_and_state(request_number).0 != 200 {
            assert_eq!(sim.cancel(0, "run-1").1, "cancelled");
        }
        await_state(&mut sim, &DIAMOND_IDS, "cancelled");
        // Restarted controllers can read the states only from the records.
        for n in 0..3 {
            sim.kill(n);
            sim.start(n);
        }
        await_state(&mut sim, &DIAMOND_IDS, "cancelled");
    }
}

/// A dependent is submitted at about the time at which its dependency completes or is cancelled.
/// Either event may come first; both jobs reach the same final state.
#[test]
fn dependent_submitted_while_dependency_ends_reaches_same_final_state() {
    for cancels in [true, false] {
        for submission_delay_ms in (0..400).step_by(10) {
            let mut sim = running_cluster(3);
            sim.task_duration_ms = 1000;
            assert_eq!(sim.submit(0, &job_with_dependencies("run-1", &[])), 201);
            sim.run_for(if cancels { 300 } else { 1000 });
            if cancels {
                sim.request(2, "POST", "/v2/runs/run-1/abort", Value::Null);
            }
            sim.run_for(submission_delay_ms);
            let submitted = sim.request(
                1,
                "POST",
                "/v2/runs",
                job_with_dependencies("run-2", &["run-1"]),
            );
            sim.run_for(15_000);
            assert_eq!(sim.status_and_state(submitted).0, 201);
            let state = if cancels { "cancelled" } else { "done" };
            await_state(&mut sim, &["run-1", "run-2"], state);
        }
    }
}

/// The previous leader was killed after it had stored a job's final state and before it updated
/// the record of the job's dependent. The next leader cancels or starts the dependent, although no
/// user sends a request.
#[test]
fn new_leader_cancels_or_starts_dependent_not_updated_by_previous_leader() {
    for (stored_state, reported_state) in [("c", "cancelled"), ("d", "done")] {
        let mut sim = Simulation::new(3);
        sim.add_machine("vm-a", "a", false, true);
        sim.observer
            .record_submission(&job_with_dependencies("run-1", &[]));
        (0..2).for_each(|n| sim.observer.record_completion(&format!("run-1/{n}")));
        if stored_state == "c" {
            sim.observer.record_cancellation_request("run-1");
        }
        let spec = job_with_dependencies("run-2", &["run-1"]);
        sim.observer.record_submission(&spec);
        let records = [
            ("f/run-1", json!({"s": stored_state, "n": 2, "w": 5})),
            ("j/run-2", json!({"spec": spec, "t": 1_000_000})),
        ];
        for (key, record) in records {
            sim.kv_store.revision += 1;
            let revision = sim.kv_store.revision;
            sim.kv_store
                .items
                .insert(key.into(), (record, revision, None));
        }
        sim.run_for(20_000);
        assert!(
            !sim.kv_store.items.contains_key("j/run-2"),
            "{stored_state}"
        );
        await_state(&mut sim, &["run-2"], reported_state);
    }
}

/// Generates random submissions and faults.
#[derive(Default)]
struct RandomWorkload {
    rng: fastrand::Rng,
    /// The jobs whose submission was accepted.
    jobs: Vec<String>,
    /// The number of jobs submitted so far.
    submitted: u32,
    /// The jobs whose submission has not been answered yet, by the submission's request number.
    pending_submissions: BTreeMap<u64, String>,
}

impl RandomWorkload {
    fn submit(&mut self, sim: &mut Simulation) {
        self.submitted += 1;
        let id = format!("run-{}", self.submitted);
        let mut dependencies: Vec<&str> = Vec::new();
        for _ in 0..self.rng.usize(0..4) {
            if let Some(dependency) = self.rng.choice(&self.jobs) {
                if !dependencies.contains(&dependency.as_str()) {
                    dependencies.push(dependency);
                }
            }
        }
        let request_number = sim.request(
            self.rng.usize(0..3),
            "POST",
            "/v2/runs",
            job_with_dependencies(&id, &dependencies),
        );
        self.pending_submissions.insert(request_number, id);
    }

    /// Processes the responses to submissions. Users submit dependents only of jobs whose
    /// submission was accepted.
    fn process_responses(&mut self, sim: &Simulation) {
        let answered = self
            .pending_submissions
            .iter()
            .filter(|(request_number, _)| sim.status_and_state(**request_number).0 > 0);
        let answered: Vec<u64> = answered
            .map(|(request_number, _)| *request_number)
            .collect();
        for request_number in answered {
            let id = self.pending_submissions.remove(&request_number).unwrap();
            if sim.status_and_state(request_number).0 == 201 {
                self.jobs.push(id);
            }
        }
    }

    /// Injects a random fault or ends all current faults.
    fn inject_fault(&mut self, sim: &mut Simulation) {
        let node = self.rng.usize(0..3);
        match self.rng.u32(0..8) {
            0 => sim.kill(node),
            1 => {
                sim.paused_until_ms
                    .insert(node, sim.now_ms + self.rng.u64(500..9000));
            }
            2 => {
                let mut rng = self.rng.fork();
                sim.fault_injector = Box::new(move |_, _, call| match rng.u32(0..12) {
                    0 if call.path == "/txn" => Delivery::ResponseLost,
                    1 if call.path == "/txn" => Delivery::RequestDelayed(rng.u64(1500..8000)),
                    2 => Delivery::ResponseDelayed(rng.u64(1..400)),
                    _ => Delivery::Normal,
                });
            }
            3 => isolate_node(sim, node, Delivery::Rejected, self.rng.bool()),
            4 if !sim.kv_store.unavailable => sim.kv_store.unavailable = true,
            _ => {
                heal(sim);
                if sim.kv_store.unavailable {
                    sim.end_kv_store_outage();
                }
                (0..3).for_each(|n| {
                    if sim.nodes[n].is_none() {
                        sim.start(n)
                    }
                });
            }
        }
    }
}

/// Combines random dependency graphs, submissions, cancellations, completions, failovers, outages,
/// lost responses and delayed writes. The observer's rules must hold and every job must reach a
/// final state.
#[test]
fn random_pipelines_with_faults_violate_no_rule_and_complete() {
    for seed in 0..16 {
        let mut sim = running_cluster(3);
        let mut workload = RandomWorkload {
            rng: fastrand::Rng::with_seed(seed),
            ..RandomWorkload::default()
        };
        sim.task_duration_ms = 1500;
        for step in 0..120 {
            workload.process_responses(&sim);
            match workload.rng.u32(0..10) {
                0..5 => workload.submit(&mut sim),
                5 | 6 => {
                    if let Some(id) = workload.rng.choice(&workload.jobs).cloned() {
                        let path = format!("/v2/runs/{id}");
                        for node in 0..3 {
                            sim.request(node, "GET", &path, Value::Null);
                        }
                    }
                }
                7 => {
                    if let Some(id) = workload.rng.choice(&workload.jobs).cloned() {
                        let path = format!("/v2/runs/{id}/abort");
                        sim.request(step % 3, "POST", &path, Value::Null);
                    }
                }
                _ => workload.inject_fault(&mut sim),
            }
            sim.run_for(workload.rng.u64(5..900));
        }
        heal(&mut sim);
        if sim.kv_store.unavailable {
            sim.end_kv_store_outage();
        }
        (0..3).for_each(|n| {
            if sim.nodes[n].is_none() {
                sim.start(n)
            }
        });
        sim.run_for(90_000);
        workload.process_responses(&sim);
        for id in &workload.jobs {
            let (status, state) = sim.query(0, id);
            let is_final = state == "done" || state == "cancelled";
            assert!(is_final, "seed {seed}: {id} is {status} {state}");
        }
    }
}
