//! Writes the settings files of the controllers.

use crate::scenario::{ClassSettings, Scenario};
use std::fmt::{self, Write};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// The addresses that a controller's settings file contains.
pub struct Addresses<'a> {
    /// Where each controller accepts connections of users and workers.
    pub client_listeners: &'a [SocketAddrV4],
    /// Where each controller accepts connections of its peers.
    pub peer_listeners: &'a [SocketAddrV4],
    /// The listener of the simulated key-value store for this controller.
    pub kv_store: SocketAddrV4,
    /// The listener of the simulated cloud.
    pub cloud: SocketAddrV4,
}

/// Returns the text of the settings file of the controller with this number.
pub fn settings_text(scenario: &Scenario, number: usize, addresses: &Addresses) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = write_controller_and_peers(&mut text, scenario, number, addresses);
    let _ = write_teams(&mut text, scenario);
    let _ = write_objectives(&mut text, scenario);
    let _ = write_limits(&mut text, scenario);
    text
}

/// Writes the controller's name and addresses, its peers, and the services that it uses.
fn write_controller_and_peers(
    text: &mut String,
    scenario: &Scenario,
    number: usize,
    addresses: &Addresses,
) -> fmt::Result {
    let zone = |controller: usize| &scenario.zones[controller % scenario.zones.len()];
    write!(
        text,
        "node_name = \"controller-{number}\"\ndomain = \"{}\"\nclient_listen = \"{}\"\nback = \"{}\"\n",
        zone(number),
        addresses.client_listeners[number],
        addresses.peer_listeners[number]
    )?;
    let others = addresses.peer_listeners.iter().enumerate();
    for (peer, address) in others.filter(|(peer, _)| *peer != number) {
        write!(
            text,
            "[[peers]]\nnode_name = \"controller-{peer}\"\ndomain = \"{}\"\npeer_addr = \"{address}\"\n",
            zone(peer)
        )?;
    }
    let zones: Vec<String> = scenario
        .zones
        .iter()
        .map(|zone| format!("\"{zone}\""))
        .collect();
    write!(
        text,
        "[services]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\ncount = {}\nzones = [{}]\nskew_ms = 5.0\n",
        addresses.cloud,
        addresses.kv_store,
        scenario.controllers.count,
        zones.join(", ")
    )
}

fn write_teams(text: &mut String, scenario: &Scenario) -> fmt::Result {
    let limit = scenario.team_gpus_max;
    let guarantee = limit / 4.0;
    for team in 0..scenario.teams {
        write!(
            text,
            "[[settings.teams]]\nname = \"team-{team}\"\ngpus = {guarantee:.1}\ngpus_max = {limit:.1}\n"
        )?;
    }
    Ok(())
}

fn write_objectives(text: &mut String, scenario: &Scenario) -> fmt::Result {
    for class in &scenario.classes {
        if let Some(within_s) = class.start_within_s {
            write!(
                text,
                "[[settings.objectives]]\nkind = \"wait\"\nclass = \"{}\"\nwithin_s = {within_s:.2}\nshare = 0.9\n",
                class.name
            )?;
        }
    }
    Ok(())
}

/// Writes the limits of the workers, the services and the controller's machine.
fn write_limits(text: &mut String, scenario: &Scenario) -> fmt::Result {
    let (workers, kv_store) = (&scenario.workers, &scenario.state);
    let (cloud, controllers) = (&scenario.cloud, &scenario.controllers);
    write!(
        text,
        "[settings.workers]\nreport_s = {:.2}\nlease_s = {:.2}\ncancel_s = {:.2}\n",
        workers.report_s, workers.lease_s, workers.cancel_s
    )?;
    write!(
        text,
        "[settings.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
        kv_store.rps, kv_store.write_rps, kv_store.value_kb, kv_store.txn_ops
    )?;
    write!(
        text,
        "[settings.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n",
        cloud.rps, cloud.list_lag_s
    )?;
    write!(
        text,
        "[settings.limits]\ncores = {:.3}\nram_mb = {:.1}\nmax_connections = {}\n",
        controllers.cores, controllers.ram_mb, controllers.max_connections
    )?;
    if let Some(next) = &kv_store.next {
        write!(
            text,
            "[settings.state.next]\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
            next.write_rps, next.value_kb, next.txn_ops
        )?;
    }
    Ok(())
}

/// Writes the operators' INI file if replicas of any class span several machines, and
/// returns the arguments that pass the file to the controllers. The file lists these
/// classes with their tasks per replica.
pub(super) fn write_ini(dir: &Path, scenario: &Scenario) -> io::Result<Vec<PathBuf>> {
    let is_multi_host =
        |class: &&ClassSettings| class.tasks_per_replica > 0 && !scenario.ungrouped_replicas;
    let lines: Vec<String> = scenario
        .classes
        .iter()
        .filter(is_multi_host)
        .map(|class| format!("{} = {}\n", class.name, class.tasks_per_replica))
        .collect();
    if lines.is_empty() {
        return Ok(Vec::new());
    }
    let path = dir.join("operators.ini");
    std::fs::write(&path, format!("[replica_parts]\n{}", lines.concat()))?;
    Ok(vec![PathBuf::from("--ini"), path])
}
