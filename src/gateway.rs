//! Users' requests, on any node. The node writes the job or the cancellation
//! itself and then answers; whoever leads learns of it from the state service.

use crate::bounded_map::BoundedMap;
use crate::cancellations::Standing;
use crate::ids::{JobId, Term};
use crate::msg::{ConnId, Now, Reply};
use crate::scheduler::tasks_per_record;
use crate::settings::Settings;
use crate::store::{self, Answer, StateCall, Urgency};
use crate::wire::{
    self, Catalog, Item, JobSpec, JobState, Kind, MachineType, RevisionOnly, Txn, UserState,
};
use lilacfork_replicas::classes::{Asked, Classes};
use lilacfork_replicas::shape::Shape;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Unfinished and cancelled-but-not-yet-cleared jobs.
pub const JOB_PREFIX: &str = "j/";
/// Jobs that are over, for good.
pub const FINAL_PREFIX: &str = "f/";

/// The key of an unfinished job's record.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of the record of a job that is over.
pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}

/// The record of an unfinished job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    pub spec: JobSpec,
    /// Time of day of the submission, milliseconds.
    #[serde(rename = "t")]
    pub submitted: u64,
    /// Time of day of the cancellation.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled: Option<u64>,
    /// Parts of a replica, if its replicas span machines. It was settled when the
    /// job was accepted, and is never judged again.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub replica_parts: Option<u32>,
}

/// How a job ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Final {
    /// All its tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

impl Final {
    fn state(self) -> UserState {
        match self {
            Final::Done => UserState::Done,
            Final::Cancelled => UserState::Cancelled,
        }
    }
}

/// The record of a job that is over.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How it ended.
    #[serde(rename = "s")]
    pub state: Final,
    /// How many tasks it had.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Names the write, so that its author knows it again.
    #[serde(rename = "w", default)]
    pub write: u64,
}

/// What the state service said of a job.
#[derive(Debug)]
enum Known {
    Absent,
    Live(Box<JobRecord>, u64),
    /// As the last two, by a poll, which doesn't keep the records.
    Unfinished,
    Cancelled,
    Over(FinalRecord),
}

/// A job that a user wants taken.
#[derive(Debug)]
struct Submission {
    spec: JobSpec,
    /// How its tasks form replicas that span machines.
    shape: Option<Shape>,
}

#[derive(Debug)]
enum Goal {
    Submit(Box<Submission>),
    /// A submission that is refused unless the job is known already.
    Refuse(Reply),
    Show,
    Cancel,
}

#[derive(Debug)]
struct Task {
    conn: ConnId,
    id: JobId,
    goal: Goal,
    step: Step,
    /// Guarded writes that lost a race are tried again a few times.
    tries: u32,
    begun_ms: u64,
    until_ms: u64,
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Step {
    /// Waits for the next poll of all records.
    Poll,
    ReadLive,
    ReadFinal,
    Write,
}

/// Number of a user's request in work.
pub type GatewayCall = u64;

/// What the gateway wants done.
#[derive(Default)]
pub struct GatewayOut {
    /// Somebody waits for the next poll of the records.
    pub poll: bool,
    /// Answers to users.
    pub replies: Vec<(ConnId, Reply)>,
    /// Calls of the state service.
    pub calls: Vec<StateCall<GatewayCall>>,
    /// Jobs just written, for the leader's ears.
    pub announced: Vec<JobId>,
    /// Jobs that a user is told here for the first time are cancelled.
    pub cancelled: Vec<JobId>,
}

/// Requests are answered within this time, come what may; users wait 5 s for
/// submissions and 2 s for queries.
const WRITE_PATIENCE_MS: u64 = 3000;
const READ_PATIENCE_MS: u64 = 1700;
const MAX_TRIES: u32 = 5;
/// Jobs remembered, at least and for each MB that the process may use; of any other
/// the state service is asked as if it were new.
const LEAST_REMEMBERED: usize = 20_000;
const REMEMBERED_PER_MB: f64 = 500.0;

/// How far a job is, for display.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// They are parts of replicas that span machines. That such a replica serves is
    /// only true as long as the leader that says so leads.
    pub spans: bool,
}

/// What a leader said of a job.
#[derive(Clone, Copy, Debug)]
struct LeaderCounts {
    counts: TaskCounts,
    term: Term,
}

/// The leader that was last heard.
#[derive(Clone, Copy, Debug)]
struct LeaderHeard {
    term: Term,
    at_ms: u64,
}

