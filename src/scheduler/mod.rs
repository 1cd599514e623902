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

use crate::capacity_index::{CapacityIndex, Slot};
use crate::cloud::{CloudClient, Offer};
use crate::fleet::Fleet;
use crate::ids::{JobId, MachineId, Revision, TaskRef, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse, WriteBudget};
use crate::limits::{EffectiveLimits, RequestSize, StoreLimits};
use crate::messages::TaskProgress;
use crate::messages::{Call, ConnectionId, Now, Reply};
use crate::records::placements::tasks_per_record;
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::usage::Purpose;
use crate::wire::cloud::{Catalog, ListedMachine};
use crate::wire::kv::Txn;
use dependencies::Dependencies;
use lilacfork_replica_groups::registry::{GroupId, ReplicaGroups};
use provisioning::estimate_store::EstimateStore;
use provisioning::online_estimates::OnlineEstimates;
use rounds::demand_forecast::ForecastDemand;
use rounds::round::Round;
use state::job::{Assignment, StopRequest};
use state::job_table::JobTable;
use state::loading::PartialLoad;
use state::transaction::PendingTransaction;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;

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
    options: Tuning,
    catalog: Option<Rc<Catalog>>,
    stage: LeaderStage,
    term: Term,
    leader_key_revision: u64,
    elected_ms: u64,
    jobs: JobTable,
    /// Jobs that need others.
    dependencies: Dependencies,
    /// Replicas that span machines.
    groups: ReplicaGroups,
    /// The machines of which the round under way has promised room to the next
    /// generation of a group.
    group_holds: BTreeMap<GroupId, Vec<MachineId>>,
    fleet: Fleet,
    capacity: CapacityIndex,
    estimates: OnlineEstimates,
    estimate_store: EstimateStore,
    /// Tasks in each placement record of a job that has none yet.
    tasks_per_range: u32,
    /// What the state service takes.
    limits: StoreLimits,
    /// The jobs of the last transaction that it refused as malformed.
    refused_jobs: Vec<JobId>,
    /// So many jobs go into a transaction at most.
    most_jobs: usize,
    /// Loading: a job's placement records until all of them are read.
    partial_load: Option<PartialLoad>,
    /// Loading: where the lists have got to.
    list_cursor: Option<String>,
    watch_revision: Option<Revision>,
    watching: bool,
    watch_due_ms: u64,
    /// The transaction in flight, if any.
    transaction: Option<PendingTransaction>,
    commit_due_ms: u64,
    /// Since when a transaction has waited until it can be afforded.
    saving_since_ms: Option<u64>,
    /// When what is stored at leisure is looked for next.
    leisure_due_ms: u64,
    writes: u64,
    cleanup: Vec<String>,
    cleaning: bool,
    cleanup_due_ms: u64,
    round_wanted: bool,
    round_ms: u64,
    round_gap_ms: u64,
    /// The round under way, if any.
    round: Option<Round>,
    /// The most entries that one slice of a round has examined.
    longest_slice: u64,
    /// The last round that did everything.
    full_ms: u64,
    /// When machines were last checked, and whether they should be
    /// before that's due again.
    checked_ms: u64,
    check_wanted: bool,
    /// Entries that rounds have examined, all together.
    examined: u64,
    activity: ActivityCounters,
    /// What of it was logged.
    logged: RoundStats,
    /// Something may have to be written.
    changed: bool,
    /// Expected work, as of the last full round.
    demand_forecast: Vec<ForecastDemand>,
    /// Refused capacity: until when, and the pause that led there.
    refused_offers: HashMap<Offer, (u64, u64)>,
    orders_placed: u64,
    /// The cloud's list has come since the election.
    listed: bool,
    /// It came before all records were read.
    early_list: Option<Vec<ListedMachine>>,
    /// Machines whose commands should go out by the direct path.
    machines_to_command: BTreeSet<MachineId>,
    /// The machine after which the emptying of machines goes on.
    compaction_cursor: Option<(f64, Slot)>,
    /// When followers' word on silent machines is asked for next.
    proxied_due_ms: u64,
    asking_proxied: bool,
    /// When a replica of a class may next move to spread its image.
    preplacement_due_ms: HashMap<Rc<str>, u64>,
    /// Where tasks that are being moved are to go.
    migration_targets: HashMap<TaskRef, MachineId>,
    stale_due_ms: u64,
    /// When most machines of a zone were last silent.
    zones_silent: HashMap<Rc<str>, u64>,
    /// When this process last stood still, hearing nobody.
    last_pause_ms: u64,
    /// Jobs that ended under us, and until when slow answers may speak of
    /// them as if they hadn't.
    finished_jobs: HashMap<JobId, u64>,
    list_retry_ms: Option<u64>,
    /// When the state service last failed us.
    state_failed_ms: Option<u64>,
    /// Up to when every confirmed cancellation is known.
    informed_ms: u64,
}

