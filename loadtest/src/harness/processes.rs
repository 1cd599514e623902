//! The processes of a load test: simulators and controllers.

use super::{process_error, RunError};
use crate::control::{self, Ready, SimulatorCommand, Stats};
use crate::process::{ProcessConfig, ProcessRole};
use crate::scenario::Scenario;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddrV4;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A controller with its files.
pub(super) struct Controller {
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
    /// `None`: a fault has ended it.
    pub(super) process: Option<ChildProcess>,
}

/// A process that ends with this one, however that ends.
pub(super) struct ChildProcess {
    pub(super) name: String,
    pub(super) child: Child,
    /// It was paused, or ended by a fault.
    pub(super) unavailable: bool,
}

impl ChildProcess {
    /// Stops it until [`ChildProcess::resume`]; it is unavailable meanwhile.
    pub(super) fn pause(&mut self) {
        self.unavailable = true;
        self.signal(libc::SIGSTOP);
    }

    /// Lets it go on.
    pub(super) fn resume(&mut self) {
        self.signal(libc::SIGCONT);
        self.unavailable = false;
    }

    /// Ends it for good.
    pub(super) fn kill(&mut self) {
        self.unavailable = true;
        let _ = self.child.kill();
    }

    fn signal(&self, signal: i32) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // Safety: a plain system call; the child hasn't been waited for, so its
            // id can't have been reused.
            unsafe { libc::kill(pid, signal) };
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(super) fn spawn(mut command: Command, name: &str) -> Result<ChildProcess, RunError> {
    // Safety: prctl is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    let child = command.spawn().map_err(process_error(name))?;
    Ok(ChildProcess {
        name: name.to_string(),
        child,
        unavailable: false,
    })
}

/// A simulator's process.
pub(super) struct SimulatorProcess {
    pub(super) process: ChildProcess,
    pub(super) ready: Ready,
    pub(super) history: PathBuf,
}

impl SimulatorProcess {
    /// Starts it, and waits until it can be reached.
    pub(super) fn start(
        dir: &Path,
        name: &str,
        role: ProcessRole,
        scenario: &Scenario,
        controllers: &[SocketAddrV4],
    ) -> Result<SimulatorProcess, RunError> {
        let error = process_error(name);
        let config = ProcessConfig {
            role,
            scenario: scenario.clone(),
            controllers: controllers.to_vec(),
            history: dir.join(format!("{name}.history")),
        };
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, serde_json::to_vec(&config).unwrap_or_default()).map_err(&error)?;
        let mut command = Command::new(std::env::current_exe().map_err(&error)?);
        let log = File::create(dir.join(format!("{name}.log"))).map_err(&error)?;
        command
            .arg("simulate")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log);
        let mut process = spawn(command, name)?;
        let stdout = process
            .child
            .stdout
            .take()
            .ok_or(io::ErrorKind::BrokenPipe.into())
            .map_err(&error)?;
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(&error)?;
        let ready: Ready = serde_json::from_str(&line).map_err(|e| error(e.into()))?;
        Ok(SimulatorProcess {
            process,
            ready,
            history: config.history,
        })
    }

    /// Sends it a command; no stats if it doesn't respond.
    pub(super) fn send(&self, command: &SimulatorCommand) -> Stats {
        if self.process.unavailable {
            return Stats::default();
        }
        control::send(self.ready.control, command).unwrap_or_default()
    }
}