/// What can't change any more, so that memory may speak of it.
#[derive(Clone, Copy, Debug)]
enum Fact {
    /// The job is stored: its submission need not be tried again.
    Accepted,
    Over(Final, u32),
}

/// Users' requests in work, and what is known of jobs for good.
pub struct Gateway {
    settings: Rc<Settings>,
    /// Which new jobs span machines.
    replica_classes: Classes,
    catalog: Option<Rc<Catalog>>,
    facts: BoundedMap<JobId, Fact>,
    /// Counts for display, hints from the leader.
    counts: BoundedMap<JobId, LeaderCounts>,
    leader: Option<LeaderHeard>,
    /// A leader that was silent for so long may lead no longer.
    leader_quiet_ms: u64,
    tasks: HashMap<GatewayCall, Task>,
    /// Those that wait for a poll, in the order in which they came.
    polling: VecDeque<GatewayCall>,
    /// Whether a poll tells of every job.
    polls_tell_all: bool,
    next: GatewayCall,
}

impl Gateway {
    /// Knows nothing yet.
    pub fn new(settings: Rc<Settings>, replica_classes: Classes, leader_quiet_ms: u64) -> Self {
        let ram_mb = settings.site.limits.ram_mb;
        let remembered = LEAST_REMEMBERED.max((ram_mb * REMEMBERED_PER_MB) as usize);
        Gateway {
            settings,
            replica_classes,
            catalog: None,
            facts: BoundedMap::new(remembered),
            counts: BoundedMap::new(remembered),
            leader: None,
            leader_quiet_ms,
            tasks: HashMap::new(),
            polling: VecDeque::new(),
            polls_tell_all: false,
            next: 0,
        }
    }

    /// The machine types are known.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Whether the machine types are known.
    pub fn has_catalog(&self) -> bool {
        self.catalog.is_some()
    }

    /// A submission.
    pub fn submit(&mut self, now: Now, conn: ConnId, body: &[u8], out: &mut GatewayOut) {
        let goal = match JobSpec::parse(body) {
            Ok(spec) => match self.can_ever_run(&spec) {
                Some(Ok(shape)) => Goal::Submit(Box::new(Submission { spec, shape })),
                Some(Err(why)) => Goal::Refuse(Reply::error(422, &why)),
                None => Goal::Refuse(Reply::later(503, "machine types unknown yet", 1)),
            },
            Err(why) => Goal::Refuse(Reply::error(400, &why)),
        };
        let id = match &goal {
            Goal::Submit(submission) => Some(submission.spec.id.clone()),
            // A known job gets its 200 whatever else is wrong with the retry.
            _ => wire::peek_job_id(body),
        };
        match (id, goal) {
            (Some(id), goal) => self.begin(now, conn, id, goal, out),
            (None, Goal::Refuse(reply)) => out.replies.push((conn, reply)),
            (None, _) => out.replies.push((conn, Reply::error(400, "no id"))),
        }
    }

    /// A question about a job.
    pub fn show(&mut self, now: Now, conn: ConnId, id: &str, out: &mut GatewayOut) {
        self.begin_named(now, conn, id, Goal::Show, out);
    }

    /// A cancellation.
    pub fn cancel(&mut self, now: Now, conn: ConnId, id: &str, out: &mut GatewayOut) {
        self.begin_named(now, conn, id, Goal::Cancel, out);
    }

    fn begin_named(&mut self, now: Now, conn: ConnId, id: &str, goal: Goal, out: &mut GatewayOut) {
        if wire::valid_job_id(id) {
            self.begin(now, conn, JobId::new(id), goal, out);
        } else {
            out.replies.push((conn, Reply::error(404, "no such job")));
        }
    }

    fn begin(&mut self, now: Now, conn: ConnId, id: JobId, goal: Goal, out: &mut GatewayOut) {
        let fact = self.facts.get(&id).copied();
        // What is over stays as it is, so memory may answer.
        if let Some(Fact::Over(state, tasks)) = fact {
            out.replies.push((conn, final_reply(&id, state, tasks)));
            return;
        }
        let patience = match goal {
            Goal::Show => READ_PATIENCE_MS,
            _ => WRITE_PATIENCE_MS,
        };
        let step = match goal {
            // A repeat would only cost a write that fails.
            Goal::Submit(_) if fact.is_none() => Step::Write,
            // To cancel it the whole record is needed.
            Goal::Cancel => Step::ReadLive,
            _ if self.polls_tell_all => Step::Poll,
            _ => Step::ReadLive,
        };
        self.next += 1;
        let task = Task {
            conn,
            id,
            goal,
            step,
            tries: 0,
            begun_ms: now.ms,
            until_ms: now.ms + patience,
        };
        let number = self.next;
        match &task.goal {
            Goal::Submit(submission) if step == Step::Write => {
                let txn = create_txn(submission, now);
                out.calls
                    .push(write_call(number, &task, Urgency::Submission, txn, now));
            }
            _ if step == Step::Poll => {
                out.poll = true;
                self.polling.push_back(number);
            }
            _ => out.calls.push(read_call(number, &task, now)),
        }
        self.tasks.insert(number, task);
    }

