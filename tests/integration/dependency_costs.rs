//! Tests of the work that pipelines of many jobs cause on controllers. They count the jobs
//! and the edges between jobs that were examined. The names that the records of a pipeline
//! hold are the measure: no event may examine more than a constant number of times as many.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, Delivery, Simulation};
use lilacfork::node::Node;
use serde_json::{json, Value};
use std::cell::Cell;
use std::rc::Rc;

/// How often each name in the records may be examined on behalf of one event.
const MAX_EXAMINED_PER_NAME: u64 = 8;

/// The names are examined a few times more for every job, which has a constant share of the
/// work of its own.
const MAX_EXAMINED_PER_JOB: u64 = 16;

/// The deadline of a pipeline's last job, later than the estimates of all stages together.
const LAST_DEADLINE_S: f64 = 90_000.0;

/// A pipeline of stages of equally many jobs, each of which names all jobs of the stage
/// before.
#[derive(Clone, Copy, Debug)]
struct Pipeline {
    stages: usize,
    jobs_per_stage: usize,
}

impl Pipeline {
    fn names(self) -> u64 {
        let between_stages = self.jobs_per_stage * self.jobs_per_stage;
        ((self.stages - 1) * between_stages + self.jobs_per_stage) as u64
    }

    fn jobs(self) -> u64 {
        (self.stages * self.jobs_per_stage) as u64
    }

    /// Returns the number of examined entries that one event may cause.
    fn max_examined(self) -> u64 {
        self.names() * MAX_EXAMINED_PER_NAME + self.jobs() * MAX_EXAMINED_PER_JOB
    }

    /// Fails the test if more was examined than this number of events may cause.
    fn assert_cost(self, examined: u64, events: u64) {
        assert!(
            examined <= events * self.max_examined(),
            "{self:?} examined {examined}, names {}",
            self.names()
        );
    }

    fn stage(self, stage: usize) -> Vec<String> {
        (0..self.jobs_per_stage)
            .map(|number| format!("run-{stage:02}{number:03}"))
            .collect()
    }

    fn last_stage(self) -> Vec<String> {
        self.stage(self.stages - 1)
    }

    /// Submits the jobs of all stages. The estimates of a stage decrease, so that each job
    /// passes on an earlier deadline than the ones after it.
    fn submit(self, sim: &mut Simulation) {
        for stage in 0..self.stages {
            let dependencies = match stage {
                0 => Vec::new(),
                stage => self.stage(stage - 1),
            };
            for (number, id) in self.stage(stage).iter().enumerate() {
                let estimate_s = 20.0 + 15.0 * (self.jobs_per_stage - number) as f64;
                let job = pipeline_job(id, &dependencies, estimate_s, None);
                submit_to_any(sim, number, &job);
            }
        }
        sim.run_for(3000);
    }

    /// Submits a last job with a deadline, which names the last stage.
    fn submit_last(self, sim: &mut Simulation) {
        let deadline_s = Some(LAST_DEADLINE_S);
        let last = pipeline_job("run-last", &self.last_stage(), 8.0, deadline_s);
        submit_to_any(sim, 0, &last);
    }
}

const PIPELINES: [Pipeline; 4] = [
    Pipeline {
        stages: 3,
        jobs_per_stage: 8,
    },
    Pipeline {
        stages: 6,
        jobs_per_stage: 6,
    },
    Pipeline {
        stages: 12,
        jobs_per_stage: 4,
    },
    Pipeline {
        stages: 3,
        jobs_per_stage: 24,
    },
];

fn pipeline_job(
    id: &str,
    dependencies: &[String],
    estimate_s: f64,
    deadline_s: Option<f64>,
) -> Value {
    let mut spec = array(id, 1);
    spec["cpus"] = json!(1.0);
    spec["gpus"] = json!(0.0);
    spec["memoryGb"] = json!(1.0);
    spec["prevuS"] = json!(estimate_s);
    spec["echeanceS"] = json!(deadline_s);
    spec["attend"] = json!(dependencies);
    spec
}

fn submit_to_any(sim: &mut Simulation, number: usize, job: &Value) {
    assert_eq!(sim.submit(number % 3, job), 201, "{}", job["id"]);
}

fn leader(sim: &Simulation) -> &Node {
    let leader = sim.leader().expect("a leader is elected");
    sim.nodes[leader].as_ref().expect("the leader is up")
}

fn examined(sim: &Simulation) -> u64 {
    leader(sim).dependency_stats().examined
}

/// Creates a cluster whose tasks run longer than the test.
fn cluster_with_long_tasks() -> Simulation {
    let mut sim = running_cluster(3);
    sim.task_duration_ms = 10_000_000;
    sim
}

