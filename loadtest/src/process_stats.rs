//! Processor time, memory and open files of processes, as reported by the kernel.

use procfs::process::Process;
use serde::Serialize;
use std::collections::BTreeMap;

/// The resource usage of a process at one moment.
#[derive(Clone, Copy, Default, Debug)]
pub struct ProcessSnapshot {
    /// Processor time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory in MB.
    pub resident_mb: f64,
    /// The number of open files, nearly all of which are sockets.
    pub sockets: usize,
}

impl ProcessSnapshot {
    /// Reads the usage of the process with this id; `None`: there is no such process.
    pub fn read(pid: u32) -> Option<ProcessSnapshot> {
        let process = Process::new(i32::try_from(pid).ok()?).ok()?;
        let stat = process.stat().ok()?;
        Some(ProcessSnapshot {
            cpu_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
            resident_mb: (stat.rss * procfs::page_size()) as f64 / 1e6,
            sockets: process.fd_count().unwrap_or(0),
        })
    }
}

/// Returns how many files this process, and each process that it starts, may open; `None`:
/// the number is unlimited or unknown.
pub fn open_files_limit() -> Option<u64> {
    let limits = Process::myself().ok()?.limits().ok()?;
    match limits.max_open_files.soft_limit {
        procfs::process::LimitValue::Value(limit) => Some(limit),
        procfs::process::LimitValue::Unlimited => None,
    }
}

/// The processor time of a process up to a moment, in seconds; the moment is in seconds
/// since 1970.
#[derive(Clone, Copy, Debug)]
struct CpuSample {
    at_s: f64,
    cpu_s: f64,
}

/// The resource usage of a process over the measured time. A restarted process counts as
/// the same one.
#[derive(Clone, Copy, Default, Debug, Serialize)]
pub struct ProcessUsage {
    /// The mean number of cores used.
    pub cores_mean: f64,
    /// The number of cores used in the busiest interval between two samples, about a second.
    #[serde(rename = "cores_most")]
    pub cores_max: f64,
    /// The largest resident memory of all samples, in MB.
    pub resident_mb: f64,
    /// The largest number of open files of all samples.
    pub sockets: usize,
    #[serde(skip)]
    first: Option<CpuSample>,
    #[serde(skip)]
    last: Option<CpuSample>,
    /// The processor time of earlier processes of the same name, which have ended, in
    /// seconds.
    #[serde(skip)]
    earlier_cpu_s: f64,
}

impl ProcessUsage {
    /// Adds a snapshot taken at this time, in seconds since 1970.
    pub fn add(&mut self, at_s: f64, snapshot: ProcessSnapshot) {
        if self
            .last
            .is_some_and(|last| snapshot.cpu_s + self.earlier_cpu_s < last.cpu_s)
        {
            // The processor time is less than before: the process was restarted.
            self.earlier_cpu_s = self.last.map_or(0.0, |last| last.cpu_s);
        }
        let cpu_s = snapshot.cpu_s + self.earlier_cpu_s;
        if let Some(last) = self.last {
            let cores = (cpu_s - last.cpu_s) / (at_s - last.at_s).max(1e-3);
            self.cores_max = self.cores_max.max(cores);
        }
        let sample = CpuSample { at_s, cpu_s };
        let first = *self.first.get_or_insert(sample);
        self.last = Some(sample);
        if at_s > first.at_s {
            self.cores_mean = (cpu_s - first.cpu_s) / (at_s - first.at_s);
        }
        self.resident_mb = self.resident_mb.max(snapshot.resident_mb);
        self.sockets = self.sockets.max(snapshot.sockets);
    }
}

/// The resource usage of all processes over the measured time.
#[derive(Default)]
pub struct UsageByProcess {
    /// The usage of each process, by the name that the harness gave it.
    pub processes: BTreeMap<String, ProcessUsage>,
}

impl UsageByProcess {
    /// Samples the processes with these names and ids at this time, in seconds since 1970,
    /// and returns their resident memory together, in MB.
    pub fn sample<'a>(&mut self, at_s: f64, pids: impl Iterator<Item = (&'a str, u32)>) -> f64 {
        let mut resident_mb = 0.0;
        for (name, pid) in pids {
            if let Some(snapshot) = ProcessSnapshot::read(pid) {
                resident_mb += snapshot.resident_mb;
                let used = self.processes.entry(name.to_string()).or_default();
                used.add(at_s, snapshot);
            }
        }
        resident_mb
    }
}
