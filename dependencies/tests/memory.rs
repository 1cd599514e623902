//! Measures the heap that pipelines take. The test is a separate program because the
//! allocator counts the allocations of the whole process.

use lilacfork_common::ids::JobId;
use lilacfork_dependencies::propagation::{OwnUrgency, StageUrgency, UrgencyPropagation};
use lilacfork_dependencies::status::StatusIndex;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// The most that a name in a record may take in each of the two indexes: an index of 4 bytes
/// in both directions, in sets that need at most four times as much.
const MAX_BYTES_PER_NAME: usize = 32;
/// The most that a job may take by itself, apart from its names.
const MAX_BYTES_PER_JOB: usize = 1024;

fn id(n: usize) -> JobId {
    JobId::new(&format!("run-{n:06}"))
}

/// Calls `add` for each job of a pipeline in which each job names the whole stage before.
/// Every job has ids of its own, as it has after its record was parsed. Returns the number
/// of names.
fn add_pipeline(
    stages: usize,
    jobs_per_stage: usize,
    mut add: impl FnMut(usize, &[JobId]),
) -> usize {
    let mut names = 0;
    for n in 0..stages * jobs_per_stage {
        let stage = n / jobs_per_stage;
        let before = (stage.max(1) - 1) * jobs_per_stage..stage * jobs_per_stage;
        let dependencies: Vec<JobId> = before.map(id).collect();
        names += dependencies.len();
        add(n, &dependencies);
    }
    names
}

fn assert_small(what: &str, bytes: usize, names: usize, jobs: usize) {
    assert!(
        bytes <= names * MAX_BYTES_PER_NAME + jobs * MAX_BYTES_PER_JOB,
        "{what}: {bytes} bytes, {names} names, {jobs} jobs"
    );
}

fn heap_bytes() -> usize {
    dhat::HeapStats::get().curr_bytes
}

/// 80,000 names took 16 MB of a leader's 40: each record held ids of its own.
#[test]
fn names_of_pipelines_take_little_memory() {
    let _profiler = dhat::Profiler::builder().testing().build();
    for (stages, jobs_per_stage) in [(100, 10), (10, 50), (3, 200)] {
        let jobs = stages * jobs_per_stage;
        let before = heap_bytes();
        let mut index = StatusIndex::default();
        let names = add_pipeline(stages, jobs_per_stage, |n, dependencies| {
            index.put(&id(n), dependencies, false);
        });
        assert_small("status index", heap_bytes() - before, names, jobs);
        for n in 0..jobs {
            index.remove(&id(n));
        }
        drop(index);

        let before = heap_bytes();
        let mut propagation = UrgencyPropagation::default();
        add_pipeline(stages, jobs_per_stage, |n, dependencies| {
            propagation.add(&id(n), n as u64 + 1, dependencies);
        });
        propagation.process(u64::MAX / 2, |_| {
            Some(OwnUrgency {
                urgency: StageUrgency {
                    priority: 1_u32,
                    deadlines_wall_ms: vec![1_000_000, 1_500_000],
                },
                run_time_ms: 10,
            })
        });
        assert_small("urgency", heap_bytes() - before, names, jobs);
    }
}
