//! The history of a load test: each simulator writes its events to a file of its own,
//! one line of JSON each.

use crate::net::now_us;
use crate::scenario::MachineRange;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// The kinds of users' requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum UserRequest {
    /// To accept a job.
    Submit,
    /// How a job is.
    Query,
    /// To cancel a job.
    Cancel,
}

/// An event that the rules are about.
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
    /// A user received a response, or none.
    Answered {
        /// The job.
        job: String,
        /// The request.
        request: UserRequest,
        /// The HTTP status; 0: there was no response.
        status: u16,
        /// The job's state, as far as the response names one.
        state: String,
        /// How many tasks run, by the response; only of jobs with multi-host replicas.
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
    /// A task has left its machine.
    Left {
        /// The task.
        task: String,
        /// The machine's number.
        machine: u32,
    },
    /// Machines are lost with all tasks that they ran.
    Lost {
        /// The machines.
        machines: MachineRange,
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

/// Writes a simulator's history.
pub struct Recorder {
    file: BufWriter<File>,
}

impl Recorder {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Recorder> {
        Ok(Recorder {
            file: BufWriter::new(File::create(path)?),
        })
    }

    /// Records an event that happens now.
    pub fn record(&mut self, event: Event) -> io::Result<()> {
        let entry = Entry {
            at_us: now_us(),
            event,
        };
        serde_json::to_writer(&mut self.file, &entry)?;
        self.file.write_all(b"\n")
    }

    /// Writes what is buffered, so that it survives the end of this process.
    pub fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads files, and sorts their events by time. A last line that was truncated when its
/// writer ended is skipped.
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
