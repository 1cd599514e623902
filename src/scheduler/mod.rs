//! The leader's loop: it joins stored jobs, the fleet's reports, the policy
//! and the cloud. A plain struct: messages and time in, messages out.

mod batch;
mod books;
mod changes;
mod coming;
mod commands;
mod commit;
mod consolidate;
mod deadlines;
mod exchange;
mod forecasts;
mod group_holds;
mod group_moves;
mod group_placing;
mod group_room;
mod group_search;
mod health;
mod inheritance;
mod job_table;
mod jobs;
mod learn;
mod learned_record;
mod machines;
mod moves;
mod pipelines;
mod placing;
mod preempt;
mod recovery;
mod renting;
mod replica_groups;
mod reports;
mod rounds;
mod shards;
mod teams;

pub use jobs::{Job, StoredShard};
pub use shards::{
    parse_shard_key, read_ranges, shard_key, tasks_per_record, write_ranges, Row, ShardName,
    ShardRecord, Shards, PLACEMENT_PREFIX,
};

use crate::cloud::{Cloud, Offer};
use crate::fleet::Fleet;
use crate::gateway::TaskCounts;
use crate::ids::{JobId, MachineId, Revision, Session, TaskRef, Term};
use crate::limits::{Limits, LimitsInForce, RequestSize};
use crate::msg::{Call, ConnId, Now, Reply};
use crate::options::Options;
use crate::rooms::{Rooms, Slot};
use crate::settings::Settings;
use crate::store::{self, Answer, StateCall, Urgency, WriteBudget};
use crate::usage::Purpose;
use crate::wire::{Catalog, ListedMachine, Txn};
use batch::Batch;
use forecasts::Expected;
use job_table::JobTable;
use jobs::{Assign, StopPlan};
use learn::Learning;
use learned_record::LearnedStore;
use lilacfork_replicas::groups::{GroupId, Groups};
use pipelines::Pipelines;
use recovery::HalfRead;
use rounds::Round;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;

/// Which question an answer of the state service belongs to.
#[derive(Clone, PartialEq, Debug)]
pub enum SchedulerCall {
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
pub struct Activity {
    /// Rounds of placing and renting.
    pub rounds: u64,
    /// Looks at every machine.
    pub checks: u64,
    /// Walks over all jobs for what there is to write.
    pub commits: u64,
}

/// What rounds have cost, for the log.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct RoundFigures {
    /// Rounds of placing and renting.
    pub rounds: u64,
    /// Entries that they examined.
    pub examined: u64,
    /// The most that one slice has examined since the process began.
    pub longest_slice: u64,
}

impl fmt::Display for RoundFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RoundFigures {
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

impl SchedulerCall {
    /// What its answer is worked on for.
    pub fn purpose(&self) -> Purpose {
        match self {
            SchedulerCall::ListJobs
            | SchedulerCall::ListPlacements
            | SchedulerCall::ListProxied
            | SchedulerCall::ReadLearned => Purpose::Recovery,
            SchedulerCall::Watch | SchedulerCall::ReadJob(_) | SchedulerCall::ReadNeed(_) => {
                Purpose::Changes
            }
            SchedulerCall::Commit
            | SchedulerCall::CheckCommit
            | SchedulerCall::Cleanup(_)
            | SchedulerCall::StoreLearned => Purpose::Transaction,
        }
    }
}

/// What followers say of workers whose leases they renew for the leader.
pub const PROXIED_PREFIX: &str = "h/";

/// The record of the machines whose leases a follower renews.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ProxiedRecord {
    /// Time of day.
    #[serde(rename = "t")]
    pub at: u64,
    /// Each machine with its session.
    #[serde(rename = "m")]
    pub machines: Vec<(String, Session)>,
}

/// A call straight to a worker.
#[derive(Clone, PartialEq, Debug)]
pub struct WorkerCall {
    /// The machine that is called.
    pub machine: MachineId,
}

/// What the scheduler wants done.
#[derive(Default)]
pub struct SchedulerOut {
    /// Answers to workers.
    pub replies: Vec<(ConnId, Reply)>,
    /// Calls of the state service.
    pub state: Vec<StateCall<SchedulerCall>>,
    /// Direct calls to workers.
    pub workers: Vec<(WorkerCall, Call)>,
    /// Something can't be made sense of: lead anew from what is stored.
    pub resign: Option<&'static str>,
    /// A report showed a term above ours.
    pub superseded: bool,
    /// The state service refused a transaction of this size as malformed.
    pub refused: Option<RequestSize>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    Idle,
    Loading,
    Active,
}

