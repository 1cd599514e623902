//! Tests the validation, status, graph and urgency of dependencies against simple
//! reference implementations.

use lilacfork_common::ids::JobId;
use lilacfork_dependencies::graph::DependencyGraph;
use lilacfork_dependencies::propagation::StageUrgency;
use lilacfork_dependencies::status::{DependencyState, DependencyStatus, Outcome, StatusIndex};
use lilacfork_dependencies::validation::{validate, DependencyError};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn id(n: usize) -> JobId {
    JobId::new(&format!("run-{n}"))
}

#[test]
fn validation_rejects_self_dependency_and_duplicates() {
    assert_eq!(validate(&id(0), &[]), Ok(()));
    assert_eq!(validate(&id(0), &[id(1), id(2)]), Ok(()));
    assert_eq!(
        validate(&id(0), &[id(1), id(0)]),
        Err(DependencyError::SelfDependency)
    );
    let twice = validate(&id(0), &[id(1), id(2), id(1)]);
    assert_eq!(twice, Err(DependencyError::Duplicate(id(1))));
}

/// The state of a job in a generated pipeline. `Unread` means that the job is over and that
/// its outcome hasn't been read.
#[derive(Clone, Copy, PartialEq, Debug)]
enum JobState {
    Done,
    Cancelled,
    Unfinished,
    Unread,
}

/// Generates jobs, each of which depends on some of the preceding ones.
fn pipelines() -> impl Strategy<Value = Vec<(JobState, Vec<JobId>)>> {
    let state = prop_oneof![
        Just(JobState::Done),
        Just(JobState::Cancelled),
        Just(JobState::Unfinished),
        Just(JobState::Unfinished),
        Just(JobState::Unfinished),
        Just(JobState::Unread),
    ];
    let job = (
        state,
        proptest::collection::vec(any::<prop::sample::Index>(), 0..4),
    );
    proptest::collection::vec(job, 1..24).prop_map(|jobs| {
        let dependencies = |n: usize, generated: Vec<prop::sample::Index>| {
            let generated = generated.into_iter().filter(|_| n > 0).map(|i| i.index(n));
            generated
                .collect::<BTreeSet<_>>()
                .into_iter()
                .map(id)
                .collect()
        };
        let jobs = jobs.into_iter().enumerate();
        jobs.map(|(n, (state, generated))| (state, dependencies(n, generated)))
            .collect()
    })
}

