//! The leader's loop: it joins stored jobs, the fleet's reports, the policy
//! and the cloud. A plain struct: messages and time in, messages out.

mod dependencies;
mod displacement;
mod provisioning;
mod replica_groups;
mod rounds;
mod state;
mod workers;

pub use state::job::{Job, StoredPlacement};
pub use state::placement_ranges::PlacementRanges;

use crate::capacity_index::CapacityIndex;
use crate::cloud::CloudClient;
use crate::fleet::Fleet;
use crate::ids::{JobId, MachineId, Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse, WriteBudget};
use crate::limits::{EffectiveLimits, RequestSize, StoreLimits};
use crate::messages::TaskProgress;
use crate::messages::{Call, ConnectionId, Now, Reply};
use crate::records::placements::tasks_per_record;
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::usage::Purpose;
use crate::wire::cloud::Catalog;
use crate::wire::kv::Txn;
use dependencies::Dependencies;
use displacement::migration::Migrations;
use lilacfork_replica_groups::registry::{GroupId, ReplicaGroups};
use provisioning::estimate_store::EstimateStore;
use provisioning::offers::Provisioning;
use provisioning::online_estimates::OnlineEstimates;
use rounds::demand_forecast::ForecastDemand;
use rounds::pacing::RoundPacing;
use rounds::round::Round;
use state::cleanup::RecordCleanup;
use state::commit::CommitState;
use state::job::{Assignment, StopRequest};
use state::job_table::JobTable;
use state::job_watch::JobWatch;
use state::loading::Loading;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;
use workers::failure_detection::FailureDetection;
use workers::lease_proxies::LeaseProxyPoll;

/// Which question an answer of the state service belongs to.
#[derive(Clone, PartialEq, Debug)]
pub enum SchedulerKvCall {
    /// A page of the job records.
    ListJobs,
    /// A page of the placement records.
    ListPlacements,
    /// Changes of the job records.
    Watch,
    /// The transaction in flight.
    Commit,
    /// Whether the transaction in flight was carried out.
    CheckCommit,
    /// This job's record.
    ReadJob(JobId),
    /// Whose leases followers renew.
    ListProxied,
    /// The removal of these records.
    Cleanup(Vec<String>),
    /// How this job, which others need, has ended.
    ReadNeed(JobId),
    /// What the leader before has learned.
    ReadLearned,
    /// The write of what was learned.
    StoreLearned,
}

/// How long a call of the leader to the state service is waited for.
const CALL_TIMEOUT_MS: u64 = 1000;

/// The leader's regular work, counted since the process began.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ActivityCounters {
    /// Rounds of placing and renting.
    pub rounds: u64,
    /// Looks at every machine.
    pub checks: u64,
    /// Walks over all jobs for what there is to write.
    pub commits: u64,
}

/// What rounds have cost, for the log.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct RoundStats {
    /// Rounds of placing and renting.
    pub rounds: u64,
    /// Entries that they examined.
    pub examined: u64,
    /// The most that one slice has examined since the process began.
    pub longest_slice: u64,
}

impl fmt::Display for RoundStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RoundStats {
            rounds,
            examined,
            longest_slice,
        } = self;
        write!(
            f,
            "begun={rounds} examined={examined} longest_slice={longest_slice}"
        )
    }
}

impl SchedulerKvCall {
    /// What its answer is worked on for.
    pub fn purpose(&self) -> Purpose {
        match self {
            SchedulerKvCall::ListJobs
            | SchedulerKvCall::ListPlacements
            | SchedulerKvCall::ListProxied
            | SchedulerKvCall::ReadLearned => Purpose::Loading,
            SchedulerKvCall::Watch | SchedulerKvCall::ReadJob(_) | SchedulerKvCall::ReadNeed(_) => {
                Purpose::Watch
            }
            SchedulerKvCall::Commit
            | SchedulerKvCall::CheckCommit
            | SchedulerKvCall::Cleanup(_)
            | SchedulerKvCall::StoreLearned => Purpose::Transaction,
        }
    }
}

/// A call straight to a worker.
#[derive(Clone, PartialEq, Debug)]
pub struct WorkerCommandCall {
    /// The machine that is called.
    pub machine: MachineId,
}

