//! Jobs with dependencies, and the faults that they meet. The observer checks `too_early`
//! and `orphaned` beside the other rules.

use crate::simulation::fixtures::{heal, isolate_node, running_cluster};
use crate::simulation::{array, Delivery, Simulation, CANCEL_MS};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A short job that depends on these.
fn needing(id: &str, needs: &[&str]) -> Value {
    let mut spec = array(id, 2);
    spec["cpus"] = json!(1.0);
    spec["gpus"] = json!(0.0);
    spec["memoryGb"] = json!(1.0);
    spec["attend"] = json!(needs);
    spec
}

fn submit_all(sim: &mut Simulation, jobs: &[(&str, &[&str])]) {
    for (n, (id, needs)) in jobs.iter().enumerate() {
        assert_eq!(sim.submit(n % 3, &needing(id, needs)), 201, "{id}");
    }
}

/// The states that all nodes report of all jobs, queried at one moment.
fn reported_states(sim: &mut Simulation, ids: &[&str]) -> Vec<(u16, String)> {
    let mut asked = Vec::new();
    for id in ids {
        for node in 0..sim.nodes.len() {
            asked.push(sim.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null));
        }
    }
    sim.run_for(1800);
    asked
        .iter()
        .map(|user| sim.status_and_state(*user))
        .collect()
}

/// Queried until every node answers, all nodes report this state of each job.
fn settle(sim: &mut Simulation, ids: &[&str], state: &str) {
    for _ in 0..40 {
        let all = reported_states(sim, ids);
        if all
            .iter()
            .all(|(status, reported)| *status == 200 && reported == state)
        {
            return;
        }
        sim.run_for(1000);
    }
    panic!(
        "{ids:?} aren't all {state}: {:?}",
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

/// A pipeline takes as many changes of the key-value store as the same jobs without
/// dependencies.
#[test]
fn a_pipeline_runs_in_order_and_costs_no_more_changes_than_single_jobs() {
    let mut changes = Vec::new();
    for needs_kept in [true, false] {
        let mut sim = running_cluster(3);
        let before = sim.kv_store.write_count;
        for (id, needs) in DIAMOND {
            let needs = if needs_kept { needs } else { &[] };
            assert_eq!(sim.submit(1, &needing(id, needs)), 201);
        }
        sim.run_for(1000);
        let waiting = sim.on_machines("run-2") + sim.on_machines("run-5");
        assert_eq!(waiting, if needs_kept { 0 } else { 4 });
        sim.run_for(40_000);
        settle(&mut sim, &DIAMOND_IDS, "done");
        sim.run_for(5000);
        changes.push(sim.kv_store.write_count - before);
    }
    let (pipeline, single) = (changes[0], changes[1]);
    assert!(pipeline < single + DIAMOND.len(), "{changes:?}");
}

#[test]
fn what_a_submission_may_name() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &needing("run-1", &[])), 201);
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
    for (n, (needs, status)) in cases.into_iter().enumerate() {
        let mut spec = needing(&format!("run-own-{n}"), &[]);
        spec["attend"] = needs.clone();
        assert_eq!(sim.submit(n % 3, &spec), status, "{needs}");
        assert_eq!(sim.poll(0, &format!("run-own-{n}")).0 == 200, status == 201);
    }
    // A cancelled job beside a name that nobody knows once let the name pass.
    assert_eq!(sim.submit(0, &needing("run-2", &[])), 201);
    assert_eq!(sim.cancel(1, "run-2").1, "cancelled");
    for (n, needs) in [["run-2", "run-nobody"], ["run-nobody", "run-2"]]
        .iter()
        .enumerate()
    {
        for node in 0..3 {
            let spec = needing(&format!("run-both-{n}"), needs);
            assert_eq!(sim.submit(node, &spec), 422);
        }
    }
    // What was accepted stays so, whatever a repeat names; the first one counts.
    for needs in [json!(["run-nobody"]), json!(["run-own-0"]), json!(7)] {
        let mut again = needing("run-own-0", &[]);
        again["attend"] = needs;
        for node in 0..3 {
            assert_eq!(sim.submit(node, &again), 200);
        }
    }
    sim.run_for(30_000);
    settle(&mut sim, &["run-1", "run-own-0"], "done");
    // Over, and forgotten by a process that has just begun.
    sim.kill(1);
    sim.start(1);
    sim.run_for(4000);
    let mut again = needing("run-own-0", &["run-nobody"]);
    assert_eq!(sim.submit(1, &again), 200);
    again["id"] = json!("run-late");
    again["attend"] = json!(["run-own-0", "run-1"]);
    assert_eq!(sim.submit(1, &again), 201);
    sim.run_for(8000);
    settle(&mut sim, &["run-late"], "done");
}

