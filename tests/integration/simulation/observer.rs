//! An independent observer of the protocol's rules: it is told what users ask
//! and hear and what workers start and finish, knows nothing of the service,
//! and says which rule a history breaks.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A task on a machine, at the moment it is looked at.
#[derive(Clone, Copy, Debug)]
pub struct Placed<'a> {
    pub task: &'a str,
    pub machine: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

impl Placed<'_> {
    pub fn job(&self) -> &str {
        self.task.rsplit_once('/').map_or("", |(job, _)| job)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verb {
    Submit,
    Show,
    Cancel,
}

/// What a user asked, and when.
#[derive(Clone, Debug)]
pub struct Question {
    pub verb: Verb,
    pub job: String,
    pub asked_ms: u64,
}

/// The rule that a history breaks, and how.
pub type Verdict = Result<(), String>;

pub struct Observer {
    cancel_ms: u64,
    /// GPUs that a team may use at once.
    limits: HashMap<String, f64>,
    specs: HashMap<String, Value>,
    /// When a user was first told that the job is known.
    accepted: HashMap<String, u64>,
    cancel_asked: HashSet<String>,
    /// The final state that a user was told, and when first.
    finals: BTreeMap<String, (String, u64)>,
    finished: HashMap<String, BTreeSet<u32>>,
    /// Starts after a confirmed cancellation: allowed for `cancel_s`, and
    /// counted.
    pub starts_after_cancel: Vec<String>,
}

impl Observer {
    pub fn new(cancel_ms: u64, limits: &[(&str, f64)]) -> Self {
        Observer {
            cancel_ms,
            limits: limits.iter().map(|(t, l)| (t.to_string(), *l)).collect(),
            specs: HashMap::new(),
            accepted: HashMap::new(),
            cancel_asked: HashSet::new(),
            finals: BTreeMap::new(),
            finished: HashMap::new(),
            starts_after_cancel: Vec::new(),
        }
    }

    pub fn spec(&self, job: &str) -> Option<&Value> {
        self.specs.get(job)
    }

    /// When the job's cancellation was first confirmed to anybody.
    pub fn confirmed_ms(&self, job: &str) -> Option<u64> {
        self.finals
            .get(job)
            .filter(|(state, _)| state == "cancelled")
            .map(|(_, at)| *at)
    }

    pub fn submitted(&mut self, spec: &Value) {
        if let Some(id) = spec["id"].as_str() {
            self.specs
                .entry(id.to_string())
                .or_insert_with(|| spec.clone());
        }
    }

    pub fn cancel_asked(&mut self, job: &str) {
        self.cancel_asked.insert(job.to_string());
    }

    fn needs(&self, job: &str) -> impl Iterator<Item = &str> {
        let needs = self.specs.get(job).and_then(|s| s["attend"].as_array());
        needs.into_iter().flatten().filter_map(Value::as_str)
    }

    /// The jobs that this one needs, directly or through others.
    fn all_needs<'a>(&'a self, job: &'a str) -> BTreeSet<&'a str> {
        let mut found = BTreeSet::new();
        let mut left = vec![job];
        while let Some(job) = left.pop() {
            left.extend(self.needs(job).filter(|need| found.insert(*need)));
        }
        found
    }

    /// All tasks of the job have completed.
    fn is_done(&self, job: &str) -> bool {
        let all = self.specs.get(job).and_then(|s| s["pieces"].as_u64());
        let finished = self.finished.get(job).map_or(0, BTreeSet::len);
        all.is_some_and(|all| finished as u64 >= all)
    }

    fn cancelled_by_its_user(&self, job: &str) -> bool {
        let mut with_it = self.all_needs(job).into_iter().chain([job]);
        // A cancellation that was answered with done takes nobody along.
        let done = |job: &str| matches!(self.finals.get(job), Some((told, _)) if told == "done");
        with_it.any(|job| self.cancel_asked.contains(job) && !done(job))
    }

    /// A task has completed by itself.
    pub fn finished(&mut self, task: &str) {
        if let Some((job, index)) = task.rsplit_once('/') {
            if let Ok(index) = index.parse() {
                self.finished
                    .entry(job.to_string())
                    .or_default()
                    .insert(index);
            }
        }
    }

    /// What a user hears. An answer may be as old as its question: only what
    /// was told before that was asked binds it.
    pub fn answered(&mut self, now: u64, q: &Question, status: u16, state: &str) -> Verdict {
        let job = &q.job;
        let known = self.accepted.get(job).is_some_and(|at| *at < q.asked_ms);
        if known {
            if status == 404 {
                return Err(format!("forgotten: {job} gets a 404 at {now}"));
            }
            if q.verb == Verb::Submit && (status == 400 || status == 422) {
                return Err(format!("forgotten: {job} repeated gets {status} at {now}"));
            }
        }
        if status != 200 && status != 201 {
            return Ok(());
        }
        let Some(spec) = self.specs.get(job) else {
            return Err(format!("invented: nobody submitted {job}"));
        };
        self.accepted.entry(job.clone()).or_insert(now);
        if let Some((told, at)) = self.finals.get(job) {
            if *at < q.asked_ms && told != state {
                return Err(format!(
                    "went_back: {job} was {told} at {at} and is {state} at {now}"
                ));
            }
        }
        match state {
            "done" => {
                let all = spec["pieces"].as_u64().unwrap_or(0) as usize;
                let finished = self.finished.get(job).map_or(0, BTreeSet::len);
                if finished < all {
                    return Err(format!("not_done: {job} has {finished} of {all} at {now}"));
                }
            }
            "cancelled" if !self.cancelled_by_its_user(job) => {
                return Err(format!("went_back: {job} is cancelled, its user didn't"));
            }
            "cancelled" => {}
            _ => return self.orphaned(now, job, state),
        }
        self.finals
            .entry(job.clone())
            .or_insert_with(|| (state.to_string(), now));
        Ok(())
    }

    fn orphaned(&self, now: u64, job: &str, state: &str) -> Verdict {
        for need in self.all_needs(job) {
            let told = self.confirmed_ms(need);
            if let Some(at) = told.filter(|at| now > at + self.cancel_ms) {
                return Err(format!(
                    "orphaned: {job} is {state} at {now}, {need} cancelled at {at}"
                ));
            }
        }
        Ok(())
    }

    /// A task starts while all these are on machines.
    pub fn starts<'a>(
        &mut self,
        now: u64,
        start: Placed<'a>,
        others: impl Iterator<Item = Placed<'a>> + Clone,
    ) -> Verdict {
        let (task, machine) = (start.task, start.machine);
        if let Some(there) = others.clone().find(|o| o.task == task) {
            return Err(format!(
                "ran_twice: {task} starts on {machine} while on {}",
                there.machine
            ));
        }
        if let Some(at) = self.confirmed_ms(start.job()) {
            if now > at + self.cancel_ms {
                return Err(format!(
                    "ran_cancelled: {task} starts on {machine} at {now}"
                ));
            }
            self.starts_after_cancel.push(format!(
                "{task} on {machine} {} ms after its cancellation",
                now - at
            ));
        }
        let Some(spec) = self.specs.get(start.job()) else {
            return Err(format!("invented: {task} of no job starts"));
        };
        if let Some(need) = self.needs(start.job()).find(|need| !self.is_done(need)) {
            return Err(format!("too_early: {task} starts before {need} is done"));
        }
        self.place(spec, start, others.clone())?;
        self.quota(spec, start, others)
    }

    fn place<'a>(
        &self,
        spec: &Value,
        start: Placed<'a>,
        others: impl Iterator<Item = Placed<'a>>,
    ) -> Verdict {
        let wrong = |why: &str| {
            Err(format!(
                "wrong_place: {} on {}: {why}",
                start.task, start.machine
            ))
        };
        if spec["secteur"].as_str().is_some_and(|z| z != start.zone) {
            return wrong("zone");
        }
        if start.spot && spec["occasion"] != Value::Bool(true) {
            return wrong("spot");
        }
        let together = spec["samePlace"] == Value::Bool(true);
        let spread = spec["spread"] == Value::Bool(true);
        if !together && !spread {
            return Ok(());
        }
        let (mut here, mut elsewhere) = (1, 0);
        for other in others.filter(|o| o.job() == start.job()) {
            if other.zone == start.zone {
                here += 1;
            } else {
                elsewhere += 1;
            }
        }
        if together && elsewhere > 0 {
            return wrong("apart from the job's others");
        }
        if spread && here > spec["pieces"].as_u64().unwrap_or(0).div_ceil(2) {
            return wrong("too many of the job in one zone");
        }
        Ok(())
    }

    fn quota<'a>(
        &self,
        spec: &Value,
        start: Placed<'a>,
        others: impl Iterator<Item = Placed<'a>>,
    ) -> Verdict {
        let team = spec["equipe"].as_str().unwrap_or("");
        let Some(limit) = self.limits.get(team) else {
            return Ok(());
        };
        let gpus = |spec: &Value| spec["gpus"].as_f64().unwrap_or(0.0);
        let used: f64 = others
            .filter_map(|o| self.specs.get(o.job()))
            .filter(|s| s["equipe"].as_str() == Some(team))
            .map(gpus)
            .sum();
        if used + gpus(spec) > limit + 1e-9 {
            return Err(format!(
                "quota: {team} uses {used} of {limit} when {} starts",
                start.task
            ));
        }
        Ok(())
    }

    /// Whether all that are on machines may be there.
    pub fn present<'a>(&self, now: u64, placed: impl Iterator<Item = Placed<'a>>) -> Verdict {
        if self.finals.is_empty() {
            return Ok(());
        }
        for p in placed {
            if let Some(at) = self.confirmed_ms(p.job()) {
                if now > at + self.cancel_ms {
                    return Err(format!(
                        "ran_cancelled: {} is on {} at {now}, cancelled at {at}",
                        p.task, p.machine
                    ));
                }
            }
        }
        Ok(())
    }
}