/// What the scheduler wants done.
#[derive(Default)]
pub struct SchedulerEffects {
    /// Answers to workers.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Calls of the state service.
    pub state: Vec<KvCall<SchedulerKvCall>>,
    /// Direct calls to workers.
    pub workers: Vec<(WorkerCommandCall, Call)>,
    /// Something can't be made sense of: lead anew from what is stored.
    pub resign: Option<&'static str>,
    /// A report showed a term above ours.
    pub superseded: bool,
    /// The state service refused a transaction of this size as malformed.
    pub refused: Option<RequestSize>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LeaderStage {
    Idle,
    Loading,
    Active,
}

/// Arrivals are counted over so many worker leases.
const ARRIVAL_WINDOW_LEASES: f64 = 9.0;
/// Periods of the leader's own, in worker report intervals.
const ROUND_HEARTBEATS: f64 = 1.0;
/// So many times in such a period machines are checked.
const CHECKS: u64 = 4;
/// What the state service couldn't answer is asked again after this pause.
const RETRY_MS: u64 = 200;
/// Time between two rounds at least, so that a rush is served in gulps.
const ROUND_GAP_MS: u64 = 20;
/// What looking at one entry of a round (a machine, a task, a level of rooms, an
/// image of a room that is filed anew) takes of a processor, roughly: 0.08 us on
/// the bench's large fleets, 0.2 us beside other work. The reason to count and not
/// to measure is that traces replay.
const EXAMINE_MS: f64 = 100e-6;
/// So many numbers that are only gone through count as one entry.
const SCANNED_AS_ONE: u64 = 16;
/// The share of the processor's limit that rounds may take in a rush.
const ROUNDS_SHARE: f64 = 0.3;

/// The leader's loop.
pub struct Scheduler {
    settings: Rc<Settings>,
    tuning: Tuning,
    catalog: Option<Rc<Catalog>>,
    stage: LeaderStage,
    term: Term,
    /// The revision of the leader key, which guards every write.
    leader_key_revision: u64,
    elected_ms: u64,
    /// What the key-value store takes.
    limits: StoreLimits,
    /// Up to when every confirmed cancellation is known.
    cancellations_known_ms: u64,
    loading: Loading,
    job_watch: JobWatch,
    jobs: JobTable,
    /// Jobs that ended under this leader, and until when slow answers may speak of
    /// them as if they hadn't.
    finished_jobs: HashMap<JobId, u64>,
    /// Tasks in each placement range of a job that has no record yet.
    tasks_per_range: u32,
    commits: CommitState,
    cleanup: RecordCleanup,
    /// Which jobs depend on which.
    dependencies: Dependencies,
    fleet: Fleet,
    /// Machines whose commands should go out by the direct path.
    machines_to_command: BTreeSet<MachineId>,
    failure_detection: FailureDetection,
    lease_proxies: LeaseProxyPoll,
    capacity: CapacityIndex,
    pacing: RoundPacing,
    /// The round under way, if any.
    round: Option<Round>,
    /// Expected demand, as of the last full round.
    demand_forecast: Vec<ForecastDemand>,
    migrations: Migrations,
    provisioning: Provisioning,
    estimates: OnlineEstimates,
    estimate_store: EstimateStore,
    /// Replica groups that span machines.
    groups: ReplicaGroups,
    /// The machines on which the round under way holds capacity for the next
    /// generation of a group.
    group_reservations: BTreeMap<GroupId, Vec<MachineId>>,
}

impl Scheduler {
    /// Leads nothing yet.
    pub fn new(settings: Rc<Settings>, tuning: Tuning) -> Self {
        let site = &settings.site;
        let window_ms = (site.workers.lease_s * (ARRIVAL_WINDOW_LEASES * 1000.0)) as u64;
        Scheduler {
            catalog: None,
            stage: LeaderStage::Idle,
            term: Term(0),
            leader_key_revision: 0,
            elected_ms: 0,
            limits: EffectiveLimits::new(&site.state).current(),
            cancellations_known_ms: 0,
            loading: Loading::default(),
            job_watch: JobWatch::default(),
            jobs: JobTable::default(),
            finished_jobs: HashMap::new(),
            tasks_per_range: tasks_per_record(site.state.value_kb),
            commits: CommitState::default(),
            cleanup: RecordCleanup::default(),
            dependencies: Dependencies::default(),
            fleet: Fleet::default(),
            machines_to_command: BTreeSet::new(),
            failure_detection: FailureDetection::default(),
            lease_proxies: LeaseProxyPoll::default(),
            capacity: CapacityIndex::default(),
            pacing: RoundPacing::default(),
            round: None,
            demand_forecast: Vec::new(),
            migrations: Migrations::default(),
            provisioning: Provisioning::default(),
            estimates: OnlineEstimates::new(tuning.learning_rate, window_ms),
            estimate_store: EstimateStore::default(),
            groups: ReplicaGroups::new(replica_groups::timing(&settings, &tuning)),
            group_reservations: BTreeMap::new(),
            settings,
            tuning,
        }
    }

    /// The machine types are known.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
        self.pacing.requested = true;
    }

