//! Tests of the status index against a model of the stored records: users submit and cancel
//! jobs and a leader ends them, while the index reads a list of the records page by page
//! and then the changes since the first page.

use lilacfork_common::ids::JobId;
use lilacfork_dependencies::status::{DependencyState, DependencyStatus, Outcome, StatusIndex};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// The most jobs in the model.
const MAX_JOBS: usize = 12;
/// How many jobs a page of the list covers.
const JOBS_PER_PAGE: usize = 3;

/// The width keeps the order of the ids that of the numbers.
fn id(n: usize) -> JobId {
    JobId::new(&format!("run-{n:02}"))
}

/// What the store holds of a job.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Stored {
    Nothing,
    Unfinished { is_cancelled: bool },
    Ended(Outcome),
}

/// A change of the records of unfinished jobs.
#[derive(Clone, Copy, Debug)]
enum Change {
    Put { n: usize, is_cancelled: bool },
    Deleted(usize),
}

/// The store with the rules by which users and the leader change it.
#[derive(Debug)]
struct Store {
    /// The dependencies of each job, which are some of the jobs accepted before.
    dependencies: Vec<Vec<usize>>,
    stored: Vec<Stored>,
    changes: Vec<Change>,
}

impl Store {
    fn names(&self, n: usize) -> Vec<JobId> {
        self.dependencies[n].iter().copied().map(id).collect()
    }

    fn put(&mut self, n: usize, is_cancelled: bool) {
        self.stored[n] = Stored::Unfinished { is_cancelled };
        self.changes.push(Change::Put { n, is_cancelled });
    }

    /// Returns whether a job is cancelled according to all records.
    fn is_cancelled(&self, n: usize) -> bool {
        match self.stored[n] {
            Stored::Unfinished { is_cancelled: true } | Stored::Ended(Outcome::Cancelled) => true,
            Stored::Unfinished { .. } => self.names_cancelled(n),
            Stored::Nothing | Stored::Ended(Outcome::Done) => false,
        }
    }

    fn names_cancelled(&self, n: usize) -> bool {
        self.dependencies[n]
            .iter()
            .any(|name| self.is_cancelled(*name))
    }

    /// Accepts a job. The controller that accepts it may not know yet that a dependency is
    /// cancelled.
    fn accept(&mut self, n: usize, sees_cancellation: bool) {
        let is_accepted = |name: &usize| self.stored[*name] != Stored::Nothing;
        if self.stored[n] != Stored::Nothing || !self.dependencies[n].iter().all(is_accepted) {
            return;
        }
        if sees_cancellation && self.names_cancelled(n) {
            self.stored[n] = Stored::Ended(Outcome::Cancelled);
        } else {
            self.put(n, false);
        }
    }

    fn cancel(&mut self, n: usize) {
        if matches!(self.stored[n], Stored::Unfinished { .. }) {
            self.put(n, true);
        }
    }

    /// Ends a job as the leader does: as cancelled if it is, and as done once all its
    /// dependencies are.
    fn end(&mut self, n: usize) {
        let is_done = |name: &usize| self.stored[*name] == Stored::Ended(Outcome::Done);
        let outcome = match self.stored[n] {
            Stored::Unfinished { .. } if self.is_cancelled(n) => Outcome::Cancelled,
            Stored::Unfinished { .. } if self.dependencies[n].iter().all(is_done) => Outcome::Done,
            _ => return,
        };
        self.stored[n] = Stored::Ended(outcome);
        self.changes.push(Change::Deleted(n));
    }
}

/// A controller that lists the records and then follows their changes.
#[derive(Default)]
struct Reader {
    index: StatusIndex,
    /// The number of changes before the first page; `None` before the list begins.
    applied: Option<usize>,
    pages_read: usize,
    names: u64,
}

impl Reader {
    fn has_listed(&self) -> bool {
        self.pages_read * JOBS_PER_PAGE >= MAX_JOBS
    }

    fn read_page(&mut self, store: &Store) {
        self.applied.get_or_insert(store.changes.len());
        let first = self.pages_read * JOBS_PER_PAGE;
        for n in first..(first + JOBS_PER_PAGE).min(store.stored.len()) {
            if let Stored::Unfinished { is_cancelled } = store.stored[n] {
                self.put(store, n, is_cancelled);
            }
        }
        self.pages_read += 1;
    }

    fn put(&mut self, store: &Store, n: usize, is_cancelled: bool) {
        self.names += store.dependencies[n].len() as u64;
        self.index.put(&id(n), &store.names(n), is_cancelled);
    }

    /// Applies all changes since the last call, or since the first page.
    fn poll(&mut self, store: &Store) {
        for change in store.changes.iter().skip(self.applied.unwrap_or(0)) {
            match *change {
                Change::Put { n, is_cancelled } => self.put(store, n, is_cancelled),
                Change::Deleted(n) => self.index.remove(&id(n)),
            }
        }
        self.applied = Some(store.changes.len());
    }

    fn check(&self, store: &Store) {
        for (n, stored) in store.stored.iter().enumerate() {
            let is_unfinished = matches!(stored, Stored::Unfinished { .. });
            assert_eq!(self.index.is_unfinished(&id(n)), is_unfinished, "{n}");
            if !is_unfinished {
                continue;
            }
            match self.index.status(&id(n)) {
                DependencyStatus::Cancelled => assert!(store.is_cancelled(n), "{n}"),
                DependencyStatus::NotCancelled => assert!(!store.is_cancelled(n), "{n}"),
                DependencyStatus::Undetermined => {}
            }
            for name in &store.dependencies[n] {
                self.check_state(store, *name);
            }
        }
    }

