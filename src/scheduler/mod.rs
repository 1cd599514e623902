//! The leader's scheduler: it joins stored jobs, the fleet's heartbeats, the policy
//! and the cloud. A plain struct without I/O: messages and time in, messages out.
//!
//! - `tick`: the loop, with what is due in which order.
//! - `effects`: what the scheduler asks its node to do.
//! - `statistics`: counters of its work.
//! - `invariants`: what tests find wrong with its state.
//! - `state`: the jobs, how they are loaded, watched and stored.
//! - `dependencies`: jobs that depend on others.
//! - `rounds`: scheduling rounds: the queue, the search, the placement of tasks.
//! - `displacement`: preemption, migration and compaction.
//! - `replica_groups`: replicas that span machines.
//! - `provisioning`: scale out and scale in, with online estimates.
//! - `workers`: heartbeats, commands, failure detection.

mod dependencies;
mod displacement;
mod effects;
mod invariants;
mod provisioning;
mod replica_groups;
mod rounds;
mod state;
mod statistics;
mod tick;
mod workers;

pub use effects::{SchedulerEffects, SchedulerKvCall, StepDownReason, WorkerCommandCall};
pub use invariants::InvariantViolation;
pub use state::job::{Job, StoredPlacement};
pub use state::placement_ranges::PlacementRanges;
pub use statistics::{ActivityCounters, RoundStats};

use crate::capacity_index::CapacityIndex;
use crate::fleet::Fleet;
use crate::ids::{JobId, MachineId, Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::limits::{EffectiveLimits, StoreLimits};
use crate::messages::{Call, Now};
use crate::records::placements::tasks_per_record;
use crate::settings::Settings;
use crate::tuning::Tuning;
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
use state::assignment::{Assignment, StopRequest};
use state::cleanup::RecordCleanup;
use state::commit::CommitState;
use state::job_table::JobTable;
use state::job_watch::JobWatch;
use state::loading::Loading;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use tick::EXAMINED_ENTRY_MS;
use workers::failure_detection::FailureDetection;
use workers::lease_proxies::LeaseProxyPoll;

/// How long the response to a call of the key-value store is waited for.
const CALL_TIMEOUT_MS: u64 = 1000;
/// The window over which arrivals are counted, in worker leases.
const ARRIVAL_WINDOW_LEASES: f64 = 9.0;
/// A call that the key-value store couldn't answer is repeated after this pause.
const RETRY_MS: u64 = 200;
/// The least time between two rounds, so that a burst of submissions is served in
/// batches.
const MIN_ROUND_GAP_MS: u64 = 20;

/// How far a controller is with its leadership.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LeaderStage {
    /// It doesn't lead.
    Idle,
    /// It was elected and reads what is stored.
    Loading,
    /// Everything stored is read.
    Active,
}

/// The scheduler of a controller, which acts while the controller leads.
pub struct Scheduler {
    settings: Rc<Settings>,
    tuning: Tuning,
    catalog: Option<Rc<Catalog>>,
    stage: LeaderStage,
    term: Term,
    /// The revision of the leader key: every write compares it.
    leader_key_revision: u64,
    elected_ms: u64,
    /// What the key-value store accepts.
    limits: StoreLimits,
    /// Every cancellation that was confirmed before this time is known.
    cancellations_known_ms: u64,
    loading: Loading,
    job_watch: JobWatch,
    jobs: JobTable,
    /// Jobs that ended under this leader, and until when slow responses may show them
    /// as unfinished.
    finished_jobs: HashMap<JobId, u64>,
    /// Tasks in each placement range of a job that has no placement record yet.
    tasks_per_range: u32,
    commits: CommitState,
    cleanup: RecordCleanup,
    /// Which jobs depend on which.
    dependencies: Dependencies,
    fleet: Fleet,
    /// Machines whose commands should be sent directly, not with a heartbeat's response.
    machines_to_command: BTreeSet<MachineId>,
    failure_detection: FailureDetection,
    lease_proxies: LeaseProxyPoll,
    capacity: CapacityIndex,
    pacing: RoundPacing,
    /// The current round, if any.
    round: Option<Round>,
    /// The demand forecast of the last full round.
    demand_forecast: Vec<ForecastDemand>,
    migrations: Migrations,
    provisioning: Provisioning,
    estimates: OnlineEstimates,
    estimate_store: EstimateStore,
    /// Replica groups that span machines.
    groups: ReplicaGroups,
    /// The machines on which the current round reserves capacity for the next
    /// generation of a group.
    group_reservations: BTreeMap<GroupId, Vec<MachineId>>,
}