    /// The state service takes this from now on.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Every cancellation confirmed up to then is known.
    pub fn informed(&mut self, watermark_ms: Option<u64>) {
        self.cancellations_known_ms = self.cancellations_known_ms.max(watermark_ms.unwrap_or(0));
    }

    /// Whether this controller leads, loading or active.
    pub fn leading(&self) -> bool {
        self.stage != LeaderStage::Idle
    }

    /// Whether everything stored has been read.
    pub fn active(&self) -> bool {
        self.stage == LeaderStage::Active
    }

    /// The term that it leads, or led last.
    pub fn term(&self) -> Term {
        self.term
    }

    fn lease_ms(&self) -> u64 {
        (self.settings.site.workers.lease_s * 1000.0) as u64
    }

    fn heartbeat_interval_ms(&self) -> u64 {
        (self.settings.site.workers.heartbeat_s * 1000.0) as u64
    }

    /// A new leadership: everything is rebuilt from what is stored.
    pub fn elected(
        &mut self,
        now: Now,
        term: Term,
        key_version: Revision,
        out: &mut SchedulerEffects,
    ) {
        self.deposed();
        self.stage = LeaderStage::Loading;
        self.term = term;
        self.leader_key_revision = key_version.0;
        self.elected_ms = now.ms;
        self.estimates.start(now.wall);
        log::info!("leader term={term} elected, loading");
        self.list(now, out);
        self.read_learned(now, out);
    }

    /// Leads no longer: everything is forgotten.
    pub fn deposed(&mut self) {
        if self.stage != LeaderStage::Idle {
            log::info!("leader term={} ends", self.term);
        }
        self.stage = LeaderStage::Idle;
        self.loading = Loading::default();
        self.job_watch.reset();
        self.jobs.clear();
        self.finished_jobs.clear();
        self.commits.reset();
        self.cleanup.reset();
        self.dependencies.clear();
        self.fleet.clear();
        self.machines_to_command.clear();
        self.failure_detection.reset();
        self.lease_proxies.reset();
        self.capacity.clear();
        self.round = None;
        self.demand_forecast.clear();
        self.migrations.reset();
        self.provisioning.reset();
        self.groups.clear();
        self.group_reservations.clear();
    }

    fn ask(
        &self,
        now: Now,
        urgency: CallPriority,
        call: Call,
        writes: usize,
        tag: SchedulerKvCall,
        out: &mut SchedulerEffects,
    ) {
        out.state.push(KvCall {
            priority: urgency,
            expires_ms: now.ms + call.timeout_ms,
            call,
            writes,
            tag,
        });
    }

    /// Sends a transaction to the state service.
    fn ask_transaction(
        &self,
        now: Now,
        urgency: CallPriority,
        txn: &Txn,
        tag: SchedulerKvCall,
        out: &mut SchedulerEffects,
    ) {
        let (call, writes) = kv_client::txn(txn, CALL_TIMEOUT_MS);
        self.ask(now, urgency, call, writes, tag, out);
    }

    /// Takes an answer of the state service in.
    pub fn state_answered(
        &mut self,
        now: Now,
        call: SchedulerKvCall,
        answer: KvResponse,
        out: &mut SchedulerEffects,
    ) {
        if matches!(answer, KvResponse::NotExecuted | KvResponse::Indeterminate) {
            self.failure_detection.store_failed_ms = Some(now.ms);
        }
        match (self.stage, call) {
            (LeaderStage::Idle, _) => {}
            (_, SchedulerKvCall::ReadLearned) => self.on_learned(now, &answer),
            (_, SchedulerKvCall::StoreLearned) => self.on_learned_stored(),
            (
                LeaderStage::Loading,
                call @ (SchedulerKvCall::ListJobs | SchedulerKvCall::ListPlacements),
            ) => {
                self.on_list(now, call, &answer, out);
            }
            (LeaderStage::Loading, _)
            | (_, SchedulerKvCall::ListJobs | SchedulerKvCall::ListPlacements) => {}
            (_, SchedulerKvCall::Watch) => self.on_watch(now, &answer, out),
            (_, SchedulerKvCall::Commit) => self.on_commit(now, &answer, out),
            (_, SchedulerKvCall::CheckCommit) => self.on_check_commit(now, &answer, out),
            (_, SchedulerKvCall::ReadJob(id)) => self.on_read_job(now, &id, &answer, out),
            (_, SchedulerKvCall::ReadNeed(need)) => self.on_need(now, &need, &answer),
            (_, SchedulerKvCall::ListProxied) => self.on_proxied(now, &answer),
            (_, SchedulerKvCall::Cleanup(keys)) => self.on_cleaned_up(now, keys, &answer, out),
        }
    }