    fn check_state(&self, store: &Store, n: usize) {
        match self.index.state(&id(n)) {
            DependencyState::Done => assert_eq!(store.stored[n], Stored::Ended(Outcome::Done)),
            DependencyState::Cancelled => assert!(store.is_cancelled(n), "{n}"),
            DependencyState::Unfinished => {
                assert!(matches!(store.stored[n], Stored::Unfinished { .. }), "{n}");
            }
            DependencyState::Unknown => {
                assert!(matches!(store.stored[n], Stored::Ended(_)), "{n}");
            }
        }
    }

    /// Reads the outcomes that are asked for, after which every status is determined.
    fn read_outcomes(&mut self, store: &Store) {
        while let Some(job) = self.index.take_unread() {
            let n = (0..store.stored.len()).find(|n| id(*n) == job);
            match n.map(|n| store.stored[n]) {
                Some(Stored::Ended(outcome)) => self.index.resolve(&job, outcome),
                other => panic!("{job} has no outcome: {other:?}"),
            }
        }
        for (n, stored) in store.stored.iter().enumerate() {
            if matches!(stored, Stored::Unfinished { .. }) {
                let is_determined = self.index.status(&id(n)) != DependencyStatus::Undetermined;
                assert!(is_determined, "{n}");
            }
        }
    }
}

fn stores() -> impl Strategy<Value = Store> {
    let names = proptest::collection::vec(any::<prop::sample::Index>(), 0..4);
    // Jobs are accepted in an order that isn't that of their ids, so that a page may hold
    // a job without its dependencies.
    let order = Just((0..MAX_JOBS).collect::<Vec<usize>>()).prop_shuffle();
    let jobs = proptest::collection::vec(names, MAX_JOBS);
    (order, jobs).prop_map(|(order, jobs)| {
        let mut dependencies = vec![Vec::new(); MAX_JOBS];
        for (position, names) in jobs.into_iter().enumerate().skip(1) {
            let names: BTreeSet<usize> = names
                .into_iter()
                .map(|name| order[name.index(position)])
                .collect();
            dependencies[order[position]] = names.into_iter().collect();
        }
        Store {
            dependencies,
            stored: vec![Stored::Nothing; MAX_JOBS],
            changes: Vec::new(),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        cases: 2048,
        ..ProptestConfig::default()
    })]

    /// A status that the index determines is that of all records, also when only some of the
    /// outcomes were read. Each edge is visited a constant number of times.
    #[test]
    fn determined_status_matches_all_records(
        mut store in stores(),
        steps in proptest::collection::vec((0..12, 0..MAX_JOBS), 0..160),
    ) {
        let mut reader = Reader::default();
        for (step, n) in steps {
            match step {
                0..=4 => store.accept(n, step == 0),
                5 => store.cancel(n),
                6..=8 => store.end(n),
                _ if !reader.has_listed() => reader.read_page(&store),
                9 => {
                    reader.poll(&store);
                    reader.check(&store);
                }
                10 => {
                    reader.poll(&store);
                    if let Some(job) = reader.index.take_unread() {
                        reader.index.return_unread(&job);
                    }
                }
                _ => {
                    reader.poll(&store);
                    reader.check(&store);
                    reader.read_outcomes(&store);
                    reader.check(&store);
                }
            }
        }
        // An edge is visited when it is added and removed, and when its dependency is
        // determined and is cancelled.
        prop_assert!(reader.index.examined() <= 4 * reader.names);
    }
}

/// A pipeline is followed from its submission to its cancellation or its end, after which
/// each answer is looked up without visiting an edge.
#[test]
fn index_examines_each_edge_a_constant_number_of_times() {
    for (stages, jobs_per_stage) in [(2, 10), (10, 10), (10, 50), (100, 10), (3, 200), (2, 500)] {
        for cancels in [true, false] {
            let mut index = StatusIndex::default();
            let jobs = stages * jobs_per_stage;
            let mut names = 0;
            for n in 0..jobs {
                let stage = n / jobs_per_stage;
                let before = (stage.max(1) - 1) * jobs_per_stage..stage * jobs_per_stage;
                let dependencies: Vec<JobId> = before.map(id).collect();
                names += dependencies.len() as u64;
                index.put(&id(n), &dependencies, false);
            }
            if cancels {
                index.put(&id(0), &[], true);
            }
            let before = index.examined();
            for n in 0..jobs {
                let is_cancelled = cancels && (n == 0 || n >= jobs_per_stage);
                let expected = match is_cancelled {
                    true => DependencyStatus::Cancelled,
                    false => DependencyStatus::NotCancelled,
                };
                assert_eq!(index.status(&id(n)), expected);
            }
            assert_eq!(index.examined(), before);
            for n in 0..jobs {
                index.remove(&id(n));
            }
            assert_eq!(
                index.state(&id(jobs - 1)),
                DependencyState::Unknown,
                "not kept"
            );
            let examined = index.examined();
            assert!(
                examined <= 4 * names,
                "{stages} stages of {jobs_per_stage}: {names} names, {examined} examined"
            );
        }
    }
}
