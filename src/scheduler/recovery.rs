//! A new leader rebuilds its jobs and what each machine may hold from what is
//! stored.

use super::{
    parse_shard_key, Scheduler, SchedulerCall, SchedulerOut, ShardRecord, Stage, PLACEMENT_PREFIX,
    RETRY_MS,
};
use crate::cloud::Offer;
use crate::fleet::{Machine, Phase};
use crate::gateway::JOB_PREFIX;
use crate::ids::{JobId, MachineId, Revision, TaskRef};
use crate::msg::Now;
use crate::placement::Resources;
use crate::store::{self, Answer, Urgency};
use crate::wire::{Item, Items};
use std::rc::Rc;

impl Scheduler {
    pub(super) fn list(&mut self, now: Now, out: &mut SchedulerOut) {
        let after = self.list_after.as_deref();
        let (prefix, tag) =
            if self.watch_from.is_none() || after.is_some_and(|a| a.starts_with(JOB_PREFIX)) {
                (JOB_PREFIX, SchedulerCall::ListJobs)
            } else {
                (PLACEMENT_PREFIX, SchedulerCall::ListPlacements)
            };
        let call = store::list(prefix, after, 2000);
        self.ask(now, Urgency::Leadership, call, 0, tag, out);
    }

    pub(super) fn on_list(
        &mut self,
        now: Now,
        what: SchedulerCall,
        answer: &Answer,
        out: &mut SchedulerOut,
    ) {
        let Some(items) = answer.read::<Items>(200) else {
            // Away for now; the lease decides whether we get to retry.
            self.list_retry_ms = Some(now.ms + RETRY_MS);
            return;
        };
        let last = items.items.last().map(|i| i.key.clone());
        if what == SchedulerCall::ListJobs {
            self.watch_from.get_or_insert(Revision(items.revision));
            for item in items.items {
                self.learn_job(now, &item.key, item.value, item.version, false);
            }
        } else {
            for item in items.items {
                self.restore(now, item);
            }
        }
        self.list_after = if items.more { last } else { None };
        if items.more || what == SchedulerCall::ListJobs {
            self.list(now, out);
            return;
        }
        self.stage = Stage::Active;
        self.round_wanted = true;
        self.changed = true;
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

    pub(super) fn restore(&mut self, now: Now, item: Item) {
        let Some((id, shard)) = parse_shard_key(&item.key) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            // Its job is over; the record is only litter.
            self.cleanup.push(item.key);
            return;
        };
        let mut record = match serde_json::from_value::<ShardRecord>(item.value) {
            Ok(record) => record,
            Err(e) => {
                log::error!("placement record {} can't be read: {e}", item.key);
                return;
            }
        };
        let groups = std::mem::take(&mut record.groups);
        if !job.restore(shard, item.version, record, &self.settings.site.zones) {
            log::error!("placement record {} doesn't fit its job", item.key);
        }
        let range = shard * job.shard_size..(shard + 1) * job.shard_size;
        let tasks: Vec<(TaskRef, MachineId, Rc<str>)> = job
            .assigns
            .range(range)
            .map(|(task, a)| (job.task(*task), a.machine.clone(), a.zone.clone()))
            .collect();
        let need = job.need;
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
                m.phase = Phase::Up;
                m
            });
            machine.assign(task, &need);
        }
    }
}