    /// Acts on what is due, and says when to be called again.
    pub fn tick(
        &mut self,
        now: Now,
        cloud: &mut CloudClient,
        budget: WriteBudget,
        out: &mut SchedulerEffects,
    ) -> u64 {
        if self.stage == LeaderStage::Loading {
            let due = self.loading.retry_ms.filter(|at| now.ms >= *at).is_some();
            if due {
                self.loading.retry_ms = None;
                self.list(now, out);
            }
        }
        if self.stage != LeaderStage::Active {
            return self.loading.retry_ms.unwrap_or(now.ms + 1000);
        }
        if let Some(list) = self.loading.early_cloud_list.take() {
            self.on_listed(now, list, cloud);
        }
        self.watch(now, out);
        self.read_stale(now, out);
        self.read_needs(now, out);
        let every = (self.heartbeat_interval_ms() as f64 * ROUND_HEARTBEATS) as u64;
        // What scales in or looks after machines can wait for its turn; a
        // rush of rounds only places what has come and rents for it.
        let full = now.ms >= self.pacing.last_full_ms + every;
        let check_ms = self.failure_detection.last_check_ms + every / CHECKS;
        if now.ms >= check_ms || std::mem::take(&mut self.failure_detection.check_requested) {
            self.failure_detection.last_check_ms = now.ms;
            self.pacing.activity.checks += 1;
            self.check_machines(now, cloud);
            // Silence and held room have no event of their own.
            self.groups.touch_all();
        }
        self.observe_groups(now);
        let wanted = self.pacing.requested && now.ms >= self.pacing.began_ms + self.pacing.gap_ms;
        if self.round.is_none() && (full || wanted) {
            self.pacing.requested = false;
            self.pacing.activity.rounds += 1;
            self.pacing.began_ms = now.ms;
            if full {
                self.pacing.last_full_ms = now.ms;
                self.ask_proxied(now, out);
            }
            self.begin_round(now, full);
        }
        self.continue_round(now, cloud);
        self.commit(now, budget, out);
        self.push_commands(now, out);
        self.clean_up(now, out);
        self.store_learned(now, out);
        let next = if self.round.is_some() {
            now.ms + 1
        } else if self.pacing.requested {
            self.pacing.began_ms + self.pacing.gap_ms
        } else {
            self.pacing.last_full_ms + every
        };
        let check_ms = self.failure_detection.last_check_ms + every / CHECKS;
        next.min(self.commit_wake_ms(now)).min(check_ms)
    }

    /// Counts numbers that are only gone through.
    fn count_scanned(&mut self, numbers: usize) {
        self.pacing.examined += (numbers as u64).div_ceil(SCANNED_AS_ONE);
    }

    /// The pause after a round follows what it cost, so that a rush on a large
    /// fleet leaves time for reports, submissions and cancellations.
    fn gap_ms(&self, examined: u64) -> u64 {
        let cost_ms = examined as f64 * EXAMINE_MS;
        let gap = cost_ms / (self.settings.site.limits.cores * ROUNDS_SHARE);
        (gap as u64).clamp(ROUND_GAP_MS, self.heartbeat_interval_ms().max(ROUND_GAP_MS))
    }

    /// How much of its regular work it has done so far.
    pub fn activity(&self) -> ActivityCounters {
        self.pacing.activity
    }

    /// Entries that rounds have examined since the process began.
    pub fn examined(&self) -> u64 {
        self.pacing.examined + self.capacity.examined()
    }

    /// How many machines it knows.
    pub fn machines(&self) -> usize {
        self.fleet.len()
    }

    /// How much waits for its turn in the round under way.
    pub fn queued_in_round(&self) -> usize {
        self.round.as_ref().map_or(0, Round::queued)
    }

    /// Rounds, and what they examined, since this was last asked: for the log.
    pub fn take_round_figures(&mut self) -> RoundStats {
        let now = RoundStats {
            rounds: self.pacing.activity.rounds,
            examined: self.examined(),
            longest_slice: 0,
        };
        let before = std::mem::replace(&mut self.pacing.logged, now);
        RoundStats {
            rounds: now.rounds - before.rounds,
            examined: now.examined - before.examined,
            longest_slice: self.pacing.longest_slice,
        }
    }

    /// The most entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.pacing.longest_slice
    }

    /// Counts for display.
    pub fn counts(&self) -> impl Iterator<Item = (&JobId, TaskProgress)> {
        self.jobs.iter().map(|(id, job)| {
            let counts = TaskProgress {
                done: job.done.len() as u32,
                running: self.running_for_display(id, job),
                multi_host: job.shape.is_some(),
            };
            (id, counts)
        })
    }
}
