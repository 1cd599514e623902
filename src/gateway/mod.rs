//! Users' requests, on any node. The node writes the job or the cancellation
//! itself and then answers; whoever leads learns of it from the state service.

mod admission;
mod dependencies;
mod job_lookup;

use crate::bounded_map::BoundedMap;
use crate::cancellations::{Cancellations, RecordStatus};
use crate::ids::{JobId, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::limits::{EffectiveLimits, RequestSize, StoreLimits};
use crate::messages::TaskProgress;
use crate::messages::{ConnectionId, Now, Reply};
use crate::records::jobs::{final_key, job_key, FinalState};
use crate::settings::Settings;
use crate::wire::cloud::Catalog;
use crate::wire::kv::Txn;
use crate::wire::users::{peek_job_id, valid_job_id};
use crate::wire::users::{JobPhase, JobStatus};
use admission::{Admission, Submission};
use dependencies::DependencyRead;
use job_lookup::{read_final, read_live, JobLookup};
use lilacfork_replica_groups::classes::ReplicaClasses;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

#[derive(Debug)]
enum RequestKind {
    Submit(Box<Submission>),
    /// A submission that is refused unless the job is known already.
    Refuse(Reply),
    Show,
    Cancel,
}

#[derive(Debug)]
struct PendingRequest {
    conn: ConnectionId,
    id: JobId,
    goal: RequestKind,
    step: RequestStep,
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
enum RequestStep {
    /// Waits for the next poll of all records.
    Poll,
    ReadLive,
    ReadFinal,
    /// How jobs that it needs have ended.
    ReadNeeds,
    Write,
}

/// Number of a user's request in work.
pub type RequestNumber = u64;

/// What the gateway wants done.
#[derive(Default)]
pub struct GatewayEffects {
    /// Somebody waits for the next poll of the records.
    pub poll: bool,
    /// Answers to users.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Calls of the state service.
    pub calls: Vec<KvCall<RequestNumber>>,
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

/// What a leader said of a job.
#[derive(Clone, Copy, Debug)]
struct LeaderCounts {
    counts: TaskProgress,
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
enum SettledFact {
    /// The job is stored: its submission need not be tried again.
    Accepted,
    Over(FinalState, u32),
}

/// Users' requests in work, and what is known of jobs for good.
pub struct Gateway {
    admission: Admission,
    /// What the state service will always take.
    least: StoreLimits,
    facts: BoundedMap<JobId, SettledFact>,
    /// Counts for display, hints from the leader.
    counts: BoundedMap<JobId, LeaderCounts>,
    leader: Option<LeaderHeard>,
    /// A leader that was silent for so long may lead no longer.
    leader_quiet_ms: u64,
    tasks: HashMap<RequestNumber, PendingRequest>,
    /// Those that wait for a poll, in the order in which they came.
    polling: VecDeque<RequestNumber>,
    /// Reads of jobs that others need.
    need_reads: HashMap<RequestNumber, DependencyRead>,
    /// All reads that these had asked for have come.
    needs_read: Vec<RequestNumber>,
    /// Whether a poll tells of every job.
    polls_tell_all: bool,
    next: RequestNumber,
}

impl Gateway {
    /// Knows nothing yet.
    pub fn new(
        settings: Rc<Settings>,
        replica_classes: ReplicaClasses,
        leader_quiet_ms: u64,
    ) -> Self {
        let ram_mb = settings.site.limits.ram_mb;
        let remembered = LEAST_REMEMBERED.max((ram_mb * REMEMBERED_PER_MB) as usize);
        let least = EffectiveLimits::new(&settings.site.state).guaranteed();
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
    pub fn submit(&mut self, now: Now, conn: ConnectionId, body: &[u8], out: &mut GatewayEffects) {
        let goal = match self.admission.judge(body) {
            Ok(submission) => RequestKind::Submit(Box::new(submission)),
            Err(reply) => RequestKind::Refuse(reply),
        };
        let id = match &goal {
            RequestKind::Submit(submission) => Some(submission.spec.id.clone()),
            // A known job gets its 200 whatever else is wrong with the retry.
            _ => peek_job_id(body),
        };
        match (id, goal) {
            (Some(id), goal) => self.begin(now, conn, id, goal, out),
            (None, RequestKind::Refuse(reply)) => out.replies.push((conn, reply)),
            (None, _) => out.replies.push((conn, Reply::error(400, "no id"))),
        }
    }

    /// A question about a job.
    pub fn show(&mut self, now: Now, conn: ConnectionId, id: &str, out: &mut GatewayEffects) {
        self.begin_named(now, conn, id, RequestKind::Show, out);
    }

    /// A cancellation.
    pub fn cancel(&mut self, now: Now, conn: ConnectionId, id: &str, out: &mut GatewayEffects) {
        self.begin_named(now, conn, id, RequestKind::Cancel, out);
    }

    fn begin_named(
        &mut self,
        now: Now,
        conn: ConnectionId,
        id: &str,
        goal: RequestKind,
        out: &mut GatewayEffects,
    ) {
        if valid_job_id(id) {
            self.begin(now, conn, JobId::new(id), goal, out);
        } else {
            out.replies.push((conn, Reply::error(404, "no such job")));
        }
    }

    fn begin(
        &mut self,
        now: Now,
        conn: ConnectionId,
        id: JobId,
        goal: RequestKind,
        out: &mut GatewayEffects,
    ) {
        let fact = self.facts.get(&id).copied();
        // What is over stays as it is, so memory may answer.
        if let Some(SettledFact::Over(state, tasks)) = fact {
            out.replies.push((conn, final_reply(&id, state, tasks)));
            return;
        }
        let patience = match goal {
            RequestKind::Show => READ_PATIENCE_MS,
            _ => WRITE_PATIENCE_MS,
        };
        let step = match &goal {
            // A repeat would only cost a write that fails.
            RequestKind::Submit(submission)
                if fact.is_none() && submission.spec.dependencies.is_empty() =>
            {
                RequestStep::Write
            }
            // To cancel it the whole record is needed.
            RequestKind::Cancel => RequestStep::ReadLive,
            _ if self.polls_tell_all => RequestStep::Poll,
            _ => RequestStep::ReadLive,
        };
        self.next += 1;
        let task = PendingRequest {
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
            RequestStep::Write => self.accept(now, number, task, out),
            RequestStep::Poll => self.await_poll(number, task, out),
            _ => self.read(now, number, task, step, out),
        }
    }

    /// Whoever asked up to now may be answered by a poll that is sent from now
    /// on.
    pub fn asked_up_to(&self) -> RequestNumber {
        self.next
    }

    /// Has the request answered by a poll that is sent from now on.
    fn await_poll(
        &mut self,
        number: RequestNumber,
        mut task: PendingRequest,
        out: &mut GatewayEffects,
    ) {
        task.step = RequestStep::Poll;
        out.poll = true;
        self.polling.push_back(number);
        self.tasks.insert(number, task);
    }

    /// Reads a record for the request.
    fn read(
        &mut self,
        now: Now,
        number: RequestNumber,
        mut task: PendingRequest,
        step: RequestStep,
        out: &mut GatewayEffects,
    ) {
        task.step = step;
        out.calls.push(read_call(number, &task, now));
        self.tasks.insert(number, task);
    }

    /// Writes the record of a job that is to be accepted.
    fn accept(
        &mut self,
        now: Now,
        number: RequestNumber,
        task: PendingRequest,
        out: &mut GatewayEffects,
    ) {
        let RequestKind::Submit(submission) = &task.goal else {
            self.give_up(task, out);
            return;
        };
        let txn = if task.born_cancelled {
            submission.accept_cancelled(now)
        } else {
            submission.accept(now)
        };
        self.write(now, number, task, CallPriority::Submission, txn, out);
    }

    fn write(
        &mut self,
        now: Now,
        number: RequestNumber,
        mut task: PendingRequest,
        urgency: CallPriority,
        txn: Txn,
        out: &mut GatewayEffects,
    ) {
        task.step = RequestStep::Write;
        task.size = RequestSize::of(&txn);
        out.calls.push(write_call(number, &task, urgency, txn, now));
        self.tasks.insert(number, task);
    }

    /// A poll of all records, made when those up to `asked` had come, tells how
    /// jobs stand; or, unanswered, nothing.
    pub fn polled(
        &mut self,
        now: Now,
        asked: RequestNumber,
        records: Option<&Cancellations>,
        out: &mut GatewayEffects,
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
        number: RequestNumber,
        task: PendingRequest,
        records: &Cancellations,
        out: &mut GatewayEffects,
    ) {
        // A repeat of what is known to be accepted would only cost a write that fails.
        let new = task.tries == 0 && self.facts.get(&task.id).is_none();
        match records.record_status(&task.id) {
            RecordStatus::Cancelled => self.known(now, number, task, JobLookup::Cancelled, out),
            RecordStatus::Unfinished => self.judge_unfinished(now, number, task, records, out),
            RecordStatus::None if new && matches!(task.goal, RequestKind::Submit(_)) => {
                self.judge_submission(now, number, task, records, out);
            }
            RecordStatus::None => self.read(now, number, task, RequestStep::ReadFinal, out),
        }
    }

    /// Who has waited for too long is told to come back.
    pub fn tick(&mut self, now: Now, out: &mut GatewayEffects) -> u64 {
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
    pub fn abort_after_pause(&mut self, out: &mut GatewayEffects) {
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
        number: RequestNumber,
        answer: KvResponse,
        out: &mut GatewayEffects,
    ) {
        if let Some(read) = self.need_reads.remove(&number) {
            self.need_answered(now, &read, &answer, out);
            return;
        }
        let Some(task) = self.tasks.remove(&number) else {
            return;
        };
        match task.step {
            RequestStep::ReadLive => match read_live(&answer) {
                Some(JobLookup::Absent) => {
                    self.read(now, number, task, RequestStep::ReadFinal, out)
                }
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            RequestStep::ReadFinal => match read_final(&answer) {
                Some(known) => self.known(now, number, task, known, out),
                None => self.give_up(task, out),
            },
            // It was waiting for others' answers and made no call.
            RequestStep::Poll | RequestStep::ReadNeeds => self.give_up(task, out),
            RequestStep::Write => self.written(now, number, task, answer, out),
        }
    }

    fn give_up(&mut self, task: PendingRequest, out: &mut GatewayEffects) {
        let reply = Reply::retry_later(503, "the state service can't be asked now", 1);
        out.replies.push((task.conn, reply));
    }

    fn remember(&mut self, id: &JobId, fact: SettledFact) {
        if matches!(fact, SettledFact::Over(..)) {
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
    pub fn record_progress(&mut self, id: &JobId, term: Term, counts: TaskProgress) {
        if !matches!(self.facts.get(id), Some(SettledFact::Over(..))) {
            self.counts
                .insert(id.clone(), LeaderCounts { counts, term });
        }
    }

    /// What is to be shown of a job's tasks now.
    fn counts_to_show(&self, now: Now, id: &JobId) -> TaskProgress {
        let Some(said) = self.counts.get(id) else {
            return TaskProgress::default();
        };
        let mut counts = said.counts;
        let stands = self.leader.is_some_and(|leader| {
            leader.term == said.term && now.ms < leader.at_ms + self.leader_quiet_ms
        });
        if counts.multi_host && !stands {
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
        number: RequestNumber,
        task: PendingRequest,
        known: JobLookup,
        out: &mut GatewayEffects,
    ) {
        // What isn't final may have changed since it was read, if that took so
        // long that others have been asked meanwhile.
        let may_change = matches!(
            known,
            JobLookup::Live(..) | JobLookup::Unfinished | JobLookup::Absent
        );
        if may_change && now.ms >= task.until_ms {
            self.give_up(task, out);
            return;
        }
        if matches!((&task.goal, &known), (goal, JobLookup::Live(live))
            if !matches!(goal, RequestKind::Cancel) && live.waits_for_others())
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
            (_, JobLookup::Over(record)) => {
                self.remember(&task.id, SettledFact::Over(record.state, record.tasks));
                final_reply(&task.id, record.state, record.tasks)
            }
            (_, JobLookup::Live(live)) if live.record.cancelled.is_some() => {
                self.tell_cancelled(&task.id, 200, out)
            }
            (_, JobLookup::Cancelled) => self.tell_cancelled(&task.id, 200, out),
            (RequestKind::Cancel, JobLookup::Live(live)) => {
                let key = job_key(&task.id);
                let txn = Txn::default().compare(key.clone(), live.version);
                let txn = txn.put(key, live.cancelled(now.wall, self.least.value_bytes));
                self.write(now, number, task, CallPriority::Cancel, txn, out);
                return;
            }
            // Another request may have heard of its end meanwhile.
            (_, JobLookup::Live(..) | JobLookup::Unfinished) => match self.facts.get(&task.id) {
                Some(SettledFact::Over(state, tasks)) => final_reply(&task.id, *state, *tasks),
                _ => self.live_reply(now, &task.id, 200),
            },
            (RequestKind::Refuse(reply), JobLookup::Absent) => reply.clone(),
            // Our write may still be under way: the retry will find out.
            (RequestKind::Submit(_), JobLookup::Absent) => {
                Reply::retry_later(503, "not known yet whether the job was stored", 1)
            }
            (_, JobLookup::Absent) => Reply::error(404, "no such job"),
        };
        out.replies.push((task.conn, reply));
    }

    /// The first time that a user is told so here.
    fn tell_cancelled(&mut self, id: &JobId, status: u16, out: &mut GatewayEffects) -> Reply {
        self.remember(id, SettledFact::Over(FinalState::Cancelled, 0));
        out.cancelled.push(id.clone());
        Reply {
            status,
            ..final_reply(id, FinalState::Cancelled, 0)
        }
    }

    fn live_reply(&mut self, now: Now, id: &JobId, status: u16) -> Reply {
        self.remember(id, SettledFact::Accepted);
        let counts = self.counts_to_show(now, id);
        let state = if counts.running > 0 {
            JobPhase::Running
        } else {
            JobPhase::Pending
        };
        let body = JobStatus {
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
        number: RequestNumber,
        mut task: PendingRequest,
        answer: KvResponse,
        out: &mut GatewayEffects,
    ) {
        match answer {
            KvResponse::Status(200, _) if answer.committed().is_some() => {
                let reply = match &task.goal {
                    RequestKind::Cancel => {
                        log::info!("job {} cancelled by its user", task.id);
                        self.tell_cancelled(&task.id, 200, out)
                    }
                    _ => self.tell_accepted(now, &task, out),
                };
                if !matches!(task.goal, RequestKind::Cancel) && !task.born_cancelled {
                    out.announced.push(task.id);
                }
                out.replies.push((task.conn, reply));
            }
            // Somebody else wrote first, or nobody knows: reading tells.
            KvResponse::Status(200 | 409, _) | KvResponse::Indeterminate
                if task.tries < MAX_TRIES =>
            {
                task.tries += 1;
                self.read(now, number, task, RequestStep::ReadLive, out);
            }
            KvResponse::Status(400, _) => {
                out.refused = Some(task.size);
                self.give_up(task, out);
            }
            _ => self.give_up(task, out),
        }
    }

    fn tell_accepted(
        &mut self,
        now: Now,
        task: &PendingRequest,
        out: &mut GatewayEffects,
    ) -> Reply {
        let class = match &task.goal {
            RequestKind::Submit(submission) => submission.spec.class.clone(),
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

fn final_reply(id: &JobId, state: FinalState, tasks: u32) -> Reply {
    let body = JobStatus {
        id,
        state: state.phase(),
        done: (state == FinalState::Done).then_some(tasks),
        running: Some(0),
    };
    Reply::json(200, &body)
}

fn read_call(number: RequestNumber, task: &PendingRequest, now: Now) -> KvCall<RequestNumber> {
    let key = match task.step {
        RequestStep::ReadFinal => final_key(&task.id),
        _ => job_key(&task.id),
    };
    let left = task.until_ms.saturating_sub(now.ms).max(1);
    KvCall {
        priority: match task.goal {
            RequestKind::Show => CallPriority::Background,
            RequestKind::Cancel => CallPriority::Cancel,
            _ => CallPriority::Submission,
        },
        call: kv_client::get(&key, left),
        writes: 0,
        expires_ms: task.until_ms,
        tag: number,
    }
}

fn write_call(
    number: RequestNumber,
    task: &PendingRequest,
    urgency: CallPriority,
    txn: Txn,
    now: Now,
) -> KvCall<RequestNumber> {
    let left = task.until_ms.saturating_sub(now.ms).max(1);
    // Half of what is left, so that an unclear write can still be read.
    let (call, writes) = kv_client::txn(&txn, (left / 2).max(1));
    KvCall {
        priority: urgency,
        call,
        writes,
        expires_ms: task.until_ms,
        tag: number,
    }
}