impl Scheduler {
    /// Leads nothing yet.
    pub fn new(settings: Rc<Settings>, options: Tuning) -> Self {
        let shard_size = tasks_per_record(settings.site.state.value_kb);
        let limits = EffectiveLimits::new(&settings.site.state);
        let groups = ReplicaGroups::new(replica_groups::timing(&settings, &options));
        let window_ms = (settings.site.workers.lease_s * 9000.0) as u64;
        let learning = OnlineEstimates::new(options.learning_rate, window_ms);
        Scheduler {
            settings,
            options,
            catalog: None,
            stage: LeaderStage::Idle,
            term: Term(0),
            leader_key_revision: 0,
            elected_ms: 0,
            jobs: JobTable::default(),
            dependencies: Dependencies::default(),
            groups,
            group_holds: BTreeMap::new(),
            fleet: Fleet::default(),
            capacity: CapacityIndex::default(),
            estimates: learning,
            estimate_store: EstimateStore::default(),
            tasks_per_range: shard_size,
            limits: limits.current(),
            refused_jobs: Vec::new(),
            most_jobs: usize::MAX,
            partial_load: None,
            list_cursor: None,
            watch_revision: None,
            watching: false,
            watch_due_ms: 0,
            transaction: None,
            commit_due_ms: 0,
            saving_since_ms: None,
            leisure_due_ms: 0,
            writes: 0,
            cleanup: Vec::new(),
            cleaning: false,
            cleanup_due_ms: 0,
            round_wanted: false,
            round_ms: 0,
            round_gap_ms: ROUND_GAP_MS,
            round: None,
            longest_slice: 0,
            full_ms: 0,
            checked_ms: 0,
            check_wanted: false,
            examined: 0,
            activity: ActivityCounters::default(),
            logged: RoundStats::default(),
            changed: false,
            demand_forecast: Vec::new(),
            refused_offers: HashMap::new(),
            orders_placed: 0,
            listed: false,
            early_list: None,
            machines_to_command: BTreeSet::new(),
            compaction_cursor: None,
            proxied_due_ms: 0,
            asking_proxied: false,
            preplacement_due_ms: HashMap::new(),
            migration_targets: HashMap::new(),
            stale_due_ms: 0,
            zones_silent: HashMap::new(),
            last_pause_ms: 0,
            finished_jobs: HashMap::new(),
            list_retry_ms: None,
            state_failed_ms: None,
            informed_ms: 0,
        }
    }

    /// The machine types are known.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
        self.round_wanted = true;
    }

    /// The state service takes this from now on.
    pub fn set_limits(&mut self, limits: StoreLimits) {
        self.limits = limits;
    }

    /// Every cancellation confirmed up to then is known.
    pub fn informed(&mut self, watermark_ms: Option<u64>) {
        self.informed_ms = self.informed_ms.max(watermark_ms.unwrap_or(0));
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
        self.jobs.clear();
        self.dependencies.clear();
        self.groups.clear();
        self.group_holds.clear();
        self.fleet.clear();
        self.capacity.clear();
        self.round = None;
        self.compaction_cursor = None;
        self.list_cursor = None;
        self.partial_load = None;
        self.refused_jobs.clear();
        self.most_jobs = usize::MAX;
        self.watch_revision = None;
        self.watching = false;
        self.transaction = None;
        self.saving_since_ms = None;
        self.writes = 0;
        self.cleanup.clear();
        self.cleaning = false;
        self.orders_placed = 0;
        self.listed = false;
        self.early_list = None;
        self.refused_offers.clear();
        self.machines_to_command.clear();
        self.asking_proxied = false;
        self.list_retry_ms = None;
        self.finished_jobs.clear();
        self.migration_targets.clear();
        self.zones_silent.clear();
        self.demand_forecast.clear();
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
            self.state_failed_ms = Some(now.ms);
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
            (_, SchedulerKvCall::Cleanup(keys)) => {
                self.cleaning = false;
                if answer.status() == Some(400) {
                    out.refused = Some(RequestSize {
                        write_ops: keys.len(),
                        largest_value_bytes: 0,
                    });
                }
                if answer.status() != Some(200) {
                    self.cleanup.extend(keys);
                    self.cleanup_due_ms = now.ms + RETRY_MS;
                }
            }
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
            let due = self.list_retry_ms.filter(|at| now.ms >= *at).is_some();
            if due {
                self.list_retry_ms = None;
                self.list(now, out);
            }
        }
        if self.stage != LeaderStage::Active {
            return self.list_retry_ms.unwrap_or(now.ms + 1000);
        }
        if let Some(list) = self.early_list.take() {
            self.on_listed(now, list, cloud);
        }
        self.watch(now, out);
        self.read_stale(now, out);
        self.read_needs(now, out);
        let every = (self.heartbeat_interval_ms() as f64 * ROUND_HEARTBEATS) as u64;
        // What scales in or looks after machines can wait for its turn; a
        // rush of rounds only places what has come and rents for it.
        let full = now.ms >= self.full_ms + every;
        let check_ms = self.checked_ms + every / CHECKS;
        if now.ms >= check_ms || std::mem::take(&mut self.check_wanted) {
            self.checked_ms = now.ms;
            self.activity.checks += 1;
            self.check_machines(now, cloud);
            // Silence and held room have no event of their own.
            self.groups.touch_all();
        }
        self.observe_groups(now);
        let wanted = self.round_wanted && now.ms >= self.round_ms + self.round_gap_ms;
        if self.round.is_none() && (full || wanted) {
            self.round_wanted = false;
            self.activity.rounds += 1;
            self.round_ms = now.ms;
            if full {
                self.full_ms = now.ms;
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
        } else if self.round_wanted {
            self.round_ms + self.round_gap_ms
        } else {
            self.full_ms + every
        };
        let check_ms = self.checked_ms + every / CHECKS;
        next.min(self.commit_wake_ms(now)).min(check_ms)
    }

    /// Counts numbers that are only gone through.
    fn count_scanned(&mut self, numbers: usize) {
        self.examined += (numbers as u64).div_ceil(SCANNED_AS_ONE);
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
        self.activity
    }

    /// Entries that rounds have examined since the process began.
    pub fn examined(&self) -> u64 {
        self.examined + self.capacity.examined()
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
            rounds: self.activity.rounds,
            examined: self.examined(),
            longest_slice: 0,
        };
        let before = std::mem::replace(&mut self.logged, now);
        RoundStats {
            rounds: now.rounds - before.rounds,
            examined: now.examined - before.examined,
            longest_slice: self.longest_slice,
        }
    }

    /// The most entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.longest_slice
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
