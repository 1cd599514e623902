//! Users' requests, on any node. The node writes the job or the cancellation
//! itself and then answers; whoever leads learns of it from the state service.

mod admission;
mod needs;
mod records;

pub use admission::fits_type;
pub use records::{final_key, job_key, Final, FinalRecord, JobRecord, FINAL_PREFIX, JOB_PREFIX};

use crate::bounded_map::BoundedMap;
use crate::cancellations::{Cancellations, Standing};
use crate::ids::{JobId, Term};
use crate::limits::{Limits, LimitsInForce, RequestSize};
use crate::msg::{ConnId, Now, Reply};
use crate::settings::Settings;
use crate::store::{self, Answer, StateCall, Urgency};
use crate::wire::{self, Catalog, JobState, Txn, UserState};
use admission::{Admission, Submission};
use lilacfork_replicas::classes::Classes;
use needs::NeedRead;
use records::{read_final, read_live, Known};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

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
    /// A job that it needs is cancelled, and so it is from the start.
    born_cancelled: bool,
    /// How many reads of needed jobs are under way.
    need_reads: usize,
    /// How often such reads were made.
    need_rounds: u32,
    /// How large its write was.
    size: RequestSize,
    begun_ms: u64,
    until_ms: u64,
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Step {
    /// Waits for the next poll of all records.
    Poll,
    ReadLive,
    ReadFinal,
    /// How jobs that it needs have ended.
    ReadNeeds,
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
    /// The state service refused a write of this size as malformed.
    pub refused: Option<RequestSize>,
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
    admission: Admission,
    /// What the state service will always take.
    least: Limits,
    facts: BoundedMap<JobId, Fact>,
    /// Counts for display, hints from the leader.
    counts: BoundedMap<JobId, LeaderCounts>,
    leader: Option<LeaderHeard>,
    /// A leader that was silent for so long may lead no longer.
    leader_quiet_ms: u64,
    tasks: HashMap<GatewayCall, Task>,
    /// Those that wait for a poll, in the order in which they came.
    polling: VecDeque<GatewayCall>,
    /// Reads of jobs that others need.
    need_reads: HashMap<GatewayCall, NeedRead>,
    /// All reads that these had asked for have come.
    needs_read: Vec<GatewayCall>,
    /// Whether a poll tells of every job.
    polls_tell_all: bool,
    next: GatewayCall,
}

impl Gateway {
    /// Knows nothing yet.
    pub fn new(settings: Rc<Settings>, replica_classes: Classes, leader_quiet_ms: u64) -> Self {
        let ram_mb = settings.site.limits.ram_mb;
        let remembered = LEAST_REMEMBERED.max((ram_mb * REMEMBERED_PER_MB) as usize);
        let least = LimitsInForce::new(&settings.site.state).least();
        Gateway {
            admission: Admission::new(settings, replica_classes, least),
            least,
            facts: BoundedMap::new(remembered),
            counts: BoundedMap::new(remembered),
            leader: None,
            leader_quiet_ms,
            tasks: HashMap::new(),
            polling: VecDeque::new(),
            need_reads: HashMap::new(),
            needs_read: Vec::new(),
            polls_tell_all: false,
            next: 0,
        }
    }