    /// Whoever asked up to now may be answered by a poll that is sent from now
    /// on.
    pub fn asked_up_to(&self) -> GatewayCall {
        self.next
    }

    /// A poll of all records, made when those up to `asked` had come, tells how
    /// jobs stand; or, unanswered, nothing.
    pub fn polled(
        &mut self,
        now: Now,
        asked: GatewayCall,
        standing: impl Fn(&JobId) -> Option<Standing>,
        out: &mut GatewayOut,
    ) {
        while self.polling.front().is_some_and(|n| *n <= asked) {
            let Some(number) = self.polling.pop_front() else {
                return;
            };
            let Some(mut task) = self.tasks.remove(&number) else {
                continue;
            };
            let known = match standing(&task.id) {
                None => {
                    self.give_up(task, out);
                    continue;
                }
                Some(Standing::None) => {
                    task.step = Step::ReadFinal;
                    out.calls.push(read_call(number, &task, now));
                    self.tasks.insert(number, task);
                    continue;
                }
                Some(Standing::Unfinished) => Known::Unfinished,
                Some(Standing::Cancelled) => Known::Cancelled,
            };
            self.known(now, number, task, known, out);
        }
        out.poll |= !self.polling.is_empty();
    }

    /// Who has waited for too long is told to come back.
    pub fn tick(&mut self, now: Now, out: &mut GatewayOut) -> u64 {
        while let Some(number) = self.polling.front() {
            let until_ms = self.tasks.get(number).map_or(0, |t| t.until_ms);
            if now.ms < until_ms {
                return until_ms;
            }
            if let Some(task) = self.tasks.remove(number) {
                self.give_up(task, out);
            }
            self.polling.pop_front();
        }
        u64::MAX
    }

