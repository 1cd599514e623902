//! What happened, as each hollow part writes it down: one line of JSON an
//! event, in a file of its own.

use crate::net::now_us;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// What a user asked for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Verb {
    /// To take a job.
    Submit,
    /// How a job is.
    Show,
    /// To cancel a job.
    Cancel,
}

/// Something that the rules speak of.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A user submits a job for the first time.
    Submitted {
        /// The job.
        job: String,
    },
    /// A user asks for the job's cancellation for the first time.
    CancelAsked {
        /// The job.
        job: String,
    },
    /// A user was answered, with this status and state.
    Answered {
        /// The job.
        job: String,
        /// What was asked.
        verb: Verb,
        /// The HTTP status; 0: no answer came.
        status: u16,
        /// The job's state, as far as the answer names one.
        state: String,
        /// How many tasks are said to run, where that is looked at: for jobs whose
        /// replicas span machines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        running: Option<u32>,
    },
    /// A task has its image and runs.
    Started {
        /// The task.
        task: String,
        /// The machine's number.
        machine: u32,
    },
    /// A task completed; its result is kept.
    Finished {
        /// The task.
        task: String,
    },
    /// A task is on a machine no longer.
    Left {
        /// The task.
        task: String,
        /// The machine's number.
        machine: u32,
    },
    /// Machines are gone with all that they ran.
    Lost {
        /// The machines' numbers, from and to, the last one included.
        machines: (u32, u32),
    },
}

/// An event with its time.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since 1970.
    pub at_us: u64,
    /// What happened.
    pub event: Event,
}

/// The file that a part writes.
pub struct Recorder {
    file: BufWriter<File>,
}

impl Recorder {
    /// Begins a file.
    pub fn create(path: &Path) -> io::Result<Recorder> {
        Ok(Recorder {
            file: BufWriter::new(File::create(path)?),
        })
    }

    /// Writes down what happens now.
    pub fn note(&mut self, event: Event) -> io::Result<()> {
        let entry = Entry {
            at_us: now_us(),
            event,
        };
        serde_json::to_writer(&mut self.file, &entry)?;
        self.file.write_all(b"\n")
    }

    /// Makes sure that nothing is lost if this process ends.
    pub fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads files, and puts their events in the order of time. A last line that was
/// cut off by its writer's end is left out.
pub fn read(paths: &[std::path::PathBuf]) -> io::Result<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for path in paths {
        for line in BufReader::new(File::open(path)?).lines() {
            entries.extend(serde_json::from_str::<Entry>(&line?).ok());
        }
    }
    entries.sort_by_key(|entry| entry.at_us);
    Ok(entries)
}
