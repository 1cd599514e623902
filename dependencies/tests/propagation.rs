//! Tests of the propagation of urgency: comparison with a recursive definition after random
//! events, and the number of examined edges in pipelines of several sizes.

use lilacfork_common::ids::JobId;
use lilacfork_dependencies::propagation::{OwnUrgency, StageUrgency, UrgencyPropagation};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn id(n: usize) -> JobId {
    JobId::new(&format!("run-{n}"))
}

fn own(priority: u32, deadlines_wall_ms: &[u64], run_time_ms: u64) -> OwnUrgency<u32> {
    OwnUrgency {
        urgency: StageUrgency {
            priority,
            deadlines_wall_ms: deadlines_wall_ms.to_vec(),
        },
        run_time_ms,
    }
}

/// A job of a generated pipeline, which depends on some of the preceding ones.
#[derive(Clone, Debug)]
struct GeneratedJob {
    dependencies: Vec<JobId>,
    own: OwnUrgency<u32>,
}

fn pipelines() -> impl Strategy<Value = Vec<GeneratedJob>> {
    let deadlines = prop_oneof![
        Just(Vec::new()),
        (100_u64..2000).prop_map(|first| vec![first]),
        (100_u64..2000, 1_u64..500).prop_map(|(first, gap)| vec![first, first + gap]),
    ];
    let names = proptest::collection::vec(any::<prop::sample::Index>(), 0..5);
    let job = (names, 0_u32..4, deadlines, 1_u64..300);
    proptest::collection::vec(job, 1..16).prop_map(|jobs| {
        let generate = |(n, (names, priority, deadlines, run_time_ms)): (usize, _)| {
            let names: Vec<prop::sample::Index> = names;
            let deadlines: Vec<u64> = deadlines;
            let names = names
                .into_iter()
                .filter(|_| n > 0)
                .map(|name| name.index(n));
            GeneratedJob {
                dependencies: names.collect::<BTreeSet<_>>().into_iter().map(id).collect(),
                own: own(priority, &deadlines, run_time_ms),
            }
        };
        jobs.into_iter().enumerate().map(generate).collect()
    })
}

/// The state of a job whose record was read.
#[derive(Clone, Copy, PartialEq, Debug)]
enum JobState {
    Unfinished,
    Cancelled,
    Over,
}

/// The jobs whose records were read, beside the propagation under test.
struct Model {
    jobs: Vec<GeneratedJob>,
    states: BTreeMap<JobId, JobState>,
    propagation: UrgencyPropagation<u32>,
}

impl Model {
    fn new(jobs: Vec<GeneratedJob>) -> Model {
        Model {
            jobs,
            states: BTreeMap::new(),
            propagation: UrgencyPropagation::default(),
        }
    }

    fn is(&self, n: usize, state: JobState) -> bool {
        self.states.get(&id(n)) == Some(&state)
    }

    fn names(&self, n: usize, dependency: &JobId) -> bool {
        self.jobs[n].dependencies.contains(dependency)
    }

    fn add(&mut self, n: usize) {
        if self.states.contains_key(&id(n)) {
            return;
        }
        self.states.insert(id(n), JobState::Unfinished);
        // Done dependencies aren't open any more when the job is added.
        let dependencies = &self.jobs[n].dependencies;
        let open: Vec<JobId> = dependencies
            .iter()
            .filter(|name| self.states.get(*name) != Some(&JobState::Over))
            .cloned()
            .collect();
        self.jobs[n].dependencies = open.clone();
        let revision = n as u64 + 1;
        self.propagation.add(&id(n), revision, &open);
        let is_cancelled = |name: &JobId| self.states.get(name) == Some(&JobState::Cancelled);
        if open.iter().any(is_cancelled) {
            self.cancel(n);
        }
    }

    fn cancel(&mut self, n: usize) {
        if !self.is(n, JobState::Unfinished) {
            return;
        }
        self.states.insert(id(n), JobState::Cancelled);
        for dependent in self.propagation.cancel(&id(n)) {
            let state = self.states.insert(dependent.clone(), JobState::Cancelled);
            assert_eq!(
                state,
                Some(JobState::Unfinished),
                "{dependent} is cancelled twice"
            );
        }
        for dependent in 0..self.jobs.len() {
            let is_open = self.is(dependent, JobState::Unfinished);
            assert!(
                !(is_open && self.names(dependent, &id(n))),
                "{dependent} isn't cancelled"
            );
        }
    }

