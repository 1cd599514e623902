//! Needs, standing, graph and urgency, against the plainest way to say the same.

use lilacfork_common::ids::JobId;
use lilacfork_dependencies::graph::DependencyGraph;
use lilacfork_dependencies::propagation::StageUrgency;
use lilacfork_dependencies::status::{dependency_status, DependencyState, DependencyStatus};
use lilacfork_dependencies::validation::{validate, DependencyError};
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

fn id(n: usize) -> JobId {
    JobId::new(&format!("run-{n}"))
}

#[test]
fn what_may_be_named() {
    assert_eq!(validate(&id(0), &[]), Ok(()));
    assert_eq!(validate(&id(0), &[id(1), id(2)]), Ok(()));
    assert_eq!(
        validate(&id(0), &[id(1), id(0)]),
        Err(DependencyError::SelfDependency)
    );
    let twice = validate(&id(0), &[id(1), id(2), id(1)]);
    assert_eq!(twice, Err(DependencyError::Duplicate(id(1))));
}

/// What is known of a job in a drawn pipeline.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Drawn {
    Done,
    Cancelled,
    Unfinished,
    Unread,
}

/// Jobs, each of which needs some of those before it.
fn pipelines() -> impl Strategy<Value = Vec<(Drawn, Vec<JobId>)>> {
    let state = prop_oneof![
        Just(Drawn::Done),
        Just(Drawn::Cancelled),
        Just(Drawn::Unfinished),
        Just(Drawn::Unfinished),
        Just(Drawn::Unfinished),
        Just(Drawn::Unread),
    ];
    let job = (
        state,
        proptest::collection::vec(any::<prop::sample::Index>(), 0..4),
    );
    proptest::collection::vec(job, 1..24).prop_map(|jobs| {
        let needs = |n: usize, drawn: Vec<prop::sample::Index>| {
            let drawn = drawn.into_iter().filter(|_| n > 0).map(|i| i.index(n));
            drawn.collect::<BTreeSet<_>>().into_iter().map(id).collect()
        };
        let jobs = jobs.into_iter().enumerate();
        jobs.map(|(n, (state, drawn))| (state, needs(n, drawn)))
            .collect()
    })
}

/// Everything that a job needs up to jobs that are over, by recursion.
fn reached(jobs: &BTreeMap<JobId, (Drawn, Vec<JobId>)>, needs: &[JobId]) -> BTreeSet<JobId> {
    let mut all = BTreeSet::new();
    for need in needs {
        all.insert(need.clone());
        let (state, further) = &jobs[need];
        if *state == Drawn::Unfinished {
            all.extend(reached(jobs, further));
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

    #[test]
    fn a_job_stands_as_what_it_reaches_says(drawn in pipelines()) {
        let jobs: BTreeMap<JobId, _> =
            drawn.iter().enumerate().map(|(n, job)| (id(n), job.clone())).collect();
        for (_, needs) in &drawn {
            let looked = RefCell::new(BTreeMap::<JobId, u32>::new());
            let verdict = dependency_status(needs, |need| {
                *looked.borrow_mut().entry(need.clone()).or_default() += 1;
                match &jobs[need] {
                    (Drawn::Done, _) => DependencyState::Done,
                    (Drawn::Cancelled, _) => DependencyState::Cancelled,
                    (Drawn::Unfinished, further) => DependencyState::Unfinished(further),
                    (Drawn::Unread, _) => DependencyState::Unread,
                }
            });
            prop_assert!(looked.borrow().values().all(|times| *times == 1));
            let all = reached(&jobs, needs);
            let any = |state| all.iter().any(|need| jobs[need].0 == state);
            let unread = || all.iter().filter(|need| jobs[*need].0 == Drawn::Unread).cloned();
            match verdict {
                DependencyStatus::Cancelled => prop_assert!(any(Drawn::Cancelled)),
                DependencyStatus::Unread(named) => {
                    prop_assert!(!any(Drawn::Cancelled));
                    let named: BTreeSet<JobId> = named.into_iter().collect();
                    prop_assert_eq!(named, unread().collect::<BTreeSet<_>>());
                }
                DependencyStatus::Waiting => {
                    prop_assert!(!any(Drawn::Cancelled) && !any(Drawn::Unread));
                    prop_assert!(any(Drawn::Unfinished));
                }
                DependencyStatus::Ready => {
                    prop_assert!(all.iter().all(|need| jobs[need].0 == Drawn::Done));
                }
            }
        }
    }

    /// Jobs come, end and are forgotten in any order: the graph says what the list of
    /// open needs says.
    #[test]
    fn the_graph_says_what_a_list_of_needs_says(
        drawn in pipelines(),
        steps in proptest::collection::vec((0..3, any::<prop::sample::Index>()), 0..60),
    ) {
        let mut graph = DependencyGraph::default();
        let mut open: BTreeMap<JobId, BTreeSet<JobId>> = BTreeMap::new();
        for (step, index) in steps {
            let n = index.index(drawn.len());
            let (job, needs) = (id(n), &drawn[n].1);
            match step {
                0 if !open.contains_key(&job) => {
                    graph.add(&job, needs);
                    open.insert(job, needs.iter().cloned().collect());
                }
                1 => {
                    let mut ready: BTreeSet<JobId> = BTreeSet::new();
                    for (dependent, needs) in &mut open {
                        if needs.remove(&job) && needs.is_empty() {
                            ready.insert(dependent.clone());
                        }
                    }
                    let told: BTreeSet<JobId> = graph.mark_done(&job).into_iter().collect();
                    prop_assert_eq!(told, ready);
                }
                _ => {
                    graph.remove_dependencies(&job);
                    open.remove(&job);
                }
            }
            for n in 0..drawn.len() {
                let job = id(n);
                let waits = open.get(&job).is_some_and(|needs| !needs.is_empty());
                prop_assert_eq!(graph.is_blocked(&job), waits);
                let direct: BTreeSet<JobId> = open
                    .iter()
                    .filter(|(_, needs)| needs.contains(&job))
                    .map(|(dependent, _)| dependent.clone())
                    .collect();
                prop_assert_eq!(graph.has_dependents(&job), !direct.is_empty());
                let mut all = direct.clone();
                while let Some(next) = open.iter().find(|(dependent, needs)| {
                    !all.contains(*dependent) && needs.iter().any(|need| all.contains(need))
                }) {
                    all.insert(next.0.clone());
                }
                let told = graph.transitive_dependents(&job);
                prop_assert_eq!(told.len(), all.len(), "each once");
                prop_assert_eq!(told.into_iter().collect::<BTreeSet<_>>(), all);
            }
        }
    }
}

#[test]
fn urgency_is_that_of_whoever_is_due_first() {
    let urgency = |priority: u32, dates: &[u64]| StageUrgency {
        priority,
        deadlines: dates.to_vec(),
    };
    let report = urgency(1, &[1000, 1500]);
    assert_eq!(report.for_predecessor(400), urgency(1, &[600, 1100]));
    assert_eq!(
        report.for_predecessor(1200).deadlines,
        [0, 300],
        "it is late already"
    );
    for (other, all) in [
        (urgency(3, &[]), urgency(1, &[1000, 1500])),
        (urgency(0, &[]), urgency(0, &[1000, 1500])),
        (urgency(2, &[900]), urgency(1, &[900])),
        (urgency(0, &[1100]), urgency(0, &[1000, 1500])),
    ] {
        assert_eq!(report.clone().merge(other.clone()), all);
        assert_eq!(other.merge(report.clone()), all);
    }
}