/// Periods of the leader's own, in worker report intervals.
const ROUND_REPORTS: f64 = 1.0;
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
    options: Options,
    catalog: Option<Rc<Catalog>>,
    stage: Stage,
    term: Term,
    key_version: u64,
    elected_ms: u64,
    jobs: JobTable,
    /// Jobs that need others.
    pipelines: Pipelines,
    /// Replicas that span machines.
    groups: Groups,
    /// The machines of which the round under way has promised room to the next
    /// generation of a group.
    group_holds: BTreeMap<GroupId, Vec<MachineId>>,
    fleet: Fleet,
    rooms: Rooms,
    learning: Learning,
    learned_store: LearnedStore,
    /// Tasks in each placement record of a job that has none yet.
    shard_size: u32,
    /// What the state service takes.
    limits: Limits,
    /// The jobs of the last transaction that it refused as malformed.
    refused_jobs: Vec<JobId>,
    /// So many jobs go into a transaction at most.
    most_jobs: usize,
    /// Loading: a job's placement records until all of them are read.
    half_read: Option<HalfRead>,
    /// Loading: where the lists have got to.
    list_after: Option<String>,
    watch_from: Option<Revision>,
    watching: bool,
    watch_due_ms: u64,
    /// The transaction in flight, if any.
    batch: Option<Batch>,
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
    activity: Activity,
    /// What of it was logged.
    logged: RoundFigures,
    /// Something may have to be written.
    changed: bool,
    /// Expected work, as of the last full round.
    expected: Vec<Expected>,
    /// Refused capacity: until when, and the pause that led there.
    refused: HashMap<Offer, (u64, u64)>,
    rentals: u64,
    /// The cloud's list has come since the election.
    listed: bool,
    /// It came before all records were read.
    early_list: Option<Vec<ListedMachine>>,
    /// Machines whose commands should go out by the direct path.
    push: BTreeSet<MachineId>,
    /// The machine after which the emptying of machines goes on.
    consolidated_to: Option<(f64, Slot)>,
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
    stood_still_ms: u64,
    /// Jobs that ended under us, and until when slow answers may speak of
    /// them as if they hadn't.
    over: HashMap<JobId, u64>,
    list_retry_ms: Option<u64>,
    /// When the state service last failed us.
    state_failed_ms: Option<u64>,
    /// Up to when every confirmed cancellation is known.
    informed_ms: u64,
}