    /// Ends a job that is cancelled or has no open dependency.
    fn end(&mut self, n: usize) {
        if self.is(n, JobState::Cancelled) {
            self.propagation.remove_dependencies(&id(n));
        } else if self.is(n, JobState::Unfinished) && !self.propagation.is_blocked(&id(n)) {
            self.propagation.remove_dependencies(&id(n));
            self.propagation.mark_done(&id(n));
            for job in &mut self.jobs {
                job.dependencies.retain(|name| *name != id(n));
            }
        } else {
            return;
        }
        self.states.insert(id(n), JobState::Over);
    }

    fn process(&mut self, max_examined: u64) {
        let (jobs, states) = (&self.jobs, &self.states);
        self.propagation.process(max_examined, |name| {
            let n = (0..jobs.len()).find(|n| id(*n) == *name)?;
            let is_unfinished = states.get(name) == Some(&JobState::Unfinished);
            is_unfinished.then(|| jobs[n].own.clone())
        });
    }

    /// Returns the inherited urgency by its definition.
    fn inherited(&self, name: &JobId) -> Option<StageUrgency<u32>> {
        (0..self.jobs.len())
            .filter(|n| self.is(*n, JobState::Unfinished) && self.names(*n, name))
            .map(|n| {
                let own = self.jobs[n].own.clone();
                let urgency = match self.inherited(&id(n)) {
                    Some(inherited) => own.urgency.merge(inherited),
                    None => own.urgency,
                };
                urgency.for_predecessor(own.run_time_ms)
            })
            .reduce(StageUrgency::merge)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    })]

    /// Jobs are added in any order, cancelled and ended between slices of any length. Once the
    /// queue is empty, each job inherits what the recursive definition says, and the jobs that
    /// no longer inherit anything have been reported.
    #[test]
    fn inherited_urgency_matches_recursive_definition(
        generated in pipelines(),
        steps in proptest::collection::vec((0..6, any::<prop::sample::Index>()), 0..60),
    ) {
        let mut model = Model::new(generated);
        let mut inheriting: BTreeSet<JobId> = BTreeSet::new();
        for (step, index) in steps {
            let n = index.index(model.jobs.len());
            match step {
                0..=2 => model.add(n),
                3 => model.cancel(n),
                4 => model.end(n),
                _ => model.process(n as u64),
            }
            if n % 4 != 0 {
                continue;
            }
            model.process(u64::MAX / 2);
            prop_assert!(!model.propagation.is_pending());
            let disinherited: BTreeSet<JobId> =
                model.propagation.take_disinherited().into_iter().collect();
            for n in 0..model.jobs.len() {
                let expected = model.inherited(&id(n));
                if !model.is(n, JobState::Over) {
                    prop_assert_eq!(model.propagation.inherited(&id(n)), expected.as_ref());
                }
                if expected.is_some() {
                    inheriting.insert(id(n));
                } else if inheriting.remove(&id(n)) && !model.is(n, JobState::Over) {
                    prop_assert!(disinherited.contains(&id(n)), "{n} isn't reported");
                }
            }
        }
    }
}

/// The number of edges between two stages and of jobs, and what was examined.
struct Cost {
    names: u64,
    jobs: u64,
    examined: u64,
}

/// A pipeline whose jobs each name the whole stage before, with a deadline on its last job.
#[derive(Clone, Copy, Debug)]
struct Pipeline {
    stages: usize,
    jobs_per_stage: usize,
    /// Whether the later a job of a stage, the longer it is; otherwise the shorter.
    later_is_longer: bool,
}

/// Adds a pipeline, and empties the queue after each stage or at the end only.
fn propagate(pipeline: Pipeline, after_each_stage: bool) -> Cost {
    let Pipeline {
        stages,
        jobs_per_stage,
        later_is_longer,
    } = pipeline;
    let mut propagation = UrgencyPropagation::default();
    let last = stages * jobs_per_stage;
    let own_urgency = |name: &JobId| -> Option<OwnUrgency<u32>> {
        let n: usize = name.as_str().strip_prefix("run-")?.parse().ok()?;
        let deadlines: &[u64] = if n == last { &[1_000_000_000] } else { &[] };
        let rank = match later_is_longer {
            true => n % jobs_per_stage,
            false => jobs_per_stage - n % jobs_per_stage,
        };
        Some(own(1, deadlines, 20 + rank as u64))
    };
    let mut names = 0;
    for n in 0..=last {
        let stage = n / jobs_per_stage;
        let before = (stage.saturating_sub(1) * jobs_per_stage)..(stage * jobs_per_stage);
        let dependencies: Vec<JobId> = before.map(id).collect();
        names += dependencies.len() as u64;
        propagation.add(&id(n), n as u64 + 1, &dependencies);
        if after_each_stage && n % jobs_per_stage == 0 {
            propagation.process(u64::MAX / 2, own_urgency);
        }
    }
    propagation.process(u64::MAX / 2, own_urgency);
    assert!(!propagation.is_pending());
    let inherited = propagation
        .inherited(&id(0))
        .expect("the deadline is inherited");
    assert_eq!(inherited.deadlines_wall_ms.len(), 1);
    Cost {
        names,
        jobs: last as u64 + 1,
        examined: propagation.examined(),
    }
}

