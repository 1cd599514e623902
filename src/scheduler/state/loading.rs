//! A new leader rebuilds its jobs and what each machine may hold from what is
//! stored.

use crate::cloud::Offer;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{JobId, MachineId, Revision, TaskRef};
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::placement::Resources;
use crate::records::jobs::JOB_PREFIX;
use crate::records::placements::{parse_placement_key, PlacementRecord, PLACEMENT_PREFIX};
use crate::scheduler::{
    LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, StoredPlacement, RETRY_MS,
};
use crate::wire::cloud::ListedMachine;
use crate::wire::kv::{KeyPage, KeyValue};
use lilacfork_replica_groups::record::GroupRecord;
use std::rc::Rc;

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

impl Scheduler {
    pub(in crate::scheduler) fn list(&mut self, now: Now, out: &mut SchedulerEffects) {
        let after = self.loading.cursor.as_deref();
        let (prefix, tag) = if self.job_watch.revision.is_none()
            || after.is_some_and(|a| a.starts_with(JOB_PREFIX))
        {
            (JOB_PREFIX, SchedulerKvCall::ListJobs)
        } else {
            (PLACEMENT_PREFIX, SchedulerKvCall::ListPlacements)
        };
        let call = kv_client::list(prefix, after, 2000);
        self.ask(now, CallPriority::Leadership, call, 0, tag, out);
    }

    pub(in crate::scheduler) fn on_list(
        &mut self,
        now: Now,
        what: SchedulerKvCall,
        answer: &KvResponse,
        out: &mut SchedulerEffects,
    ) {
        let Some(items) = answer.read::<KeyPage>(200) else {
            // Away for now; the lease decides whether we get to retry.
            self.loading.retry_ms = Some(now.ms + RETRY_MS);
            return;
        };
        let last = items.items.last().map(|i| i.key.clone());
        if what == SchedulerKvCall::ListJobs {
            self.job_watch
                .revision
                .get_or_insert(Revision(items.revision));
            for item in items.items {
                self.learn_job(now, &item.key, item.value, item.mod_revision, false);
            }
        } else {
            for item in items.items {
                self.restore(now, item);
            }
        }
        self.loading.cursor = if items.more { last } else { None };
        if items.more || what == SchedulerKvCall::ListJobs {
            self.list(now, out);
            return;
        }
        self.restore_job(now);
        self.stage = LeaderStage::Active;
        self.pacing.requested = true;
        self.commits.has_changes = true;
        self.needs_after_loading(now);
        self.jobs.refresh();
        let stopping: Vec<JobId> = self.jobs.stopping().iter().cloned().collect();
        for id in stopping {
            self.enforce_cancel(now, &id);
        }
        log::info!(
            "leader term={} active, jobs={} machines={} after_ms={}",
            self.term,
            self.jobs.len(),
            self.fleet.len(),
            now.ms - self.elected_ms
        );
    }

    /// Takes a placement record in. All of a job's come one after the other.
    fn restore(&mut self, now: Now, item: KeyValue) {
        let Some((id, name)) = parse_placement_key(&item.key) else {
            return;
        };
        if self
            .loading
            .partial
            .as_ref()
            .is_some_and(|read| read.job != id)
        {
            self.restore_job(now);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over; the record is only litter.
            self.cleanup.keys.push(item.key);
            return;
        };
        let record = serde_json::from_value::<PlacementRecord>(item.value);
        let (Some(name), Ok(record)) = (name, record) else {
            log::error!("placement record {} can't be read, its job waits", item.key);
            job.unreadable = true;
            return;
        };
        let read = self.loading.partial.get_or_insert_with(|| PartialLoad {
            job: id,
            records: Vec::new(),
        });
        read.records.push(StoredPlacement {
            name,
            revision: item.mod_revision,
            record,
        });
    }

    /// All placement records of a job are read.
    fn restore_job(&mut self, now: Now) {
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
        let groups = records.iter_mut();
        let groups: Vec<GroupRecord> = groups
            .flat_map(|stored| std::mem::take(&mut stored.record.groups))
            .collect();
        job.restore(records, &self.settings.site.zones);
        if job.unreadable {
            log::error!("placement records of {id} don't fit it, it waits");
        }
        let tasks: Vec<(TaskRef, MachineId, Rc<str>)> = job
            .assignments
            .iter()
            .map(|(task, a)| (job.task(*task), a.machine.clone(), a.zone.clone()))
            .collect();
        let need = job.task_request;
        self.restore_groups(now, &id, groups);
        for (task, machine, zone) in tasks {
            // Until it reports or is listed, all that is known is its zone.
            let term = self.term;
            let machine = self.fleet.get_or_add(&machine, || {
                let offer = Offer {
                    machine_type: Rc::from(""),
                    zone,
                    spot: false,
                };
                let id = machine.clone();
                let mut m = Machine::new(id, offer, Resources::default(), 0.0, term, now.ms);
                m.phase = MachinePhase::Up;
                m
            });
            machine.assign(task, &need);
        }
    }
}

/// Placement records of one job, as far as they are read.
#[derive(Debug)]
pub(in crate::scheduler) struct PartialLoad {
    job: JobId,
    records: Vec<StoredPlacement>,
}
