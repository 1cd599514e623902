//! A new leader rebuilds its jobs, and what each machine may hold, from the stored
//! records.

use crate::cloud::Offer;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{JobId, MachineId, Revision, TaskRef};
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::placement::Resources;
use crate::records::jobs::JOB_PREFIX;
use crate::records::placements::{parse_placement_key, PlacementRecord, PLACEMENT_PREFIX};
use crate::scheduler::state::job_watch::JobRecordSource;
use crate::scheduler::{
    LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, StoredPlacement, RETRY_MS,
};
use crate::wire::cloud::ListedMachine;
use crate::wire::kv::{KeyPage, KeyValue};
use lilacfork_replica_groups::record::GroupRecord;
use std::rc::Rc;

/// How long a page of records is waited for.
const PAGE_TIMEOUT_MS: u64 = 2000;

/// How far a new leader has got in reading what is stored.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Loading {
    /// The placement records of the job that is being read.
    partial: Option<PartialLoad>,
    /// The last key that was read.
    cursor: Option<String>,
    /// When a list that failed is asked for again.
    pub(in crate::scheduler) retry_ms: Option<u64>,
    /// The cloud's list, if it came before everything was read.
    pub(in crate::scheduler) early_cloud_list: Option<Vec<ListedMachine>>,
}

/// The placement records of one job, as far as they are read.
#[derive(Debug)]
struct PartialLoad {
    job: JobId,
    records: Vec<StoredPlacement>,
}

impl Scheduler {
    /// Reads the next page: the job records first, then the placement records.
    pub(in crate::scheduler) fn list_records(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let after = self.loading.cursor.as_deref();
        let reads_jobs = self.job_watch.revision.is_none()
            || after.is_some_and(|key| key.starts_with(JOB_PREFIX));
        let (prefix, tag) = if reads_jobs {
            (JOB_PREFIX, SchedulerKvCall::ListJobs)
        } else {
            (PLACEMENT_PREFIX, SchedulerKvCall::ListPlacements)
        };
        let call = kv_client::list(prefix, after, PAGE_TIMEOUT_MS);
        self.call_kv(now, CallPriority::Leadership, call, 0, tag, effects);
    }

    /// A page of records was read.
    pub(in crate::scheduler) fn on_list_response(
        &mut self,
        now: Now,
        call: SchedulerKvCall,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        let Some(page) = response.read::<KeyPage>(200) else {
            // The store is unavailable; the lease decides whether there is a retry.
            self.loading.retry_ms = Some(now.ms + RETRY_MS);
            return;
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        let is_job_page = call == SchedulerKvCall::ListJobs;
        if is_job_page {
            self.job_watch
                .revision
                .get_or_insert(Revision(page.revision));
        }
        for item in page.items {
            if is_job_page {
                let source = JobRecordSource::InitialList;
                self.apply_job_record(now, &item.key, item.value, item.mod_revision, source);
            } else {
                self.load_placement(now, item);
            }
        }
        self.loading.cursor = if page.has_more { last_key } else { None };
        if page.has_more || is_job_page {
            self.list_records(now, effects);
        } else {
            self.finish_loading(now);
        }
    }

    /// Everything is read: the leader becomes active.
    fn finish_loading(&mut self, now: Now) {
        self.finish_loading_job(now);
        self.stage = LeaderStage::Active;
        self.pacing.requested = true;
        self.commits.has_changes = true;
        self.resolve_loaded_dependencies(now);
        self.jobs.refresh();
        let stopping: Vec<JobId> = self.jobs.stopping().iter().cloned().collect();
        for id in stopping {
            self.enforce_cancel(now, &id);
        }
        log::info!(
            "leader active term={} jobs={} machines={} after_ms={}",
            self.term,
            self.jobs.len(),
            self.fleet.len(),
            now.ms - self.elected_ms
        );
    }

    /// Takes in a placement record. All records of a job come one after the other.
    fn load_placement(&mut self, now: Now, item: KeyValue) {
        let Some((id, name)) = parse_placement_key(&item.key) else {
            return;
        };
        let partial = self.loading.partial.as_ref();
        if partial.is_some_and(|partial| partial.job != id) {
            self.finish_loading_job(now);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over: the record is obsolete.
            self.cleanup.keys.push(item.key);
            return;
        };
        let record = serde_json::from_value::<PlacementRecord>(item.value);
        let (Some(name), Ok(record)) = (name, record) else {
            log::error!(
                "placement record unreadable job={id} key={} \
                 reason=\"it can't be read, its job waits\"",
                item.key
            );
            job.unreadable = true;
            return;
        };
        let partial = self.loading.partial.get_or_insert_with(|| PartialLoad {
            job: id,
            records: Vec::new(),
        });
        partial.records.push(StoredPlacement {
            name,
            revision: item.mod_revision,
            record,
        });
    }

    /// All placement records of a job are read: restores it.
    fn finish_loading_job(&mut self, now: Now) {
        let Some(PartialLoad {
            job: id,
            mut records,
        }) = self.loading.partial.take()
        else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let groups: Vec<GroupRecord> = records
            .iter_mut()
            .flat_map(|stored| std::mem::take(&mut stored.record.groups))
            .collect();
        job.restore(records, &self.settings.site.zones);
        if job.unreadable {
            log::error!(
                "placement records unreadable job={id} \
                 reason=\"they don't fit the job, it waits\""
            );
        }
        let tasks: Vec<(TaskRef, MachineId, Rc<str>)> = job
            .assignments
            .iter()
            .map(|(task, assignment)| {
                let machine = assignment.machine.clone();
                (job.task(*task), machine, assignment.zone.clone())
            })
            .collect();
        let task_request = job.task_request;
        self.restore_groups(now, &id, groups);
        for (task, machine, zone) in tasks {
            self.machine_or_placeholder(now, machine, zone)
                .assign(task, &task_request);
        }
    }

    /// The machine of a stored assignment. Until it sends a heartbeat or the cloud
    /// lists it, only its zone is known.
    fn machine_or_placeholder(&mut self, now: Now, id: MachineId, zone: Rc<str>) -> &mut Machine {
        let term = self.term;
        self.fleet.get_or_add(&id, || {
            let offer = Offer {
                machine_type: Rc::from(""),
                zone,
                spot: false,
            };
            let capacity = Resources::default();
            let mut machine = Machine::new(id.clone(), offer, capacity, 0.0, term, now.ms);
            machine.phase = MachinePhase::Up;
            machine
        })
    }
}
