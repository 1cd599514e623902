//! Processor time, memory and sockets of processes, as the kernel counts them.

use procfs::process::Process;
use serde::Serialize;
use std::collections::BTreeMap;

/// What one process uses at one moment.
#[derive(Clone, Copy, Default, Debug)]
pub struct ProcessSnapshot {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in MB.
    pub resident_mb: f64,
    /// Open files, nearly all of them sockets.
    pub sockets: usize,
}

impl ProcessSnapshot {
    /// Reads the counters of a process; `None`: there is no such process.
    pub fn of(pid: u32) -> Option<ProcessSnapshot> {
        let process = Process::new(i32::try_from(pid).ok()?).ok()?;
        let stat = process.stat().ok()?;
        Some(ProcessSnapshot {
            cpu_s: (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64,
            resident_mb: (stat.rss * procfs::page_size()) as f64 / 1e6,
            sockets: process.fd_count().unwrap_or(0),
        })
    }
}

/// How many files this process, and those that it starts, may open.
pub fn open_files_limit() -> Option<u64> {
    let limits = Process::myself().ok()?.limits().ok()?;
    match limits.max_open_files.soft_limit {
        procfs::process::LimitValue::Value(limit) => Some(limit),
        procfs::process::LimitValue::Unlimited => None,
    }
}

/// The processor time of a process up to a moment, in seconds.
#[derive(Clone, Copy, Debug)]
struct CpuSample {
    at_s: f64,
    cpu_s: f64,
}

/// What a process used over the measured time.
#[derive(Clone, Copy, Default, Debug, Serialize)]
pub struct ProcessUsage {
    /// Cores, mean.
    pub cores_mean: f64,
    /// Cores in its busiest second.
    #[serde(rename = "cores_most")]
    pub cores_max: f64,
    /// The most resident memory in MB.
    pub resident_mb: f64,
    /// The most open files.
    pub sockets: usize,
    #[serde(skip)]
    first: Option<CpuSample>,
    #[serde(skip)]
    last: Option<CpuSample>,
    /// Processor time of ended processes of the same name, in seconds.
    #[serde(skip)]
    earlier_cpu_s: f64,
}

impl ProcessUsage {
    /// Adds a snapshot taken at this time, in seconds.
    pub fn add(&mut self, at_s: f64, now: ProcessSnapshot) {
        if self
            .last
            .is_some_and(|last| now.cpu_s + self.earlier_cpu_s < last.cpu_s)
        {
            // The process was restarted.
            self.earlier_cpu_s = self.last.map_or(0.0, |last| last.cpu_s);
        }
        let cpu_s = now.cpu_s + self.earlier_cpu_s;
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
        self.resident_mb = self.resident_mb.max(now.resident_mb);
        self.sockets = self.sockets.max(now.sockets);
    }
}

/// What all processes used, by name.
#[derive(Default)]
pub struct UsageByProcess {
    /// By the process's name.
    pub processes: BTreeMap<String, ProcessUsage>,
}

impl UsageByProcess {
    /// Samples these processes; the result is the memory of all together, in MB.
    pub fn sample<'a>(&mut self, at_s: f64, pids: impl Iterator<Item = (&'a str, u32)>) -> f64 {
        let mut resident_mb = 0.0;
        for (name, pid) in pids {
            if let Some(now) = ProcessSnapshot::of(pid) {
                resident_mb += now.resident_mb;
                let used = self.processes.entry(name.to_string()).or_default();
                used.add(at_s, now);
            }
        }
        resident_mb
    }
}
