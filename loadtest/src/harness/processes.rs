//! Child processes of the harness: simulators and controllers.

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

/// A controller's process with its files.
pub(super) struct Controller {
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
    /// `None`: not started yet, or killed by a fault.
    pub(super) process: Option<ChildProcess>,
}

/// A child process that is killed when this value is dropped. If the harness is killed
/// itself, the kernel kills its child processes.
pub(super) struct ChildProcess {
    pub(super) name: String,
    pub(super) child: Child,
    /// Whether the process is paused, or was killed by a fault.
    pub(super) unavailable: bool,
}

impl ChildProcess {
    /// Pauses the process until [`ChildProcess::resume`] and marks it as unavailable.
    pub(super) fn pause(&mut self) {
        self.unavailable = true;
        self.signal(libc::SIGSTOP);
    }

    /// Resumes the process after [`ChildProcess::pause`].
    pub(super) fn resume(&mut self) {
        self.signal(libc::SIGCONT);
        self.unavailable = false;
    }

    /// Kills the process and marks it as unavailable.
    pub(super) fn kill(&mut self) {
        self.unavailable = true;
        let _ = self.child.kill();
    }

    fn signal(&self, signal: i32) {
        if let Ok(pid) = i32::try_from(self.child.id()) {
            // Safety: kill() takes no pointers. The child has not been waited for, so its
            // process id can't have been reused.
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

/// Starts a child process that the kernel kills when the harness ends.
pub(super) fn spawn(mut command: Command, name: &str) -> Result<ChildProcess, RunError> {
    // Safety: the closure only calls prctl, which may be called between fork and exec.
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

/// The process of a simulator, which accepts commands.
pub(super) struct SimulatorProcess {
    pub(super) process: ChildProcess,
    pub(super) ready: Ready,
    pub(super) history: PathBuf,
}

impl SimulatorProcess {
    /// Starts a simulator and waits until it reports that it can be reached.
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

    /// Sends a command to the simulator and returns its counters; empty: the simulator is
    /// unavailable or did not respond.
    pub(super) fn send(&self, command: &SimulatorCommand) -> Stats {
        if self.process.unavailable {
            return Stats::default();
        }
        control::send(self.ready.control, command).unwrap_or_default()
    }
}