/// A job may depend on a service, which ends only by its cancellation; that cancels the
/// job, too.
#[test]
fn a_job_that_needs_a_service_is_cancelled_with_it() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &crate::simulation::service("run-s", 2)), 201);
    assert_eq!(sim.submit(1, &needing("run-1", &["run-s"])), 201);
    sim.run_for(10_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert_eq!(sim.cancel(2, "run-s").1, "cancelled");
    settle(&mut sim, &["run-1"], "cancelled");
}

/// A cascade deeper and wider than any transaction.
#[test]
fn a_cancellation_reaches_all_that_need_the_job() {
    let mut sim = running_cluster(3);
    let mut long = needing("run-0", &[]);
    long["pieces"] = json!(1);
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(0, &long), 201);
    let mut ids = Vec::new();
    for n in 1..40 {
        let id = format!("run-{n}");
        // A chain of 20, and 19 jobs that need its fifth.
        let need = if n <= 20 { n - 1 } else { 5 };
        let need = format!("run-{need}");
        assert_eq!(sim.submit(n % 3, &needing(&id, &[&need])), 201);
        ids.push(id);
    }
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    assert_eq!(sim.cancel(1, "run-0").1, "cancelled");
    // At once, on all nodes, from the records of those that are needed.
    let all = reported_states(&mut sim, &ids);
    assert!(all.iter().all(|(_, state)| state == "cancelled"), "{all:?}");
    // What needs a cancelled job is cancelled from the start, however late it comes.
    sim.run_for(CANCEL_MS * 3);
    for node in 0..3 {
        let id = format!("run-late-{node}");
        let user = sim.request(node, "POST", "/v2/runs", needing(&id, &["run-7", "run-33"]));
        sim.run_for(2000);
        assert_eq!(sim.status_and_state(user), (201, "cancelled".into()));
        settle(&mut sim, &[&id], "cancelled");
    }
    let left = sim
        .kv_store
        .items
        .keys()
        .filter(|key| key.starts_with("j/"));
    assert_eq!(left.count(), 0, "all of them are over");
}

/// The leader is killed at any moment of a cascade, or of a stage's end.
#[test]
fn a_leader_that_ends_at_any_step_loses_nothing() {
    for cancels in [true, false] {
        for delay in (0..600).step_by(20) {
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
            sim.run_for(delay);
            sim.kill(leader);
            sim.run_for(3000);
            sim.start(leader);
            sim.run_for(30_000);
            let state = if cancels { "cancelled" } else { "done" };
            settle(&mut sim, &DIAMOND_IDS, state);
        }
    }
}

/// The key-value store rejects the leader's calls alone as the job is cancelled, and is
/// then unavailable to all for longer than `cancel_s`.
#[test]
fn after_an_outage_nobody_calls_a_dependent_pending() {
    for gap in [0, 20, 100, 300, 1000, 2500] {
        let mut sim = running_cluster(3);
        sim.task_duration_ms = 600_000;
        submit_all(&mut sim, &DIAMOND);
        sim.run_for(2000);
        let leader = sim.leader().unwrap();
        isolate_node(&mut sim, leader, Delivery::Rejected, false);
        let user = sim.request(
            (leader + 1) % 3,
            "POST",
            "/v2/runs/run-1/abort",
            Value::Null,
        );
        sim.run_for(gap);
        sim.kv_store.unavailable = true;
        for _ in 0..12 {
            for (status, state) in reported_states(&mut sim, &DIAMOND_IDS[1..]) {
                assert!(status == 503 || state == "cancelled", "{status} {state}");
            }
            sim.run_for(2000);
        }
        heal(&mut sim);
        sim.end_kv_store_outage();
        if sim.status_and_state(user).0 != 200 {
            assert_eq!(sim.cancel(0, "run-1").1, "cancelled");
        }
        settle(&mut sim, &DIAMOND_IDS, "cancelled");
        // Processes that know nothing read it from the records alone.
        for n in 0..3 {
            sim.kill(n);
            sim.start(n);
        }
        settle(&mut sim, &DIAMOND_IDS, "cancelled");
    }
}