    /// The process stood still: what was read for requests before may be older
    /// than what others have told since. Whoever still waits is to ask again.
    pub fn stood_still(&mut self, out: &mut GatewayOut) {
        self.polling.clear();
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.give_up(task, out);
        }
    }

    /// How its tasks are grouped, if the job can ever run. `None`: machine types
    /// unknown, so nobody can tell.
    fn can_ever_run(&self, spec: &JobSpec) -> Option<Result<Option<Shape>, String>> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Some(Err("unknown team".into()));
        };
        let counted = match spec.kind {
            Kind::Array => 1.0,
            Kind::Service | Kind::Group => f64::from(spec.tasks),
        };
        let over = |need: f64, max: f64| max > 0.0 && need * counted > max + 1e-9;
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return Some(Err("more than the team's limit".into()));
        }
        let catalog = self.catalog.as_ref()?;
        Some(if catalog.types.iter().any(|t| fits_type(spec, t)) {
            self.shape_of(spec)
        } else {
            Err("a task fits no allowed machine type".into())
        })
    }

    /// How a new job's tasks form replicas that span machines.
    fn shape_of(&self, spec: &JobSpec) -> Result<Option<Shape>, String> {
        let asked = Asked {
            class: &spec.class,
            gang: spec.kind == Kind::Group,
            service: spec.kind == Kind::Service,
            tasks: spec.tasks,
        };
        let most = tasks_per_record(self.settings.site.state.value_kb);
        let shape = self.replica_classes.shape(asked, most);
        shape.map_err(|why| why.to_string())
    }

    /// The answer to one of our calls.
    pub fn answered(
        &mut self,
        now: Now,
        number: GatewayCall,
        answer: Answer,
        out: &mut GatewayOut,
    ) {
        let Some(mut task) = self.tasks.remove(&number) else {
            return;
        };
        match task.step {
            Step::ReadLive => match read_live(&answer) {
                Some(Known::Absent) => {
                    task.step = Step::ReadFinal;
                    out.calls.push(read_call(number, &task, now));
                    self.tasks.insert(number, task);
                }
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            Step::ReadFinal => match read_final(&answer) {
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            // It was waiting for a poll and made no call.
            Step::Poll => self.give_up(task, out),
            Step::Write => self.written(now, number, task, answer, out),
        }
    }

    fn give_up(&mut self, task: Task, out: &mut GatewayOut) {
        let reply = Reply::later(503, "the state service can't be asked now", 1);
        out.replies.push((task.conn, reply));
    }

    fn remember(&mut self, id: &JobId, fact: Fact) {
        if matches!(fact, Fact::Over(..)) {
            self.counts.remove(id);
        } else if self.facts.get(id).is_some() {
            return;
        }
        self.facts.insert(id.clone(), fact);
    }

    /// The leader of this term is heard, and stands by what it has said.
    pub fn leader_heard(&mut self, now: Now, term: Term) {
        self.leader = Some(LeaderHeard {
            term,
            at_ms: now.ms,
        });
    }

    /// How many of a job's tasks are done and run, as the leader of a term says.
    pub fn note_counts(&mut self, id: &JobId, term: Term, counts: TaskCounts) {
        if !matches!(self.facts.get(id), Some(Fact::Over(..))) {
            self.counts
                .insert(id.clone(), LeaderCounts { counts, term });
        }
    }

    /// What is to be shown of a job's tasks now.
    fn counts_to_show(&self, now: Now, id: &JobId) -> TaskCounts {
        let Some(said) = self.counts.get(id) else {
            return TaskCounts::default();
        };
        let mut counts = said.counts;
        let stands = self.leader.is_some_and(|leader| {
            leader.term == said.term && now.ms < leader.at_ms + self.leader_quiet_ms
        });
        if counts.spans && !stands {
            counts.running = 0;
        }
        counts
    }

    /// Whether a poll of the records tells of every job from now on.
    pub fn set_polls_tell_all(&mut self, tell_all: bool) {
        self.polls_tell_all = tell_all;
    }

    /// A read made for this request has told what the job is.
    fn known(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        known: Known,
        out: &mut GatewayOut,
    ) {
        // What isn't final may have changed since it was read, if that took so
        // long that others have been asked meanwhile.
        let may_change = matches!(known, Known::Live(..) | Known::Unfinished | Known::Absent);
        if may_change && now.ms >= task.until_ms {
            self.give_up(task, out);
            return;
        }
        let reply = match (&task.goal, known) {
            (_, Known::Over(record)) => {
                self.remember(&task.id, Fact::Over(record.state, record.tasks));
                final_reply(&task.id, record.state, record.tasks)
            }
            (_, Known::Live(record, _)) if record.cancelled.is_some() => {
                self.tell_cancelled(&task.id, out)
            }
            (_, Known::Cancelled) => self.tell_cancelled(&task.id, out),
            (Goal::Cancel, Known::Live(mut record, version)) => {
                record.cancelled = Some(now.wall);
                let value = serde_json::to_value(&record).unwrap_or_default();
                let txn = Txn::default()
                    .guard(job_key(&task.id), version)
                    .put(job_key(&task.id), value);
                task.step = Step::Write;
                out.calls
                    .push(write_call(number, &task, Urgency::Cancel, txn, now));
                self.tasks.insert(number, task);
                return;
            }
            // Another request may have heard of its end meanwhile.
            (_, Known::Live(..) | Known::Unfinished) => match self.facts.get(&task.id) {
                Some(Fact::Over(state, tasks)) => final_reply(&task.id, *state, *tasks),
                _ => self.live_reply(now, &task.id, 200),
            },
            (Goal::Refuse(reply), Known::Absent) => reply.clone(),
            // Our write may still be under way: the retry will find out.
            (Goal::Submit(_), Known::Absent) => {
                Reply::later(503, "not known yet whether the job was stored", 1)
            }
            (_, Known::Absent) => Reply::error(404, "no such job"),
        };
        out.replies.push((task.conn, reply));
    }

    /// The first time that a user is told so here.
    fn tell_cancelled(&mut self, id: &JobId, out: &mut GatewayOut) -> Reply {
        self.remember(id, Fact::Over(Final::Cancelled, 0));
        out.cancelled.push(id.clone());
        final_reply(id, Final::Cancelled, 0)
    }

    fn live_reply(&mut self, now: Now, id: &JobId, status: u16) -> Reply {
        self.remember(id, Fact::Accepted);
        let counts = self.counts_to_show(now, id);
        let state = if counts.running > 0 {
            UserState::Running
        } else {
            UserState::Pending
        };
        let body = JobState {
            id,
            state,
            done: Some(counts.done),
            running: Some(counts.running),
        };
        Reply::json(status, &body)
    }

    fn written(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        answer: Answer,
        out: &mut GatewayOut,
    ) {
        match answer {
            Answer::Status(200, _) if answer.committed().is_some() => {
                let reply = match &task.goal {
                    Goal::Cancel => {
                        log::info!("job {} cancelled by its user", task.id);
                        self.tell_cancelled(&task.id, out)
                    }
                    _ => {
                        let class = match &task.goal {
                            Goal::Submit(submission) => submission.spec.class.clone(),
                            _ => "".into(),
                        };
                        log::info!(
                            "job {} accepted class={class} after_ms={}",
                            task.id,
                            now.ms - task.begun_ms
                        );
                        self.live_reply(now, &task.id, 201)
                    }
                };
                if !matches!(task.goal, Goal::Cancel) {
                    out.announced.push(task.id);
                }
                out.replies.push((task.conn, reply));
            }
            // Somebody else wrote first, or nobody knows: reading tells.
            Answer::Status(200 | 409, _) | Answer::Unclear if task.tries < MAX_TRIES => {
                task.tries += 1;
                task.step = Step::ReadLive;
                out.calls.push(read_call(number, &task, now));
                self.tasks.insert(number, task);
            }
            _ => self.give_up(task, out),
        }
    }
}

/// Whether a task of the job could ever stand on a machine of this type.
pub fn fits_type(spec: &JobSpec, t: &MachineType) -> bool {
    let allowed = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&t.name));
    let zone = spec
        .zone
        .as_ref()
        .is_none_or(|zone| t.zones.iter().any(|z| z == zone));
    let room = spec.cpus <= t.cpus + 1e-9
        && spec.gpus <= t.gpus + 1e-9
        && spec.memory_gb <= t.memory_gb + 1e-9;
    allowed && zone && room
}