/// A deadline on the last job of a pipeline was propagated along every path through the
/// pipeline, which hung every leader in turn.
#[test]
fn deadline_of_last_job_examines_each_name_a_constant_number_of_times() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        pipeline.submit(&mut sim);
        let before = examined(&sim);
        pipeline.submit_last(&mut sim);
        sim.run_for(3000);
        let examined = examined(&sim) - before;
        pipeline.assert_cost(examined, 1);
    }
}

/// Each new job of a wide stage had the urgency of all jobs that it names derived anew from
/// all their dependents.
#[test]
fn submissions_without_deadline_examine_each_name_a_constant_number_of_times() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        let before = examined(&sim);
        pipeline.submit(&mut sim);
        let examined = examined(&sim) - before;
        pipeline.assert_cost(examined, 1);
    }
}

/// Each of several last jobs has an earlier deadline than those before, so that each one
/// changes the urgency of the whole pipeline.
#[test]
fn each_of_many_last_jobs_examines_each_name_a_constant_number_of_times() {
    const LAST_JOBS: u64 = 20;
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        pipeline.submit(&mut sim);
        let before = examined(&sim);
        for number in 0..LAST_JOBS {
            let id = format!("run-last-{number}");
            let deadline_s = LAST_DEADLINE_S - 1000.0 * number as f64;
            let last = pipeline_job(&id, &pipeline.last_stage(), 8.0, Some(deadline_s));
            submit_to_any(&mut sim, number as usize, &last);
            sim.run_for(300);
        }
        let examined = examined(&sim) - before;
        pipeline.assert_cost(examined, LAST_JOBS);
    }
}

/// All jobs are cancelled with the first one. Each of them ends, and had its dependents
/// visited and the urgency of its dependencies derived anew then.
#[test]
fn cancellation_of_pipeline_examines_each_name_a_constant_number_of_times() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        pipeline.submit(&mut sim);
        pipeline.submit_last(&mut sim);
        sim.run_for(3000);
        let before = examined(&sim);
        assert_eq!(sim.cancel(1, "run-00000").1, "cancelled");
        sim.run_for(30_000);
        for id in pipeline.stage(1) {
            assert_eq!(sim.query(2, &id).1, "cancelled", "{id}");
        }
        let examined = examined(&sim) - before;
        pipeline.assert_cost(examined, 1);
    }
}

/// All jobs of a pipeline run to their end, stage after stage.
#[test]
fn ends_of_stages_examine_each_name_a_constant_number_of_times() {
    for pipeline in PIPELINES {
        let mut sim = running_cluster(3);
        sim.task_duration_ms = 60_000;
        pipeline.submit(&mut sim);
        pipeline.submit_last(&mut sim);
        sim.run_for(3000);
        let before = examined(&sim);
        sim.task_duration_ms = 1000;
        sim.run_for(60_000 + 10_000 * pipeline.stages as u64);
        assert_eq!(sim.query(0, "run-last").1, "done", "{pipeline:?}");
        let examined = examined(&sim) - before;
        pipeline.assert_cost(examined, 1);
    }
}

/// A new leader reads the records of a pipeline with a deadline, which hung it as the
/// submission had hung the leader before.
#[test]
fn new_leader_examines_each_name_a_constant_number_of_times() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        pipeline.submit(&mut sim);
        pipeline.submit_last(&mut sim);
        sim.run_for(1000);
        let killed = sim.leader().expect("a leader is elected");
        sim.kill(killed);
        sim.run_for(8000);
        assert_ne!(sim.leader(), Some(killed));
        let examined = examined(&sim);
        assert!(examined >= pipeline.names(), "{pipeline:?}: {examined}");
        pipeline.assert_cost(examined, 1);
    }
}

/// The share of a core with which a slice may examine only thirty entries.
const SMALL_CORE_SHARE: f64 = 0.0003;

/// The whole propagation ran in one turn, during which the controller answered nothing.
#[test]
fn propagation_through_large_pipeline_runs_in_slices() {
    const SLICE_ENTRIES: u64 = 30;
    for pipeline in PIPELINES {
        let mut sim = Simulation::with_cores(3, SMALL_CORE_SHARE);
        sim.capacity = 0;
        sim.run_until(5000);
        pipeline.submit(&mut sim);
        let before = examined(&sim);
        pipeline.submit_last(&mut sim);
        sim.run_for(123_000);
        let cost = examined(&sim) - before;
        assert!(
            cost >= pipeline.names(),
            "{pipeline:?} isn't complete: {cost}"
        );
        let names_and_dependents_of_one_job = 2 * pipeline.jobs_per_stage as u64;
        let longest = leader(&sim).dependency_stats().longest_slice;
        assert!(
            longest <= SLICE_ENTRIES + names_and_dependents_of_one_job + 1,
            "{pipeline:?} examined {longest} in a slice"
        );
    }
}