impl Scheduler {
    /// A scheduler that doesn't lead yet.
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

    /// The machine types are known from now on.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
        self.pacing.requested = true;
    }

    /// The key-value store's limits are these from now on.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Every cancellation that was confirmed before this time is known.
    pub fn set_cancellations_watermark(&mut self, watermark_ms: Option<u64>) {
        self.cancellations_known_ms = self.cancellations_known_ms.max(watermark_ms.unwrap_or(0));
    }

    /// Whether this controller leads, be it loading or active.
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

    /// The controller was elected: everything is rebuilt from what is stored.
    pub fn on_elected(
        &mut self,
        now: Now,
        term: Term,
        key_revision: Revision,
        effects: &mut SchedulerEffects,
    ) {
        self.on_deposed();
        self.stage = LeaderStage::Loading;
        self.term = term;
        self.leader_key_revision = key_revision.0;
        self.elected_ms = now.ms;
        self.estimates.restart_arrivals(now.wall);
        log::info!("leader elected term={term}");
        self.list_records(now, effects);
        self.read_estimates(now, effects);
    }

    /// The controller leads no longer: everything is forgotten.
    pub fn on_deposed(&mut self) {
        if self.stage != LeaderStage::Idle {
            log::info!("leader deposed term={}", self.term);
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

    /// Sends a call to the key-value store.
    fn call_kv(
        &self,
        now: Now,
        priority: CallPriority,
        call: Call,
        writes: usize,
        tag: SchedulerKvCall,
        effects: &mut SchedulerEffects,
    ) {
        effects.kv_calls.push(KvCall {
            priority,
            expires_ms: now.ms + call.timeout_ms,
            call,
            writes,
            tag,
        });
    }

    /// Sends a transaction to the key-value store.
    fn call_kv_txn(
        &self,
        now: Now,
        priority: CallPriority,
        txn: &Txn,
        tag: SchedulerKvCall,
        effects: &mut SchedulerEffects,
    ) {
        let (call, writes) = kv_client::txn(txn, CALL_TIMEOUT_MS);
        self.call_kv(now, priority, call, writes, tag, effects);
    }

    /// The response to a call of the key-value store.
    pub fn on_kv_response(
        &mut self,
        now: Now,
        call: SchedulerKvCall,
        response: KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        if matches!(
            response,
            KvResponse::NotExecuted | KvResponse::Indeterminate
        ) {
            self.failure_detection.last_store_failure_ms = Some(now.ms);
        }
        match (self.stage, call) {
            (LeaderStage::Idle, _) => {}
            (_, SchedulerKvCall::ReadEstimates) => self.on_estimates_read(now, &response),
            (_, SchedulerKvCall::StoreEstimates) => self.on_estimates_written(),
            (
                LeaderStage::Loading,
                call @ (SchedulerKvCall::ListJobs | SchedulerKvCall::ListPlacements),
            ) => {
                self.on_list_response(now, call, &response, effects);
            }
            (LeaderStage::Loading, _)
            | (_, SchedulerKvCall::ListJobs | SchedulerKvCall::ListPlacements) => {}
            (_, SchedulerKvCall::Watch) => self.on_watch_response(now, &response, effects),
            (_, SchedulerKvCall::Commit) => self.on_commit_response(now, &response, effects),
            (_, SchedulerKvCall::CheckCommit) => {
                self.on_commit_check_response(now, &response, effects)
            }
            (_, SchedulerKvCall::ReadJob(id)) => self.on_job_response(now, &id, &response, effects),
            (_, SchedulerKvCall::ReadDependency(id)) => {
                self.on_dependency_response(now, &id, &response)
            }
            (_, SchedulerKvCall::ListProxied) => self.on_lease_proxies(now, &response),
            (_, SchedulerKvCall::Cleanup(keys)) => {
                self.on_cleanup_response(now, keys, &response, effects)
            }
        }
    }
}
