//! The history of a load test. The harness and the simulators each write their events to
//! a file of their own, as one line of JSON per event.

use crate::net::now_us;
use crate::scenario::MachineRange;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// The kinds of requests that users make.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum UserRequest {
    /// Submit a job.
    Submit,
    /// Read the state of a job.
    Query,
    /// Cancel a job.
    Cancel,
}

/// An event that the checker's rules or the report's figures depend on.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A user submits a job for the first time.
    Submitted {
        /// The id of the job.
        job: String,
    },
    /// A user requests the cancellation of a job for the first time.
    #[serde(rename = "CancelAsked")]
    CancelRequested {
        /// The id of the job.
        job: String,
    },
    /// A user's request ended with a response, or failed without one.
    #[serde(rename = "Answered")]
    RequestCompleted {
        /// The id of the job that the request is about.
        job: String,
        /// The kind of request.
        request: UserRequest,
        /// The HTTP status; 0: there was no response.
        status: u16,
        /// The state of the job in the response; empty: the response has none.
        state: String,
        /// The number of running tasks in the response; `None` for jobs without
        /// multi-host replicas.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        running: Option<u32>,
    },
    /// A task has loaded its image and runs.
    Started {
        /// The task, as `job/index`.
        task: String,
        /// The number of the machine on which the task runs.
        machine: u32,
    },
    /// A task of an array job has completed. Its result is kept, even if the task's machine is
    /// lost later.
    Finished {
        /// The task, as `job/index`.
        task: String,
    },
    /// A task is no longer on its machine.
    Left {
        /// The task, as `job/index`.
        task: String,
        /// The number of the machine on which the task was.
        machine: u32,
    },
    /// Machines are lost with all tasks on them.
    Lost {
        /// The numbers of the lost machines.
        machines: MachineRange,
    },
}

/// An event with its time: one line of a history file.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// When the event was recorded, in microseconds since 1970.
    pub at_us: u64,
    /// The recorded event.
    pub event: Event,
}

/// Writes the history file of one process.
pub struct Recorder {
    file: BufWriter<File>,
}

impl Recorder {
    /// Creates the file, or truncates an existing one.
    pub fn create(path: &Path) -> io::Result<Recorder> {
        Ok(Recorder {
            file: BufWriter::new(File::create(path)?),
        })
    }

    /// Writes an event with the current time to the buffer.
    pub fn record(&mut self, event: Event) -> io::Result<()> {
        let entry = Entry {
            at_us: now_us(),
            event,
        };
        serde_json::to_writer(&mut self.file, &entry)?;
        self.file.write_all(b"\n")
    }

    /// Writes the buffered events to the file, so that they are kept when this process ends.
    pub fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

/// Reads history files and sorts their events by time. Lines that aren't valid entries are
/// skipped: the last line of a file is truncated if its writer was killed.
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