/// A dependent is submitted at the moment at which its dependency ends or is cancelled:
/// either comes first, and every job ends.
#[test]
fn a_dependent_submitted_as_its_dependency_ends_follows_it() {
    for cancels in [true, false] {
        for offset in (0..400).step_by(10) {
            let mut sim = running_cluster(3);
            sim.task_duration_ms = 1000;
            assert_eq!(sim.submit(0, &needing("run-1", &[])), 201);
            sim.run_for(if cancels { 300 } else { 1000 });
            if cancels {
                sim.request(2, "POST", "/v2/runs/run-1/abort", Value::Null);
            }
            sim.run_for(offset);
            let submitted = sim.request(1, "POST", "/v2/runs", needing("run-2", &["run-1"]));
            sim.run_for(15_000);
            assert_eq!(sim.status_and_state(submitted).0, 201);
            let state = if cancels { "cancelled" } else { "done" };
            settle(&mut sim, &["run-1", "run-2"], state);
        }
    }
}

/// A leader was killed between the records of a job's end and of its dependent's: the
/// next leader ends the dependent, or starts it, without being asked.
#[test]
fn a_dependent_that_an_earlier_leader_left_is_continued() {
    for (over, state) in [("c", "cancelled"), ("d", "done")] {
        let mut sim = Simulation::new(3);
        sim.add_machine("vm-a", "a", false, true);
        sim.observer.record_submission(&needing("run-1", &[]));
        (0..2).for_each(|n| sim.observer.record_completion(&format!("run-1/{n}")));
        if over == "c" {
            sim.observer.record_cancellation_request("run-1");
        }
        let spec = needing("run-2", &["run-1"]);
        sim.observer.record_submission(&spec);
        let records = [
            ("f/run-1", json!({"s": over, "n": 2, "w": 5})),
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
        assert!(!sim.kv_store.items.contains_key("j/run-2"), "{over}");
        settle(&mut sim, &["run-2"], state);
    }
}

#[derive(Default)]
struct RandomDay {
    rng: fastrand::Rng,
    jobs: Vec<String>,
    submitted: u32,
    users: BTreeMap<u64, String>,
}

impl RandomDay {
    fn submit(&mut self, sim: &mut Simulation) {
        self.submitted += 1;
        let id = format!("run-{}", self.submitted);
        let mut needs: Vec<&str> = Vec::new();
        for _ in 0..self.rng.usize(0..4) {
            if let Some(need) = self.rng.choice(&self.jobs) {
                if !needs.contains(&need.as_str()) {
                    needs.push(need);
                }
            }
        }
        let user = sim.request(
            self.rng.usize(0..3),
            "POST",
            "/v2/runs",
            needing(&id, &needs),
        );
        self.users.insert(user, id);
    }

    /// Users name only jobs whose submission was confirmed to them.
    fn hear(&mut self, sim: &Simulation) {
        let answered = self
            .users
            .iter()
            .filter(|(user, _)| sim.status_and_state(**user).0 > 0);
        let answered: Vec<u64> = answered.map(|(user, _)| *user).collect();
        for user in answered {
            let id = self.users.remove(&user).unwrap();
            if sim.status_and_state(user).0 == 201 {
                self.jobs.push(id);
            }
        }
    }

    fn trouble(&mut self, sim: &mut Simulation) {
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

/// Random graphs, submissions, cancellations, ends, failovers, outages, lost responses
/// and late writes: no rule is broken, and every job ends.
#[test]
fn random_days_of_pipelines_break_no_rule_and_every_job_ends() {
    for seed in 0..16 {
        let mut sim = running_cluster(3);
        let mut day = RandomDay {
            rng: fastrand::Rng::with_seed(seed),
            ..RandomDay::default()
        };
        sim.task_duration_ms = 1500;
        for step in 0..120 {
            day.hear(&sim);
            match day.rng.u32(0..10) {
                0..5 => day.submit(&mut sim),
                5 | 6 => {
                    if let Some(id) = day.rng.choice(&day.jobs).cloned() {
                        let path = format!("/v2/runs/{id}");
                        for node in 0..3 {
                            sim.request(node, "GET", &path, Value::Null);
                        }
                    }
                }
                7 => {
                    if let Some(id) = day.rng.choice(&day.jobs).cloned() {
                        let path = format!("/v2/runs/{id}/abort");
                        sim.request(step % 3, "POST", &path, Value::Null);
                    }
                }
                _ => day.trouble(&mut sim),
            }
            sim.run_for(day.rng.u64(5..900));
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
        day.hear(&sim);
        for id in &day.jobs {
            let (status, state) = sim.poll(0, id);
            let over = state == "done" || state == "cancelled";
            assert!(over, "seed {seed}: {id} is {status} {state}");
        }
    }
}
