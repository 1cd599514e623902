//! Settings of the simulated controllers, and constants that mirror them.

use lilacfork::settings::Settings;

/// Settings template for each controller of a cluster of three. `NAME` and `ZONE` are
/// placeholders for the controller's name and zone.
pub const SETTINGS: &str = r#"
node_name = "NAME"
domain = "ZONE"
client_listen = "10.0.0.9:8080"
back = "10.0.0.9:8081"
[[peers]]
node_name = "n-0"
domain = "a"
peer_addr = "10.0.0.1:8081"
[[peers]]
node_name = "n-1"
domain = "b"
peer_addr = "10.0.0.2:8081"
[[peers]]
node_name = "n-2"
domain = "a"
peer_addr = "10.0.0.3:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
count = 3
zones = ["a", "b"]
skew_ms = 5.0
[[settings.teams]]
name = "blue"
gpus_max = 16.0
[[settings.teams]]
name = "red"
[[settings.objectives]]
kind = "wait"
class = "chat"
within_s = 5.0
share = 0.9
[settings.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[settings.state]
rps = 200.0
write_rps = 50.0
value_kb = 32.0
txn_ops = 16
[settings.cloud]
rps = 5.0
list_lag_s = 5.0
[settings.limits]
cores = 0.1
ram_mb = 40.0
max_connections = 500
"#;

/// The share of a core in [`SETTINGS`].
pub(super) const CORES: f64 = 0.1;

/// The workers' heartbeat interval (`report_s`) in [`SETTINGS`].
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 1000;

/// The duration of the workers' lease (`lease_s`) in [`SETTINGS`].
pub const LEASE_MS: u64 = 10_000;

/// How long a job may have tasks on machines after its confirmed cancellation (`cancel_s`), in
/// [`SETTINGS`].
pub const CANCEL_MS: u64 = 30_000;

/// Returns the settings of the controller `name` in a cluster of `nodes`, or of three if
/// `nodes` is smaller.
pub fn settings(name: &str, nodes: usize) -> Settings {
    let zone = if name == "n-1" { "b" } else { "a" };
    let mut text = SETTINGS.replace("NAME", name).replace("ZONE", zone);
    for node in 3..nodes {
        let address = format!("10.0.0.{}:8081", node + 1);
        let peer = format!(
            "[[peers]]\nnode_name = \"n-{node}\"\ndomain = \"a\"\npeer_addr = \"{address}\"\n"
        );
        text = text.replace("[services]", &format!("{peer}[services]"));
    }
    Settings::parse(&without_own_peer(&text, name), "test").expect("valid test settings")
}

/// Removes a controller's own entry from the list of peers, which settings files must not
/// contain.
fn without_own_peer(text: &str, name: &str) -> String {
    const LINES_PER_PEER: usize = 4;
    let own_entry = format!("[[peers]]\nnode_name = \"{name}\"\n");
    let (before, after_node_name) = text
        .split_once(&own_entry)
        .expect("an entry for the controller itself");
    let remaining_lines = LINES_PER_PEER - own_entry.lines().count();
    let after: String = after_node_name
        .split_inclusive('\n')
        .skip(remaining_lines)
        .collect();
    format!("{before}{after}")
}