/// Returns the edges that all controllers have examined to answer users.
fn examined_for_answers(sim: &Simulation) -> u64 {
    let nodes = sim.nodes.iter().flatten();
    nodes.map(Node::examined_for_answers).sum()
}

/// Queries jobs on one controller at the same time. Returns the states in the replies.
fn query_together(sim: &mut Simulation, node: usize, ids: &[String]) -> Vec<(u16, String)> {
    let mut queries = Vec::new();
    for id in ids {
        queries.push(sim.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null));
    }
    sim.run_for(1800);
    let replies = queries.iter().map(|query| sim.status_and_state(*query));
    replies.collect()
}

/// Every answer about a job visited all jobs that it depends on.
#[test]
fn answers_about_waiting_and_cancelled_jobs_examine_no_names() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        pipeline.submit(&mut sim);
        for state in ["pending", "cancelled"] {
            if state == "cancelled" {
                assert_eq!(sim.cancel(1, "run-00000").1, "cancelled");
            }
            let before = examined_for_answers(&sim);
            for node in 0..3 {
                let answers = query_together(&mut sim, node, &pipeline.last_stage());
                let expected = (200, state.to_string());
                assert!(answers.iter().all(|answer| *answer == expected));
            }
            let examined = examined_for_answers(&sim) - before;
            // Some of the cancelled jobs end in the meantime, and are removed once by each
            // controller.
            let max_examined = if state == "pending" {
                0
            } else {
                3 * pipeline.max_examined()
            };
            assert!(examined <= max_examined, "{pipeline:?} examined {examined}");
        }
    }
}

/// Every submission visited all jobs that the new job depends on, through all stages. Each
/// controller examines a name when it reads the job's record.
#[test]
fn acceptance_of_jobs_examines_each_name_once_on_each_controller() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_long_tasks();
        let before = examined_for_answers(&sim);
        pipeline.submit(&mut sim);
        let examined = examined_for_answers(&sim) - before;
        let controllers = 3;
        assert!(
            examined <= controllers * pipeline.names(),
            "{pipeline:?} examined {examined}, names {}",
            pipeline.names()
        );
    }
}

/// Counts the reads of final records by one controller from now on, whose responses are
/// delayed so that many requests wait for them.
fn count_slow_outcome_reads(sim: &mut Simulation, controller: usize) -> Rc<Cell<usize>> {
    let reads = Rc::new(Cell::new(0));
    let counter = reads.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if node != controller || !call.path.starts_with("/kv/f/") {
            return Delivery::Normal;
        }
        counter.set(counter.get() + 1);
        Delivery::ResponseDelayed(400)
    });
    reads
}

/// Creates a cluster in which the first stage of a pipeline is done, and the second
/// controller has just restarted.
fn cluster_with_first_stage_done(pipeline: Pipeline) -> Simulation {
    let mut sim = running_cluster(3);
    sim.task_duration_ms = 60_000;
    pipeline.submit(&mut sim);
    sim.task_duration_ms = 10_000_000;
    sim.run_for(63_000);
    for id in pipeline.stage(0) {
        assert_eq!(sim.query(0, &id).1, "done", "{id}");
    }
    sim.kill(1);
    sim.start(1);
    sim.run_for(4000);
    sim
}

/// A controller that has just started reads the outcome of each job of the first stage, which
/// is over. Every request had read all of them for itself.
#[test]
fn restarted_controller_reads_each_outcome_once_for_all_queries() {
    for pipeline in PIPELINES {
        let mut sim = cluster_with_first_stage_done(pipeline);
        let reads = count_slow_outcome_reads(&mut sim, 1);
        let waiting: Vec<String> = (1..pipeline.stages)
            .flat_map(|stage| pipeline.stage(stage))
            .collect();
        let answers = query_together(&mut sim, 1, &waiting);
        assert!(
            answers.iter().all(|(status, _)| *status == 200),
            "{answers:?}"
        );
        assert_eq!(reads.get(), pipeline.jobs_per_stage);
    }
}

/// Many last jobs that name the same ended jobs are submitted at the same time.
#[test]
fn restarted_controller_reads_each_outcome_once_for_all_submissions() {
    const LAST_JOBS: usize = 12;
    for pipeline in PIPELINES {
        let mut sim = cluster_with_first_stage_done(pipeline);
        let reads = count_slow_outcome_reads(&mut sim, 1);
        let submissions: Vec<u64> = (0..LAST_JOBS)
            .map(|number| {
                let id = format!("run-last-{number}");
                let last = pipeline_job(&id, &pipeline.stage(0), 8.0, None);
                sim.request(1, "POST", "/v2/runs", last)
            })
            .collect();
        sim.run_for(3000);
        for submission in submissions {
            assert_eq!(sim.status_and_state(submission).0, 201);
        }
        assert_eq!(reads.get(), pipeline.jobs_per_stage);
    }
}