/// A pipeline of ten stages of fifty jobs took millions of steps, one for each path on which
/// a deadline got earlier. Each edge may be examined twice when it is added, once when its
/// job first passes on a priority, and once when it passes on the deadline. Each job may be
/// processed after it is added, after a job that names it is added, and for the deadline.
#[test]
fn propagation_examines_each_edge_a_constant_number_of_times() {
    let sizes = [
        (2, 10),
        (10, 10),
        (10, 50),
        (100, 10),
        (400, 2),
        (3, 200),
        (2, 500),
    ];
    for (stages, jobs_per_stage) in sizes {
        for (later_is_longer, after_each_stage) in
            [(false, false), (false, true), (true, false), (true, true)]
        {
            let pipeline = Pipeline {
                stages,
                jobs_per_stage,
                later_is_longer,
            };
            let cost = propagate(pipeline, after_each_stage);
            assert!(
                cost.examined <= 4 * cost.names + 3 * cost.jobs,
                "{pipeline:?}: {} names, {} jobs, {} examined",
                cost.names,
                cost.jobs,
                cost.examined
            );
        }
    }
}

/// A slice ends after the job with which it reaches its limit.
#[test]
fn slice_examines_no_more_than_its_limit_and_one_job() {
    let mut propagation = UrgencyPropagation::default();
    let (stages, jobs_per_stage) = (10, 20);
    for n in 0..stages * jobs_per_stage {
        let stage = n / jobs_per_stage;
        let before = (stage.max(1) - 1) * jobs_per_stage..stage * jobs_per_stage;
        let dependencies: Vec<JobId> = before.map(id).collect();
        propagation.add(&id(n), n as u64 + 1, &dependencies);
    }
    let edges_of_one_job = 2 * jobs_per_stage as u64 + 1;
    while propagation.is_pending() {
        let before = propagation.examined();
        propagation.process(100, |_| Some(own(1, &[1_000_000], 10)));
        let examined = propagation.examined() - before;
        assert!(
            examined < 100 + edges_of_one_job,
            "a slice examined {examined}"
        );
    }
}

/// Builds a pipeline and empties the queue. Returns it with the number of names.
fn propagated_pipeline(
    stages: usize,
    jobs_per_stage: usize,
    own_urgency: impl Fn(&JobId) -> Option<OwnUrgency<u32>>,
) -> (UrgencyPropagation<u32>, u64) {
    let mut propagation = UrgencyPropagation::default();
    let mut names = 0;
    for n in 0..stages * jobs_per_stage {
        let stage = n / jobs_per_stage;
        let before = (stage.max(1) - 1) * jobs_per_stage..stage * jobs_per_stage;
        let dependencies: Vec<JobId> = before.map(id).collect();
        names += dependencies.len() as u64;
        propagation.add(&id(n), n as u64 + 1, &dependencies);
    }
    propagation.process(u64::MAX / 2, own_urgency);
    (propagation, names)
}

/// Each end of a cancelled job had the jobs that it names derived anew from all that name
/// them, although its urgency had lapsed with its cancellation.
#[test]
fn ends_of_cancelled_jobs_examine_each_edge_a_constant_number_of_times() {
    for (stages, jobs_per_stage) in [(2, 10), (10, 10), (10, 50), (100, 10), (3, 200), (2, 500)] {
        let unfinished = |_: &JobId| Some(own(1, &[1_000_000], 10));
        let (mut propagation, names) = propagated_pipeline(stages, jobs_per_stage, unfinished);
        let jobs = (stages * jobs_per_stage) as u64;
        let before = propagation.examined();
        let cancelled = propagation.cancel(&id(0));
        assert_eq!(cancelled.len(), (stages - 1) * jobs_per_stage);
        propagation.process(u64::MAX / 2, |_| None);
        for job in &cancelled {
            propagation.remove_dependencies(job);
            propagation.cancel(job);
            propagation.process(u64::MAX / 2, |_| None);
        }
        let examined = propagation.examined() - before;
        // Each edge is visited by the cancellation, when its job's urgency lapses, when its
        // dependency is derived anew, and when it is removed.
        assert!(
            examined <= 4 * names + 2 * jobs,
            "{stages} stages of {jobs_per_stage}: {names} names, {examined} examined"
        );
    }
}
