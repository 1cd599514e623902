//! The leader's scheduler. It assigns the tasks of stored jobs to the machines of the
//! fleet, and provisions and releases machines. The scheduler does no I/O: its methods
//! receive messages and the current time, and return the messages to send.
//!
//! - `tick`: the periodic loop and the order of its steps.
//! - `effects`: the actions that the scheduler requests from its node.
//! - `statistics`: counters of the scheduler's work.
//! - `invariants`: the invariant violations that tests check for.
//! - `state`: the jobs, and how they are loaded, watched and stored.
//! - `dependencies`: jobs that depend on other jobs.
//! - `rounds`: scheduling rounds: the queue, the machine search, the placement of tasks.
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
pub use statistics::{ActivityCounters, DependencyStats, RoundStats};

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
use tick::EXAMINED_ENTRY_CPU_MS;
use workers::failure_detection::FailureDetection;
use workers::lease_proxies::LeaseProxyPoll;

/// The timeout of a call to the key-value store.
const CALL_TIMEOUT_MS: u64 = 1000;
/// The length of the window over which arrivals are counted, in worker leases.
const ARRIVAL_WINDOW_LEASES: f64 = 9.0;
/// The delay before a failed call to the key-value store is retried.
const RETRY_MS: u64 = 200;
/// The minimum time between the beginnings of two rounds, so that a burst of submissions
/// is served in batches.
const MIN_ROUND_GAP_MS: u64 = 20;

/// The leadership stage of a controller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LeaderStage {
    /// The controller doesn't lead.
    Idle,
    /// The controller was elected and is reading the stored records.
    Loading,
    /// The controller leads and has read all stored records.
    Active,
}

/// The scheduler of a controller. It is only active while the controller leads.
pub struct Scheduler {
    settings: Rc<Settings>,
    tuning: Tuning,
    catalog: Option<Rc<Catalog>>,
    stage: LeaderStage,
    term: Term,
    /// The revision of the leader key, which every write compares.
    leader_key_revision: u64,
    elected_ms: u64,
    /// The limits that the key-value store sets on requests.
    limits: StoreLimits,
    /// The cancellation watermark: all cancellations confirmed before this time have
    /// been received.
    cancellation_watermark_ms: u64,
    loading: Loading,
    job_watch: JobWatch,
    jobs: JobTable,
    /// Jobs that finished under this leader, each with the time until which late
    /// responses may still show it as unfinished.
    finished_jobs: HashMap<JobId, u64>,
    /// The number of tasks in each placement range of a job that has no placement record
    /// yet.
    tasks_per_range: u32,
    commits: CommitState,
    cleanup: RecordCleanup,
    dependencies: Dependencies,
    fleet: Fleet,
    /// Machines to which commands are to be sent directly instead of in a heartbeat
    /// response.
    machines_to_command: BTreeSet<MachineId>,
    failure_detection: FailureDetection,
    lease_proxies: LeaseProxyPoll,
    capacity: CapacityIndex,
    pacing: RoundPacing,
    /// The round in progress.
    round: Option<Round>,
    /// The machines that could be probed when the round began.
    cordoned_machines: Vec<MachineId>,
    /// The forecast demand computed by the last full round.
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
    /// Creates the scheduler of a controller that doesn't lead yet.
    pub fn new(settings: Rc<Settings>, tuning: Tuning) -> Self {
        let site = &settings.site;
        let window_ms = (site.workers.lease_s * (ARRIVAL_WINDOW_LEASES * 1000.0)) as u64;
        Scheduler {
            catalog: None,
            stage: LeaderStage::Idle,
            term: Term(0),
            leader_key_revision: 0,
            elected_ms: 0,
            limits: EffectiveLimits::new(&site.kv_store).current(),
            cancellation_watermark_ms: 0,
            loading: Loading::default(),
            job_watch: JobWatch::default(),
            jobs: JobTable::default(),
            finished_jobs: HashMap::new(),
            tasks_per_range: tasks_per_record(site.kv_store.value_kb),
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
            cordoned_machines: Vec::new(),
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

    /// Sets the catalog of machine types and requests a round.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
        self.pacing.requested = true;
    }

    /// Sets the limits of the key-value store.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Advances the cancellation watermark: all cancellations confirmed before
    /// `watermark_ms` have been received. `None`, or an earlier time than before, leaves
    /// the watermark unchanged.
    pub fn set_cancellation_watermark(&mut self, watermark_ms: Option<u64>) {
        self.cancellation_watermark_ms = self
            .cancellation_watermark_ms
            .max(watermark_ms.unwrap_or(0));
    }

    /// Returns whether this controller leads, in the loading or the active stage.
    pub fn leading(&self) -> bool {
        self.stage != LeaderStage::Idle
    }

    /// Returns whether this controller leads and has read all stored records.
    pub fn active(&self) -> bool {
        self.stage == LeaderStage::Active
    }

    /// Returns the term in which this controller leads or last led; 0 before its first
    /// term.
    pub fn term(&self) -> Term {
        self.term
    }

    fn lease_ms(&self) -> u64 {
        (self.settings.site.workers.lease_s * 1000.0) as u64
    }

    fn heartbeat_interval_ms(&self) -> u64 {
        (self.settings.site.workers.heartbeat_s * 1000.0) as u64
    }

    /// Starts the term for which this controller was elected: discards the previous state
    /// and begins to read the stored records.
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
        self.estimates.restart_arrivals(now.wall_ms);
        log::info!("leader elected term={term}");
        self.list_records(now, effects);
        self.read_estimates(now, effects);
    }

    /// Discards the state of the term that has ended.
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
        self.cordoned_machines.clear();
        self.demand_forecast.clear();
        self.migrations.reset();
        self.provisioning.reset();
        self.groups.clear();
        self.group_reservations.clear();
    }

    /// Adds a call to the key-value store to the effects.
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

    /// Adds a transaction for the key-value store to the effects.
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

    /// Handles the response to a call to the key-value store. A controller that no longer
    /// leads only records that a call failed and ignores all other responses.
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
            self.failure_detection.last_kv_failure_ms = Some(now.ms);
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
            (_, SchedulerKvCall::ListLeaseProxies) => self.on_lease_proxies(now, &response),
            (_, SchedulerKvCall::Cleanup(keys)) => {
                self.on_cleanup_response(now, keys, &response, effects)
            }
        }
    }
}