impl Scheduler {
    /// Leads nothing yet.
    pub fn new(settings: Rc<Settings>, options: Options) -> Self {
        let shard_size = tasks_per_record(settings.site.state.value_kb);
        let limits = LimitsInForce::new(&settings.site.state);
        let groups = Groups::new(replica_groups::timing(&settings, &options));
        let window_ms = (settings.site.workers.lease_s * 9000.0) as u64;
        let learning = Learning::new(options.learning_rate, window_ms);
        Scheduler {
            settings,
            options,
            catalog: None,
            stage: Stage::Idle,
            term: Term(0),
            key_version: 0,
            elected_ms: 0,
            jobs: JobTable::default(),
            pipelines: Pipelines::default(),
            groups,
            group_holds: BTreeMap::new(),
            fleet: Fleet::default(),
            rooms: Rooms::default(),
            learning,
            learned_store: LearnedStore::default(),
            shard_size,
            limits: limits.current(),
            refused_jobs: Vec::new(),
            most_jobs: usize::MAX,
            half_read: None,
            list_after: None,
            watch_from: None,
            watching: false,
            watch_due_ms: 0,
            batch: None,
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
            activity: Activity::default(),
            logged: RoundFigures::default(),
            changed: false,
            expected: Vec::new(),
            refused: HashMap::new(),
            rentals: 0,
            listed: false,
            early_list: None,
            push: BTreeSet::new(),
            consolidated_to: None,
            proxied_due_ms: 0,
            asking_proxied: false,
            preplacement_due_ms: HashMap::new(),
            migration_targets: HashMap::new(),
            stale_due_ms: 0,
            zones_silent: HashMap::new(),
            stood_still_ms: 0,
            over: HashMap::new(),
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
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Every cancellation confirmed up to then is known.
    pub fn informed(&mut self, watermark_ms: Option<u64>) {
        self.informed_ms = self.informed_ms.max(watermark_ms.unwrap_or(0));
    }

    /// Whether this controller leads, loading or active.
    pub fn leading(&self) -> bool {
        self.stage != Stage::Idle
    }

    /// Whether everything stored has been read.
    pub fn active(&self) -> bool {
        self.stage == Stage::Active
    }

    /// The term that it leads, or led last.
    pub fn term(&self) -> Term {
        self.term
    }

    fn lease_ms(&self) -> u64 {
        (self.settings.site.workers.lease_s * 1000.0) as u64
    }

    fn report_ms(&self) -> u64 {
        (self.settings.site.workers.report_s * 1000.0) as u64
    }

    /// A new leadership: everything is rebuilt from what is stored.
    pub fn elected(&mut self, now: Now, term: Term, key_version: Revision, out: &mut SchedulerOut) {
        self.deposed();
        self.stage = Stage::Loading;
        self.term = term;
        self.key_version = key_version.0;
        self.elected_ms = now.ms;
        self.learning.start(now.wall);
        log::info!("leader term={term} elected, loading");
        self.list(now, out);
        self.read_learned(now, out);
    }

    /// Leads no longer: everything is forgotten.
    pub fn deposed(&mut self) {
        if self.stage != Stage::Idle {
            log::info!("leader term={} ends", self.term);
        }
        self.stage = Stage::Idle;
        self.jobs.clear();
        self.pipelines.clear();
        self.groups.clear();
        self.group_holds.clear();
        self.fleet.clear();
        self.rooms.clear();
        self.round = None;
        self.consolidated_to = None;
        self.list_after = None;
        self.half_read = None;
        self.refused_jobs.clear();
        self.most_jobs = usize::MAX;
        self.watch_from = None;
        self.watching = false;
        self.batch = None;
        self.saving_since_ms = None;
        self.writes = 0;
        self.cleanup.clear();
        self.cleaning = false;
        self.rentals = 0;
        self.listed = false;
        self.early_list = None;
        self.refused.clear();
        self.push.clear();
        self.asking_proxied = false;
        self.list_retry_ms = None;
        self.over.clear();
        self.migration_targets.clear();
        self.zones_silent.clear();
        self.expected.clear();
    }

    fn ask(
        &self,
        now: Now,
        urgency: Urgency,
        call: Call,
        writes: usize,
        tag: SchedulerCall,
        out: &mut SchedulerOut,
    ) {
        out.state.push(StateCall {
            urgency,
            give_up_ms: now.ms + call.timeout_ms,
            call,
            writes,
            tag,
        });
    }

    /// Sends a transaction to the state service.
    fn ask_transaction(
        &self,
        now: Now,
        urgency: Urgency,
        txn: &Txn,
        tag: SchedulerCall,
        out: &mut SchedulerOut,
    ) {
        let (call, writes) = store::txn(txn, CALL_TIMEOUT_MS);
        self.ask(now, urgency, call, writes, tag, out);
    }

    /// Takes an answer of the state service in.
    pub fn state_answered(
        &mut self,
        now: Now,
        call: SchedulerCall,
        answer: Answer,
        out: &mut SchedulerOut,
    ) {
        if matches!(answer, Answer::Refused | Answer::Unclear) {
            self.state_failed_ms = Some(now.ms);
        }
        match (self.stage, call) {
            (Stage::Idle, _) => {}
            (_, SchedulerCall::ReadLearned) => self.on_learned(now, &answer),
            (_, SchedulerCall::StoreLearned) => self.on_learned_stored(),
            (Stage::Loading, call @ (SchedulerCall::ListJobs | SchedulerCall::ListPlacements)) => {
                self.on_list(now, call, &answer, out);
            }
            (Stage::Loading, _) | (_, SchedulerCall::ListJobs | SchedulerCall::ListPlacements) => {}
            (_, SchedulerCall::Watch) => self.on_watch(now, &answer, out),
            (_, SchedulerCall::Commit) => self.on_commit(now, &answer, out),
            (_, SchedulerCall::CheckCommit) => self.on_check_commit(now, &answer, out),
            (_, SchedulerCall::ReadJob(id)) => self.on_read_job(now, &id, &answer, out),
            (_, SchedulerCall::ReadNeed(need)) => self.on_need(now, &need, &answer),
            (_, SchedulerCall::ListProxied) => self.on_proxied(now, &answer),
            (_, SchedulerCall::Cleanup(keys)) => {
                self.cleaning = false;
                if answer.status() == Some(400) {
                    out.refused = Some(RequestSize {
                        changes: keys.len(),
                        largest_value: 0,
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
        cloud: &mut Cloud,
        budget: WriteBudget,
        out: &mut SchedulerOut,
    ) -> u64 {
        if self.stage == Stage::Loading {
            let due = self.list_retry_ms.filter(|at| now.ms >= *at).is_some();
            if due {
                self.list_retry_ms = None;
                self.list(now, out);
            }
        }
        if self.stage != Stage::Active {
            return self.list_retry_ms.unwrap_or(now.ms + 1000);
        }
        if let Some(list) = self.early_list.take() {
            self.on_listed(now, list, cloud);
        }
        self.watch(now, out);
        self.read_stale(now, out);
        self.read_needs(now, out);
        let every = (self.report_ms() as f64 * ROUND_REPORTS) as u64;
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
        (gap as u64).clamp(ROUND_GAP_MS, self.report_ms().max(ROUND_GAP_MS))
    }

    /// How much of its regular work it has done so far.
    pub fn activity(&self) -> Activity {
        self.activity
    }

    /// Entries that rounds have examined since the process began.
    pub fn examined(&self) -> u64 {
        self.examined + self.rooms.examined()
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
    pub fn take_round_figures(&mut self) -> RoundFigures {
        let now = RoundFigures {
            rounds: self.activity.rounds,
            examined: self.examined(),
            longest_slice: 0,
        };
        let before = std::mem::replace(&mut self.logged, now);
        RoundFigures {
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
    pub fn counts(&self) -> impl Iterator<Item = (&JobId, TaskCounts)> {
        self.jobs.iter().map(|(id, job)| {
            let counts = TaskCounts {
                done: job.done.len() as u32,
                running: self.running_for_display(id, job),
                spans: job.shape.is_some(),
            };
            (id, counts)
        })
    }
}