fn final_reply(id: &JobId, state: Final, tasks: u32) -> Reply {
    let body = JobState {
        id,
        state: state.state(),
        done: (state == Final::Done).then_some(tasks),
        running: Some(0),
    };
    Reply::json(200, &body)
}

fn create_txn(submission: &Submission, now: Now) -> Txn {
    let spec = &submission.spec;
    let record = JobRecord {
        spec: spec.clone(),
        submitted: now.wall,
        cancelled: None,
        replica_parts: submission.shape.map(|shape| shape.parts()),
    };
    Txn::default()
        .guard(job_key(&spec.id), 0)
        .guard(final_key(&spec.id), 0)
        .put(
            job_key(&spec.id),
            serde_json::to_value(&record).unwrap_or_default(),
        )
}

fn read_call(number: GatewayCall, task: &Task, now: Now) -> StateCall<GatewayCall> {
    let key = match task.step {
        Step::ReadFinal => final_key(&task.id),
        _ => job_key(&task.id),
    };
    let left = task.until_ms.saturating_sub(now.ms).max(1);
    StateCall {
        urgency: match task.goal {
            Goal::Show => Urgency::Background,
            Goal::Cancel => Urgency::Cancel,
            _ => Urgency::Submission,
        },
        call: store::get(&key, left),
        writes: 0,
        give_up_ms: task.until_ms,
        tag: number,
    }
}

fn write_call(
    number: GatewayCall,
    task: &Task,
    urgency: Urgency,
    txn: Txn,
    now: Now,
) -> StateCall<GatewayCall> {
    let left = task.until_ms.saturating_sub(now.ms).max(1);
    // Half of what is left, so that an unclear write can still be read.
    let (call, writes) = store::txn(&txn, (left / 2).max(1));
    StateCall {
        urgency,
        call,
        writes,
        give_up_ms: task.until_ms,
        tag: number,
    }
}

/// A 404 that the state service itself gives names its revision; any other is
/// somebody's who knows of no job.
fn is_absent(answer: &Answer) -> bool {
    answer.read::<RevisionOnly>(404).is_some()
}

fn read_live(answer: &Answer) -> Option<Known> {
    if is_absent(answer) {
        return Some(Known::Absent);
    }
    let item = answer.read::<Item>(200)?;
    let record = serde_json::from_value(item.value).ok()?;
    Some(Known::Live(Box::new(record), item.version))
}

fn read_final(answer: &Answer) -> Option<Known> {
    if is_absent(answer) {
        return Some(Known::Absent);
    }
    let item = answer.read::<Item>(200)?;
    Some(Known::Over(serde_json::from_value(item.value).ok()?))
}