    /// The machine types are known.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.admission.catalog = Some(catalog);
    }

    /// Whether the machine types are known.
    pub fn has_catalog(&self) -> bool {
        self.admission.catalog.is_some()
    }

    /// A submission.
    pub fn submit(&mut self, now: Now, conn: ConnId, body: &[u8], out: &mut GatewayOut) {
        let goal = match self.admission.judge(body) {
            Ok(submission) => Goal::Submit(Box::new(submission)),
            Err(reply) => Goal::Refuse(reply),
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
        let step = match &goal {
            // A repeat would only cost a write that fails.
            Goal::Submit(submission) if fact.is_none() && submission.spec.needs.is_empty() => {
                Step::Write
            }
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
            born_cancelled: false,
            need_reads: 0,
            need_rounds: 0,
            size: RequestSize::default(),
            begun_ms: now.ms,
            until_ms: now.ms + patience,
        };
        let number = self.next;
        match step {
            Step::Write => self.accept(now, number, task, out),
            Step::Poll => self.await_poll(number, task, out),
            _ => self.read(now, number, task, step, out),
        }
    }

    /// Whoever asked up to now may be answered by a poll that is sent from now
    /// on.
    pub fn asked_up_to(&self) -> GatewayCall {
        self.next
    }

    /// Has the request answered by a poll that is sent from now on.
    fn await_poll(&mut self, number: GatewayCall, mut task: Task, out: &mut GatewayOut) {
        task.step = Step::Poll;
        out.poll = true;
        self.polling.push_back(number);
        self.tasks.insert(number, task);
    }

    /// Reads a record for the request.
    fn read(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        step: Step,
        out: &mut GatewayOut,
    ) {
        task.step = step;
        out.calls.push(read_call(number, &task, now));
        self.tasks.insert(number, task);
    }

    /// Writes the record of a job that is to be accepted.
    fn accept(&mut self, now: Now, number: GatewayCall, task: Task, out: &mut GatewayOut) {
        let Goal::Submit(submission) = &task.goal else {
            self.give_up(task, out);
            return;
        };
        let txn = if task.born_cancelled {
            submission.accept_cancelled(now)
        } else {
            submission.accept(now)
        };
        self.write(now, number, task, Urgency::Submission, txn, out);
    }

    fn write(
        &mut self,
        now: Now,
        number: GatewayCall,
        mut task: Task,
        urgency: Urgency,
        txn: Txn,
        out: &mut GatewayOut,
    ) {
        task.step = Step::Write;
        task.size = RequestSize::of(&txn);
        out.calls.push(write_call(number, &task, urgency, txn, now));
        self.tasks.insert(number, task);
    }

    /// A poll of all records, made when those up to `asked` had come, tells how
    /// jobs stand; or, unanswered, nothing.
    pub fn polled(
        &mut self,
        now: Now,
        asked: GatewayCall,
        records: Option<&Cancellations>,
        out: &mut GatewayOut,
    ) {
        while self.polling.front().is_some_and(|n| *n <= asked) {
            let Some(number) = self.polling.pop_front() else {
                return;
            };
            let Some(task) = self.tasks.remove(&number) else {
                continue;
            };
            match records {
                Some(records) => self.told(now, number, task, records, out),
                None => self.give_up(task, out),
            }
        }
        out.poll |= !self.polling.is_empty();
    }

    /// How the request's job stands by the records, read since it came.
    fn told(
        &mut self,
        now: Now,
        number: GatewayCall,
        task: Task,
        records: &Cancellations,
        out: &mut GatewayOut,
    ) {
        // A repeat of what is known to be accepted would only cost a write that fails.
        let new = task.tries == 0 && self.facts.get(&task.id).is_none();
        match records.standing(&task.id) {
            Standing::Cancelled => self.known(now, number, task, Known::Cancelled, out),
            Standing::Unfinished => self.judge_unfinished(now, number, task, records, out),
            Standing::None if new && matches!(task.goal, Goal::Submit(_)) => {
                self.judge_submission(now, number, task, records, out);
            }
            Standing::None => self.read(now, number, task, Step::ReadFinal, out),
        }
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
        self.need_reads.clear();
        self.needs_read.clear();
        for (_, task) in std::mem::take(&mut self.tasks) {
            self.give_up(task, out);
        }
    }

    /// The answer to one of our calls.
    pub fn answered(
        &mut self,
        now: Now,
        number: GatewayCall,
        answer: Answer,
        out: &mut GatewayOut,
    ) {
        if let Some(read) = self.need_reads.remove(&number) {
            self.need_answered(now, &read, &answer, out);
            return;
        }
        let Some(task) = self.tasks.remove(&number) else {
            return;
        };
        match task.step {
            Step::ReadLive => match read_live(&answer) {
                Some(Known::Absent) => self.read(now, number, task, Step::ReadFinal, out),
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            Step::ReadFinal => match read_final(&answer) {
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            // It was waiting for others' answers and made no call.
            Step::Poll | Step::ReadNeeds => self.give_up(task, out),
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
        task: Task,
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
        if matches!((&task.goal, &known), (goal, Known::Live(live))
            if !matches!(goal, Goal::Cancel) && live.waits_for_others())
        {
            // Its own record doesn't say whether a job that it needs is cancelled.
            if self.polls_tell_all {
                self.await_poll(number, task, out);
            } else {
                self.give_up(task, out);
            }
            return;
        }
        let reply = match (&task.goal, known) {
            (_, Known::Over(record)) => {
                self.remember(&task.id, Fact::Over(record.state, record.tasks));
                final_reply(&task.id, record.state, record.tasks)
            }
            (_, Known::Live(live)) if live.record.cancelled.is_some() => {
                self.tell_cancelled(&task.id, 200, out)
            }
            (_, Known::Cancelled) => self.tell_cancelled(&task.id, 200, out),
            (Goal::Cancel, Known::Live(live)) => {
                let key = job_key(&task.id);
                let txn = Txn::default().guard(key.clone(), live.version);
                let txn = txn.put(key, live.cancelled(now.wall, self.least.value_bytes));
                self.write(now, number, task, Urgency::Cancel, txn, out);
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
    fn tell_cancelled(&mut self, id: &JobId, status: u16, out: &mut GatewayOut) -> Reply {
        self.remember(id, Fact::Over(Final::Cancelled, 0));
        out.cancelled.push(id.clone());
        Reply {
            status,
            ..final_reply(id, Final::Cancelled, 0)
        }
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
                        self.tell_cancelled(&task.id, 200, out)
                    }
                    _ => self.tell_accepted(now, &task, out),
                };
                if !matches!(task.goal, Goal::Cancel) && !task.born_cancelled {
                    out.announced.push(task.id);
                }
                out.replies.push((task.conn, reply));
            }
            // Somebody else wrote first, or nobody knows: reading tells.
            Answer::Status(200 | 409, _) | Answer::Unclear if task.tries < MAX_TRIES => {
                task.tries += 1;
                self.read(now, number, task, Step::ReadLive, out);
            }
            Answer::Status(400, _) => {
                out.refused = Some(task.size);
                self.give_up(task, out);
            }
            _ => self.give_up(task, out),
        }
    }

    fn tell_accepted(&mut self, now: Now, task: &Task, out: &mut GatewayOut) -> Reply {
        let class = match &task.goal {
            Goal::Submit(submission) => submission.spec.class.clone(),
            _ => "".into(),
        };
        log::info!(
            "job {} accepted class={class} after_ms={}",
            task.id,
            now.ms - task.begun_ms
        );
        if task.born_cancelled {
            log::info!("job {} needs a cancelled one", task.id);
            self.tell_cancelled(&task.id, 201, out)
        } else {
            self.live_reply(now, &task.id, 201)
        }
    }
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
