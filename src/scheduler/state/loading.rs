//! Rebuilding of a new leader's jobs, and of the tasks that each machine may hold, from
//! the stored records.

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

/// The timeout for reading one page of records.
const PAGE_TIMEOUT_MS: u64 = 2000;

/// The progress of a new leader's reading of the stored records.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Loading {
    /// The job whose placement records are being read.
    partial: Option<PartialLoad>,
    /// The last key of the previous page; `None`: the next page is the first of its
    /// prefix.
    cursor: Option<String>,
    /// When a failed read of a page is retried; `None`: no read has failed.
    pub(in crate::scheduler) retry_due_ms: Option<u64>,
    /// The cloud's list of machines, if it was received before all records were read.
    pub(in crate::scheduler) early_cloud_list: Option<Vec<ListedMachine>>,
}

/// The placement records of one job that have been read so far.
#[derive(Debug)]
struct PartialLoad {
    job: JobId,
    records: Vec<StoredPlacement>,
}

impl Scheduler {
    /// Reads the next page of records. The job records are read first, then the placement
    /// records.
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

    /// Handles the response to the read of a page, and reads the next one.
    pub(in crate::scheduler) fn on_list_response(
        &mut self,
        now: Now,
        call: SchedulerKvCall,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        let Some(page) = response.parse_body::<KeyPage>(200) else {
            // The key-value store is unavailable. The read is retried unless the leader's lease
            // expires before.
            self.loading.retry_due_ms = Some(now.ms + RETRY_MS);
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

    /// Makes the leader active once all records are read.
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

    /// Adds a placement record to those of its job. The records of a job are contiguous in
    /// the order of keys.
    fn load_placement(&mut self, now: Now, item: KeyValue) {
        let Some((id, name)) = parse_placement_key(&item.key) else {
            return;
        };
        let partial = self.loading.partial.as_ref();
        if partial.is_some_and(|partial| partial.job != id) {
            self.finish_loading_job(now);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            // The job has finished, so the record is obsolete.
            self.cleanup.obsolete_keys.push(item.key);
            return;
        };
        let record = serde_json::from_value::<PlacementRecord>(item.value);
        let (Some(name), Ok(record)) = (name, record) else {
            log::error!(
                "placement record unreadable job={id} key={} \
                 reason=\"invalid key or value, no task of the job is placed\"",
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

    /// Restores the current job once all its placement records are read.
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
                 reason=\"inconsistent with the job, none of its tasks is placed\""
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

    /// Returns the machine of a stored assignment, or adds a placeholder for it. Only the
    /// zone of a placeholder is known until the machine sends a heartbeat or the cloud
    /// lists it.
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
