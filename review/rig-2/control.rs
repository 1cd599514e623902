//! The project's own program as processes, and the links between them.

use crate::base::{call, free_address, Record, J};
use crate::state::{CUT, OPEN};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

pub struct Site {
    /// Name and zone of each controller.
    pub nodes: Vec<(&'static str, &'static str)>,
    pub zones: Vec<&'static str>,
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Kind, class, and the rest of each aim.
    pub objectives: Vec<&'static str>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cores: f64,
    pub max_connections: usize,
}

/// A link between two controllers, in one direction: the addresses in the settings lead
/// through it.
fn proxy(target: String, link: Arc<AtomicU8>, stop: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let _ = listener.set_nonblocking(true);
    std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (target, link) = (target.clone(), link.clone());
                    std::thread::spawn(move || pass(stream, &target, &link));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
    address
}

fn wait_for_end_of_cut(link: &AtomicU8) -> bool {
    let was_cut = link.load(Ordering::SeqCst) == CUT;
    while link.load(Ordering::SeqCst) == CUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    was_cut
}

fn pass(client: TcpStream, target: &str, link: &Arc<AtomicU8>) {
    if wait_for_end_of_cut(link) {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let pump = |mut from: TcpStream, mut to: TcpStream, link: Arc<AtomicU8>| {
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let _ = from.set_nodelay(true);
        let mut buffer = [0u8; 16384];
        loop {
            if wait_for_end_of_cut(&link) {
                break;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => {
                    if wait_for_end_of_cut(&link) || to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    };
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let other = link.clone();
    std::thread::spawn(move || pump(server_copy, client_copy, other));
    pump(client, server, link.clone());
}

pub struct Controller {
    pub name: String,
    pub zone: String,
    pub client: String,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    paused: AtomicBool,
}

pub struct Controllers {
    pub nodes: Vec<Controller>,
    /// `links[i][j]`: from controller i to controller j.
    pub links: Vec<Vec<Arc<AtomicU8>>>,
    run: Vec<String>,
    root: PathBuf,
    record: Arc<Record>,
}

impl Controllers {
    #[allow(clippy::too_many_arguments)]
    pub fn prepare(
        site: &Site,
        root: &Path,
        folder: &Path,
        state: &[String],
        cloud: &[String],
        record: Arc<Record>,
        stop: Arc<AtomicBool>,
    ) -> Controllers {
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("run")
            .trim_end()
            .trim_end_matches('"')
            .split(' ')
            .map(str::to_string)
            .collect();
        let count = site.nodes.len();
        let clients: Vec<String> = (0..count).map(|_| free_address()).collect();
        let backs: Vec<String> = (0..count).map(|_| free_address()).collect();
        let links: Vec<Vec<Arc<AtomicU8>>> = (0..count)
            .map(|_| (0..count).map(|_| Arc::new(AtomicU8::new(OPEN))).collect())
            .collect();
        let mut nodes = Vec::new();
        for (i, (name, zone)) in site.nodes.iter().enumerate() {
            let mut text = format!(
                "node_name = \"{name}\"\ndomain = \"{zone}\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
                clients[i], backs[i]
            );
            for (j, (peer, peer_zone)) in site.nodes.iter().enumerate() {
                if i != j {
                    let address = proxy(backs[j].clone(), links[i][j].clone(), stop.clone());
                    text.push_str(&format!(
                        "\n[[peers]]\nnode_name = \"{peer}\"\ndomain = \"{peer_zone}\"\npeer_addr = \"{address}\"\n"
                    ));
                }
            }
            text.push_str(&format!(
                "\n[services]\ncloud = \"{}\"\nstate = \"{}\"\n",
                cloud[i], state[i]
            ));
            let zones: Vec<String> = site.zones.iter().map(|z| format!("\"{z}\"")).collect();
            text.push_str(&format!(
                "\n[settings]\ncount = {count}\nzones = [{}]\nskew_ms = 5.0\n",
                zones.join(", ")
            ));
            for (team, gpus, gpus_max) in &site.teams {
                text.push_str(&format!(
                    "\n[[settings.teams]]\nname = \"{team}\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = {gpus:.1}\ngpus_max = {gpus_max:.1}\n"
                ));
            }
            for objective in &site.objectives {
                text.push_str(&format!("\n[[settings.objectives]]\n{objective}\n"));
            }
            text.push_str(&format!(
                "\n[settings.workers]\nreport_s = {:.2}\nlease_s = {:.2}\ngang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = {:.2}\n\
                 \n[settings.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 32.0\ntxn_ops = {}\n\
                 \n[settings.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
                 \n[settings.limits]\ncores = {}\nram_mb = 40.0\nmax_connections = {}\n",
                site.report_s,
                site.lease_s,
                site.cancel_s,
                site.rps,
                site.write_rps,
                site.txn_ops,
                site.cloud_rps,
                site.list_lag_s,
                site.cores,
                site.max_connections
            ));
            let settings = folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).expect("settings");
            nodes.push(Controller {
                name: name.to_string(),
                zone: zone.to_string(),
                client: clients[i].clone(),
                settings,
                log: folder.join(format!("{name}.log")),
                child: Mutex::new(None),
                paused: AtomicBool::new(false),
            });
        }
        Controllers {
            nodes,
            links,
            run,
            root: root.to_path_buf(),
            record,
        }
    }

    pub fn clients(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.client.clone()).collect()
    }

    pub fn index(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.name == name)
            .expect("a controller's name")
    }

    pub fn start(&self, index: usize) {
        let node = &self.nodes[index];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("log");
        let mut command = Command::new(self.root.join(&self.run[0]));
        command
            .args(&self.run[1..])
            .arg(&node.settings)
            .env("LOG_LEVEL", "info")
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // The process ends with the rig, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().expect("the project's program");
        self.record.add(format!("{} starts", node.name));
        *node.child.lock().unwrap() = Some(child);
    }

    pub fn start_all(&self) {
        for index in 0..self.nodes.len() {
            self.start(index);
        }
    }

    fn signal(&self, index: usize, number: i32) {
        if let Some(child) = self.nodes[index].child.lock().unwrap().as_ref() {
            unsafe {
                kill(child.id() as i32, number);
            }
        }
    }

    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .add(format!("{} is killed", self.nodes[index].name));
        }
    }

    pub fn pause(&self, index: usize) {
        self.signal(index, SIGSTOP);
        self.nodes[index].paused.store(true, Ordering::SeqCst);
        self.record
            .add(format!("{} stands still", self.nodes[index].name));
    }

    pub fn resume(&self, index: usize) {
        self.signal(index, SIGCONT);
        self.nodes[index].paused.store(false, Ordering::SeqCst);
        self.record
            .add(format!("{} goes on", self.nodes[index].name));
    }

    /// Whether the controller's process has ended by itself.
    pub fn ended(&self, index: usize) -> bool {
        let mut child = self.nodes[index].child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sets the links between a controller and all others.
    pub fn set_links_of(&self, index: usize, mode: u8) {
        for other in 0..self.nodes.len() {
            self.links[index][other].store(mode, Ordering::SeqCst);
            self.links[other][index].store(mode, Ordering::SeqCst);
        }
    }

    pub fn ready(&self, index: usize) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = call(&self.nodes[index].client, "GET", "/ready", "", timeout);
        matches!(answer, Ok((200, _)))
    }

    /// Adds the lines of the controllers' logs that contain one of the words.
    pub fn add_log_lines(&self, words: &[&str]) {
        for node in &self.nodes {
            let text = std::fs::read_to_string(&node.log).unwrap_or_default();
            for line in text.lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record.add(format!("log of {}: {line}", node.name));
                }
            }
        }
    }

    pub fn end_all(&self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].paused.load(Ordering::SeqCst) {
                self.signal(index, SIGCONT);
            }
            self.kill(index);
        }
    }
}

/// A user's request, with the record of what was sent and answered.
pub fn ask(
    record: &Record,
    name: &str,
    address: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout_s: f64,
) -> Option<(u16, J)> {
    let timeout = Duration::from_secs_f64(timeout_s);
    let answer = call(address, method, path, body, timeout);
    let shown = match &answer {
        Ok((status, text)) => format!("{status} {text}"),
        Err(error) => error.clone(),
    };
    record.add(format!("user -> {name}: {method} {path}: {shown}"));
    let (status, text) = answer.ok()?;
    Some((status, crate::base::parse(&text).unwrap_or(J::Null)))
}