/// Returns all direct and transitive dependencies by recursion. Doesn't follow the
/// dependencies of jobs that are over.
fn transitive_dependencies(
    jobs: &BTreeMap<JobId, (JobState, Vec<JobId>)>,
    dependencies: &[JobId],
) -> BTreeSet<JobId> {
    let mut all = BTreeSet::new();
    for dependency in dependencies {
        all.insert(dependency.clone());
        let (state, further) = &jobs[dependency];
        if *state == JobState::Unfinished {
            all.extend(transitive_dependencies(jobs, further));
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The records are read in any order. Each edge is visited a constant number of times.
    #[test]
    fn status_matches_transitive_dependencies(
        generated in pipelines(),
        order in Just((0..24).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let jobs: BTreeMap<JobId, _> =
            generated.iter().enumerate().map(|(n, job)| (id(n), job.clone())).collect();
        let mut index = StatusIndex::default();
        let mut names = 0;
        for n in order.into_iter().filter(|n| *n < generated.len()) {
            let (state, dependencies) = &generated[n];
            if matches!(state, JobState::Unfinished | JobState::Cancelled) {
                names += dependencies.len() as u64;
                index.put(&id(n), dependencies, *state == JobState::Cancelled);
            }
        }
        for (n, (state, _)) in generated.iter().enumerate() {
            if *state == JobState::Done {
                index.resolve(&id(n), Outcome::Done);
            }
        }
        prop_assert!(index.examined() <= 3 * names);
        let unread: BTreeSet<JobId> = std::iter::from_fn(|| index.take_unread()).collect();
        let unfinished = generated.iter().filter(|(state, _)| {
            matches!(state, JobState::Unfinished | JobState::Cancelled)
        });
        let named: BTreeSet<&JobId> = unfinished.flat_map(|(_, named)| named).collect();
        let expected: BTreeSet<JobId> = named
            .into_iter()
            .filter(|named| jobs[*named].0 == JobState::Unread)
            .cloned()
            .collect();
        prop_assert_eq!(unread, expected);
        for (n, (state, dependencies)) in generated.iter().enumerate() {
            if *state != JobState::Unfinished {
                continue;
            }
            let all = transitive_dependencies(&jobs, dependencies);
            let any = |state| all.iter().any(|dependency| jobs[dependency].0 == state);
            let expected = if any(JobState::Cancelled) {
                DependencyStatus::Cancelled
            } else if any(JobState::Unread) {
                DependencyStatus::Undetermined
            } else {
                DependencyStatus::NotCancelled
            };
            prop_assert_eq!(index.status(&id(n)), expected);
            for dependency in dependencies {
                let (state, further) = &jobs[dependency];
                let all = transitive_dependencies(&jobs, further);
                let names_cancelled = all.iter().any(|job| jobs[job].0 == JobState::Cancelled);
                let expected = match state {
                    JobState::Done => DependencyState::Done,
                    JobState::Unread => DependencyState::Unknown,
                    JobState::Unfinished if !names_cancelled => DependencyState::Unfinished,
                    JobState::Unfinished | JobState::Cancelled => DependencyState::Cancelled,
                };
                prop_assert_eq!(index.state(dependency), expected);
            }
        }
    }

    /// Adds jobs, marks them as done and removes them in random order, and compares the
    /// graph with a list of open dependencies after each step.
    #[test]
    fn graph_matches_list_of_open_dependencies(
        generated in pipelines(),
        steps in proptest::collection::vec((0..3, any::<prop::sample::Index>()), 0..60),
    ) {
        let mut graph = DependencyGraph::<()>::default();
        let mut open: BTreeMap<JobId, BTreeSet<JobId>> = BTreeMap::new();
        for (step, index) in steps {
            let n = index.index(generated.len());
            let (job, dependencies) = (id(n), &generated[n].1);
            match step {
                0 if !open.contains_key(&job) => {
                    graph.add(&job, dependencies);
                    open.insert(job, dependencies.iter().cloned().collect());
                }
                1 => {
                    let mut ready: BTreeSet<JobId> = BTreeSet::new();
                    for (dependent, dependencies) in &mut open {
                        if dependencies.remove(&job) && dependencies.is_empty() {
                            ready.insert(dependent.clone());
                        }
                    }
                    let reported: BTreeSet<JobId> = graph.mark_done(&job).into_iter().collect();
                    prop_assert_eq!(reported, ready);
                }
                _ => {
                    graph.remove_dependencies(&job);
                    open.remove(&job);
                }
            }
            for n in 0..generated.len() {
                let job = id(n);
                let is_blocked = open.get(&job).is_some_and(|dependencies| !dependencies.is_empty());
                prop_assert_eq!(graph.is_blocked(&job), is_blocked);
                let direct: BTreeSet<JobId> = open
                    .iter()
                    .filter(|(_, dependencies)| dependencies.contains(&job))
                    .map(|(dependent, _)| dependent.clone())
                    .collect();
                prop_assert_eq!(graph.has_dependents(&job), !direct.is_empty());
                let mut all = direct.clone();
                while let Some(next) = open.iter().find(|(dependent, dependencies)| {
                    let depends_on_any = dependencies.iter().any(|job| all.contains(job));
                    !all.contains(*dependent) && depends_on_any
                }) {
                    all.insert(next.0.clone());
                }
                let reported = graph.transitive_dependents(&job, |()| true);
                prop_assert_eq!(reported.len(), all.len(), "a job is reported more than once");
                prop_assert_eq!(reported.into_iter().collect::<BTreeSet<_>>(), all);
            }
        }
    }
}

#[test]
fn merged_urgency_has_most_important_priority_and_earliest_deadlines() {
    let urgency = |priority: u32, deadlines: &[u64]| StageUrgency {
        priority,
        deadlines_wall_ms: deadlines.to_vec(),
    };
    let summary = urgency(1, &[1000, 1500]);
    assert_eq!(summary.for_predecessor(400), urgency(1, &[600, 1100]));
    assert_eq!(
        summary.for_predecessor(1200).deadlines_wall_ms,
        [0, 300],
        "a deadline that has passed becomes 0"
    );
    for (other, all) in [
        (urgency(3, &[]), urgency(1, &[1000, 1500])),
        (urgency(0, &[]), urgency(0, &[1000, 1500])),
        (urgency(2, &[900]), urgency(1, &[900])),
        (urgency(0, &[1100]), urgency(0, &[1000, 1500])),
    ] {
        assert_eq!(summary.clone().merge(other.clone()), all);
        assert_eq!(other.merge(summary.clone()), all);
    }
}
