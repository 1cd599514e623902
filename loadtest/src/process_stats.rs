//! What processes use, as the kernel counts it.

use procfs::process::Process;
use serde::Serialize;
use std::collections::BTreeMap;

/// What one process uses now.
#[derive(Clone, Copy, Default, Debug)]
pub struct Snapshot {
    /// Processor time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory in MB.
    pub resident_mb: f64,
    /// Open files, nearly all of them sockets.
    pub sockets: usize,
}

impl Snapshot {
    /// Asks the kernel. `None`: there is no such process.
    pub fn of(pid: u32) -> Option<Snapshot> {
        let process = Process::new(i32::try_from(pid).ok()?).ok()?;
        let stat = process.stat().ok()?;
        Some(Snapshot {
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

/// What a process used over the measured time.
#[derive(Clone, Copy, Default, Debug, Serialize)]
pub struct Used {
    /// Cores, on the mean.
    pub cores_mean: f64,
    /// Cores in the second in which it used most.
    pub cores_most: f64,
    /// The most resident memory in MB.
    pub resident_mb: f64,
    /// The most open files.
    pub sockets: usize,
    #[serde(skip)]
    first: Option<(f64, f64)>,
    #[serde(skip)]
    last: Option<(f64, f64)>,
    /// Processor time of ended processes of the same name, in seconds.
    #[serde(skip)]
    earlier_cpu_s: f64,
}

impl Used {
    /// Takes in what the kernel says at this time, in seconds.
    pub fn add(&mut self, at_s: f64, now: Snapshot) {
        if self
            .last
            .is_some_and(|(_, cpu_s)| now.cpu_s + self.earlier_cpu_s < cpu_s)
        {
            // It was started again.
            self.earlier_cpu_s = self.last.map_or(0.0, |(_, cpu_s)| cpu_s);
        }
        let cpu_s = now.cpu_s + self.earlier_cpu_s;
        if let Some((before_s, before_cpu_s)) = self.last {
            let cores = (cpu_s - before_cpu_s) / (at_s - before_s).max(1e-3);
            self.cores_most = self.cores_most.max(cores);
        }
        let (first_s, first_cpu_s) = *self.first.get_or_insert((at_s, cpu_s));
        self.last = Some((at_s, cpu_s));
        if at_s > first_s {
            self.cores_mean = (cpu_s - first_cpu_s) / (at_s - first_s);
        }
        self.resident_mb = self.resident_mb.max(now.resident_mb);
        self.sockets = self.sockets.max(now.sockets);
    }
}

/// What all processes used, by name.
#[derive(Default)]
pub struct Usage {
    /// By the process's name.
    pub processes: BTreeMap<String, Used>,
}

impl Usage {
    /// Looks at these processes; tells how much memory they hold together, in MB.
    pub fn sample<'a>(&mut self, at_s: f64, pids: impl Iterator<Item = (&'a str, u32)>) -> f64 {
        let mut resident_mb = 0.0;
        for (name, pid) in pids {
            if let Some(now) = Snapshot::of(pid) {
                resident_mb += now.resident_mb;
                let used = self.processes.entry(name.to_string()).or_default();
                used.add(at_s, now);
            }
        }
        resident_mb
    }
}
