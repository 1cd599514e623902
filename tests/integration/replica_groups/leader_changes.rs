//! Changes of leader at each step of a start, a repair and a migration.

use super::{longest, noticed, During, REPAIR_MS};
use crate::simulation::replica_groups::{
    attempts, machines, placement, places, shown, started, wide,
};
use crate::simulation::{Fate, Simulation};
use lilacfork::messages::Destination;

/// The condition of the key-value store meanwhile.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StoreCondition {
    Healthy,
    /// It is unavailable for three seconds.
    Unavailable,
    /// Half of its responses are lost.
    LosingResponses,
}

fn leader_ends(during: During, store: StoreCondition, after_ms: u64) {
    let what = format!("{during:?}, {store:?}, after {after_ms}");
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    w.fetch_ms = 400;
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    if during == During::Start {
        assert_eq!(w.submit((leader + 1) % 3, &wide("run-1", 2)), 201, "{what}");
    } else {
        started(&mut w, &wide("run-1", 2));
        let machine = places(&w, "run-1")["run-1/1"].clone();
        let worker = w.workers.get_mut(&machine).unwrap();
        if during == During::Repair {
            worker.silent = true;
            // The machine is declared failed after eight seconds.
            w.run_for(7500);
        } else {
            worker.notice_s = Some(60.0);
        }
    }
    if store == StoreCondition::LosingResponses {
        let mut rng = fastrand::Rng::with_seed(after_ms);
        w.hook = Box::new(move |now, _, call| match call.destination {
            Destination::KvStore if now < 40_000 && rng.bool() => Fate::LoseAnswer,
            _ => Fate::Pass,
        });
    }
    w.run_for(after_ms);
    if store == StoreCondition::Unavailable {
        w.state.away = true;
    }
    w.kill(leader);
    w.run_for(1500);
    w.start(leader);
    w.run_for(1500);
    if store == StoreCondition::Unavailable {
        w.state_returns();
    }
    for _ in 0..45 {
        w.run_for(1000);
        if w.leader().is_some() {
            shown(&mut w, "run-1");
        }
    }
    assert_eq!(shown(&mut w, "run-1"), 2, "{what}: {:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 2, "{what}");
    let attempts = attempts(&w, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"], "{what}");
    // Without a leader nothing is stopped. Responses are lost until 40 s.
    let leaderless_ms = match store {
        StoreCondition::LosingResponses => 30_000,
        _ => 8000,
    };
    let most_ms = REPAIR_MS + leaderless_ms;
    assert!(longest(&w) < most_ms, "{what}: {:?}", w.watched);
}

#[test]
fn the_leader_ends_at_each_step_of_a_start() {
    for after_ms in (0..1000).step_by(45) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            leader_ends(During::Start, store, after_ms);
        }
    }
}

#[test]
fn the_leader_ends_at_each_step_of_a_repair() {
    for after_ms in (0..3500).step_by(130) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            leader_ends(During::Repair, store, after_ms);
        }
    }
}

#[test]
fn the_leader_ends_at_each_step_of_a_move() {
    for after_ms in (0..2600).step_by(90) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            leader_ends(During::Migration, store, after_ms);
        }
    }
}

/// A migration whose intent is stored, but of which no step was taken, is carried out by
/// the next leader.
#[test]
fn the_next_leader_resumes_a_move_that_was_only_stored() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    started(&mut w, &wide("run-1", 2));
    noticed(&mut w);
    let intent = |w: &Simulation| {
        let stored = placement(w, "run-1").map(|p| p["g"][0]["m"].clone());
        stored.filter(|intent| intent.is_object())
    };
    let until = w.now + 5000;
    while intent(&w).is_none() {
        w.run_for(1);
        assert!(w.now < until);
    }
    let planned = intent(&w).unwrap();
    let leader = w.leader().unwrap();
    w.kill(leader);
    assert_eq!(w.on_machines("run-1"), 2, "nothing was stopped yet");
    w.run_for(15_000);
    let at = places(&w, "run-1");
    for target in planned["t"].as_array().unwrap() {
        let task = format!("run-1/{}", target["p"]);
        assert_eq!(at[&task], target["m"].as_str().unwrap(), "{planned}");
    }
    assert_eq!(shown(&mut w, "run-1"), 2);
}
