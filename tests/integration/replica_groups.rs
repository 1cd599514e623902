//! Replicas that span machines: parts start, move and are repaired together,
//! whatever fails.

use crate::simulation::fixtures::{cut_zone_from_everything, heal, set_silent};
use crate::simulation::replica_groups::{
    attempts, machines, options, placement, places, shown, started, wide,
};
use crate::simulation::{array, Fate, Simulation};
use lilacfork::messages::Destination;
use lilacfork::tuning::Tuning;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

#[test]
fn a_replica_starts_whole_on_different_machines_under_one_attempt() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = wide("run-1", 4);
    spec["gpus"] = json!(1.0);
    spec["cpus"] = json!(4.0);
    started(&mut w, &spec);
    let (at, attempt) = (places(&w, "run-1"), attempts(&w, "run-1"));
    for (one, other) in [("run-1/0", "run-1/1"), ("run-1/2", "run-1/3")] {
        assert_ne!(at[one], at[other], "{at:?}");
        assert_eq!(attempt[one], attempt[other], "one generation");
    }
    assert_ne!(attempt["run-1/0"], attempt["run-1/2"]);
}

#[test]
fn a_replica_that_loses_a_machine_starts_again_as_a_whole() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    started(&mut w, &wide("run-1", 2));
    let before = places(&w, "run-1");
    let generation = attempts(&w, "run-1")["run-1/0"];
    let lost = before["run-1/1"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    for _ in 0..20 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 2);
    let after = places(&w, "run-1");
    assert_eq!(
        after["run-1/0"], before["run-1/0"],
        "the survivor's machine is kept"
    );
    assert_ne!(after["run-1/1"], lost);
    let attempts = attempts(&w, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"]);
    assert!(attempts["run-1/0"] > generation);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert!(
        w.watched["run-1"].longest_incomplete_ms < 4000,
        "{:?}",
        w.watched
    );
}

// ---- a machine fails while the replica starts ----

/// A replica that was just submitted, whose second machine fails at the moment
/// that `fails` waits for.
fn fails_while_starting(mut w: Simulation, fails: impl Fn(&Simulation) -> bool) -> Simulation {
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    w.ask(leader, "POST", "/v2/runs", wide("run-1", 2));
    let until = w.now + 20_000;
    while !fails(&w) {
        w.run_for(1);
        assert!(w.now < until, "the moment never comes");
    }
    let bound = placement(&w, "run-1").and_then(|p| p["a"][1][2].as_str().map(str::to_string));
    let dies = bound.unwrap_or_else(|| "vm-a".into());
    w.workers.get_mut(&dies).unwrap().silent = true;
    let generations = |w: &Simulation| attempts(w, "run-1").into_values().collect::<BTreeSet<_>>();
    for _ in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    assert_eq!(generations(&w).len(), 1);
    assert!(!places(&w, "run-1").values().any(|m| *m == dies));
    assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
    w
}

/// A silent machine is given up after 8 s in the traces, and noticed after 3 s;
/// what is left of its replica is stopped within two reports of that.
const REPAIR_MS: u64 = 12_000;

fn longest(w: &Simulation) -> u64 {
    w.watched["run-1"].longest_incomplete_ms
}

#[test]
fn a_machine_fails_before_the_binding_is_written() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    // The first write of the placement is refused for two seconds.
    let refused = Rc::new(Cell::new(0));
    let seen = refused.clone();
    w.hook = Box::new(move |_, _, call| {
        let placement = call.path == "/txn" && call.body.windows(8).any(|b| b == b"p/run-1/");
        if placement && seen.get() < 8 {
            seen.set(seen.get() + 1);
            return Fate::Refuse;
        }
        Fate::Pass
    });
    let at_first = refused.clone();
    let w = fails_while_starting(w, move |_| at_first.get() > 0);
    assert_eq!(refused.get(), 8);
    assert!(w.trace.len() <= 4, "{:?}", w.trace);
}

#[test]
fn a_machine_fails_between_write_and_start() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    // Commands take half a second, so that nothing has started yet.
    w.hook = Box::new(|_, _, call| match &call.target {
        Destination::Worker(_) => Fate::Late(500),
        _ => Fate::Pass,
    });
    fails_while_starting(w, |w| placement(w, "run-1").is_some() && w.trace.is_empty());
}

#[test]
fn a_machine_fails_while_it_fetches() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.fetch_ms = 4000;
    fails_while_starting(w, |w| w.trace.len() == 2);
}

#[test]
fn a_machine_fails_while_another_part_runs_already() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.fetch_ms = 2000;
    for name in ["vm-a", "vm-b", "vm-c"] {
        w.workers.get_mut(name).unwrap().stuck = true;
    }
    w.workers.get_mut("vm-a").unwrap().stuck = false;
    w.workers.get_mut("vm-c").unwrap().stuck = false;
    let running = |w: &Simulation| {
        let tasks = w.workers.values().flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.state == "running").count()
    };
    let w = fails_while_starting(w, move |w| running(w) == 1);
    assert_eq!(shown_state(&w), 2);
}

fn shown_state(w: &Simulation) -> usize {
    w.on_machines("run-1")
}

// ---- a machine comes back ----

/// One machine of a replica is silent for so long while the cloud takes nothing
/// back, and comes back with what it had.
fn comes_back(silent_ms: u64) -> Simulation {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    started(&mut w, &wide("run-1", 2));
    w.cloud_away = true;
    let lost = places(&w, "run-1")["run-1/1"].clone();
    let old_report = w.worker_report(&lost);
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(silent_ms);
    w.workers.get_mut(&lost).unwrap().silent = false;
    for n in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
        // Copies of what it said before go on arriving.
        w.deliver_report(n % 3, &old_report);
    }
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    w
}

#[test]
fn a_machine_that_comes_back_soon_is_only_an_interruption() {
    let w = comes_back(5000);
    assert_eq!(w.trace.len(), 2, "nothing was stopped: {:?}", w.trace);
}

#[test]
fn a_machine_that_comes_back_after_it_was_given_up_has_its_part_stopped() {
    let w = comes_back(9000);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 2);
}

#[test]
fn a_machine_that_comes_back_in_a_later_session_has_lost_its_part() {
    let w = comes_back(14_000);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 2);
}

/// A zone is cut off from everything, with a controller in it and all parts of a
/// replica: they live on, nobody is told that they serve, and nothing starts twice.
#[test]
fn a_replica_beyond_a_cut_lives_on_and_is_only_interrupted() {
    let mut w = machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-x", "vm-y", "vm-z"] {
        w.add_machine(name, "b", false, true);
    }
    w.run_for(2000);
    let mut spec = wide("run-1", 2);
    spec["secteur"] = json!("b");
    started(&mut w, &spec);
    cut_zone_from_everything(&mut w);
    for _ in 0..12 {
        w.run_for(1000);
        if w.leader().is_some_and(|leader| leader != 1) {
            shown(&mut w, "run-1");
        }
    }
    assert_eq!(shown(&mut w, "run-1"), 0, "nobody is heard of it");
    assert_eq!(w.on_machines("run-1"), 2, "it lives on");
    heal(&mut w);
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert_eq!(w.trace.len(), 2, "{:?}", w.trace);
}

// ---- several machines fail ----

#[test]
fn the_second_machine_fails_during_the_repair() {
    for delay_ms in (0..12_000).step_by(700) {
        let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
        w.fetch_ms = 1500;
        started(&mut w, &wide("run-1", 2));
        let at = places(&w, "run-1");
        w.workers.get_mut(&at["run-1/1"]).unwrap().silent = true;
        w.run_for(delay_ms);
        w.workers.get_mut(&at["run-1/0"]).unwrap().silent = true;
        for _ in 0..35 {
            w.run_for(1000);
            shown(&mut w, "run-1");
        }
        assert_eq!(shown(&mut w, "run-1"), 2, "after {delay_ms}: {:?}", w.trace);
        assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
    }
}

#[test]
fn a_rack_takes_parts_of_many_replicas_at_once() {
    let names: Vec<String> = (0..30).map(|n| format!("vm-{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut w = machines(3, &names);
    started(&mut w, &wide("run-1", 20));
    let at = places(&w, "run-1");
    // One part of each of eight replicas, and both of one.
    let rack: Vec<String> = (0..8)
        .map(|n| at[&format!("run-1/{}", 2 * n)].clone())
        .chain([at["run-1/16"].clone(), at["run-1/17"].clone()])
        .collect();
    set_silent(&mut w, &rack, true);
    for _ in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 20, "{:?}", w.trace.len());
    let after = places(&w, "run-1");
    assert_eq!(
        after["run-1/18"], at["run-1/18"],
        "the tenth wasn't touched"
    );
    assert_eq!(w.trace.len(), 20 + 18);
    assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
}

// ---- moves ----

/// A spot notice hits the second part's machine.
fn noticed(w: &mut Simulation) -> String {
    let machine = places(w, "run-1")["run-1/1"].clone();
    w.workers.get_mut(&machine).unwrap().notice_s = Some(60.0);
    machine
}

#[test]
fn a_notice_moves_the_replica_where_room_was_found_first() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    started(&mut w, &wide("run-1", 2));
    let before = places(&w, "run-1");
    let leaving = noticed(&mut w);
    let mut intents = 0;
    let mut stopped_before_stored = false;
    for _ in 0..600 {
        w.run_for(10);
        let intent = placement(&w, "run-1").is_some_and(|p| p["g"][0]["m"].is_object());
        intents += u32::from(intent);
        stopped_before_stored |= intents == 0 && w.on_machines("run-1") < 2;
    }
    assert!(intents > 0, "the intent is stored");
    assert!(!stopped_before_stored, "before the first step");
    w.run_for(3000);
    let after = places(&w, "run-1");
    assert_eq!(after["run-1/0"], before["run-1/0"]);
    assert_ne!(after["run-1/1"], leaving);
    assert_eq!(shown(&mut w, "run-1"), 2);
    let record = placement(&w, "run-1").unwrap();
    assert!(record["g"].is_null(), "nothing is left of it: {record}");
}

#[test]
fn without_room_to_move_to_a_noticed_replica_stops_as_a_whole() {
    let mut w = machines(3, &["vm-a", "vm-b"]);
    started(&mut w, &wide("run-1", 2));
    noticed(&mut w);
    w.run_for(4000);
    assert_eq!(w.on_machines("run-1"), 0);
    w.add_machine("vm-c", "a", false, true);
    w.run_for(5000);
    assert_eq!(shown(&mut w, "run-1"), 2);
}

// ---- leaders end ----

/// What happens to the replica while the leader ends.
#[derive(Clone, Copy, PartialEq, Debug)]
enum During {
    Start,
    Repair,
    Move,
}

/// How the state service is meanwhile.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StateIs {
    Sound,
    /// It refuses everybody for three seconds.
    Away,
    /// Half of its answers are lost.
    LosingAnswers,
}

fn leader_ends(during: During, state: StateIs, after_ms: u64) {
    let what = format!("{during:?}, {state:?}, after {after_ms}");
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
            // It is given up after eight seconds.
            w.run_for(7500);
        } else {
            worker.notice_s = Some(60.0);
        }
    }
    if state == StateIs::LosingAnswers {
        let mut rng = fastrand::Rng::with_seed(after_ms);
        w.hook = Box::new(move |now, _, call| match call.target {
            Destination::KvStore if now < 40_000 && rng.bool() => Fate::LoseAnswer,
            _ => Fate::Pass,
        });
    }
    w.run_for(after_ms);
    if state == StateIs::Away {
        w.state.away = true;
    }
    w.kill(leader);
    w.run_for(1500);
    w.start(leader);
    w.run_for(1500);
    if state == StateIs::Away {
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
    // Without a leader nobody stops anything; the lost answers end at 40 s.
    let leaderless_ms = match state {
        StateIs::LosingAnswers => 30_000,
        _ => 8000,
    };
    let most_ms = REPAIR_MS + leaderless_ms;
    assert!(longest(&w) < most_ms, "{what}: {:?}", w.watched);
}

#[test]
fn the_leader_ends_at_each_step_of_a_start() {
    for after_ms in (0..1000).step_by(45) {
        for state in [StateIs::Sound, StateIs::Away, StateIs::LosingAnswers] {
            leader_ends(During::Start, state, after_ms);
        }
    }
}

#[test]
fn the_leader_ends_at_each_step_of_a_repair() {
    for after_ms in (0..3500).step_by(130) {
        for state in [StateIs::Sound, StateIs::Away, StateIs::LosingAnswers] {
            leader_ends(During::Repair, state, after_ms);
        }
    }
}

#[test]
fn the_leader_ends_at_each_step_of_a_move() {
    for after_ms in (0..2600).step_by(90) {
        for state in [StateIs::Sound, StateIs::Away, StateIs::LosingAnswers] {
            leader_ends(During::Move, state, after_ms);
        }
    }
}

/// A move that is stored and not begun goes on under the next leader.
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

// ---- cancellations ----

#[test]
fn a_cancellation_at_each_step_leaves_nothing() {
    for during in [During::Start, During::Repair, During::Move] {
        for after_ms in (0..3600).step_by(200) {
            let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
            w.fetch_ms = 400;
            w.watch_replicas("run-1", 2, 2);
            let leader = w.leader().unwrap();
            if during == During::Start {
                w.ask(leader, "POST", "/v2/runs", wide("run-1", 2));
            } else {
                started(&mut w, &wide("run-1", 2));
                let machine = places(&w, "run-1")["run-1/1"].clone();
                let worker = w.workers.get_mut(&machine).unwrap();
                worker.silent = during == During::Repair;
                worker.notice_s = (during == During::Move).then_some(60.0);
                w.run_for(if during == During::Repair { 7000 } else { 0 });
            }
            w.run_for(after_ms);
            let mut told = w.cancel(leader, "run-1");
            for _ in 0..5 {
                if told.0 != 200 {
                    w.run_for(1000);
                    told = w.cancel(leader, "run-1");
                }
            }
            assert_eq!(told, (200, "cancelled".into()), "{during:?} {after_ms}");
            w.run_for(20_000);
            assert_eq!(w.on_machines("run-1"), 0, "{during:?} {after_ms}");
            assert_eq!(w.poll(0, "run-1").1, "cancelled");
            assert!(w.state.items.contains_key("f/run-1"));
            assert!(!w.state.items.contains_key("p/run-1/0"), "no litter");
        }
    }
}

// ---- quota, room and priority ----

/// `blue` may use two machines' GPUs: a silent part counts until it is proven
/// gone, and the next generation waits for that.
#[test]
fn a_silent_part_counts_for_its_teams_limit() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = wide("run-1", 2);
    spec["equipe"] = json!("blue");
    started(&mut w, &spec);
    let lost = places(&w, "run-1")["run-1/1"].clone();
    w.cloud_away = true;
    w.workers.get_mut(&lost).unwrap().silent = true;
    // The cloud doesn't confirm, and the machine says nothing.
    w.run_for(25_000);
    assert_eq!(w.trace.len(), 2, "nothing started: {:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 0, "the survivor doesn't wait alone");
    w.cloud_away = false;
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2);
}

#[test]
fn two_replicas_that_each_find_half_of_their_room_dont_block_each_other() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.watch_replicas("run-1", 2, 2);
    w.watch_replicas("run-2", 2, 2);
    let leader = w.leader().unwrap();
    w.ask(leader, "POST", "/v2/runs", wide("run-1", 2));
    w.ask(leader, "POST", "/v2/runs", wide("run-2", 2));
    w.run_for(5000);
    let first = [w.on_machines("run-1"), w.on_machines("run-2")];
    assert!(first == [2, 0] || first == [0, 2], "{first:?}");
    let (running, waits) = if first[0] == 2 {
        ("run-1", "run-2")
    } else {
        ("run-2", "run-1")
    };
    assert_eq!(w.cancel(leader, running).0, 200);
    w.run_for(5000);
    assert_eq!(w.on_machines(waits), 2);
}

#[test]
fn a_replica_rents_all_that_it_lacks_in_one_zone() {
    let mut w = machines(3, &[]);
    w.capacity = 2;
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &wide("run-1", 2)), 201);
    w.run_for(15_000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    let at = places(&w, "run-1");
    let zones: BTreeSet<&str> = at.values().map(|m| w.workers[m].zone.as_str()).collect();
    assert_eq!(zones.len(), 1, "{at:?}");
    assert_eq!(w.workers.len(), 2, "no more than needed");
}

#[test]
fn a_replica_that_must_be_spread_stands_in_two_zones() {
    let mut w = machines(3, &["vm-a", "vm-c"]);
    w.add_machine("vm-b", "b", false, true);
    w.run_for(2000);
    let mut spec = wide("run-1", 2);
    spec["spread"] = json!(true);
    started(&mut w, &spec);
}

/// The survivor is in one zone, and its partner has to be in the other.
#[test]
fn a_spread_replica_is_repaired_and_moved_in_both_zones() {
    let mut w = machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-b", "vm-d", "vm-e"] {
        w.add_machine(name, "b", false, true);
    }
    w.run_for(2000);
    let mut spec = wide("run-1", 2);
    spec["spread"] = json!(true);
    started(&mut w, &spec);
    let beyond = |w: &Simulation| {
        let at = places(w, "run-1");
        let found = at.values().find(|m| w.workers[*m].zone == "b").cloned();
        (found.expect("a part in zone b"), at)
    };
    let (lost, before) = beyond(&w);
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(16_000);
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    let (leaves, after) = beyond(&w);
    assert_ne!(leaves, lost);
    let kept = before.values().filter(|m| after.values().any(|n| n == *m));
    assert_eq!(kept.count(), 1, "the survivor's machine");
    w.workers.get_mut(&leaves).unwrap().notice_s = Some(60.0);
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    assert_ne!(beyond(&w).0, leaves);
}

#[test]
fn less_important_work_makes_way_for_a_whole_replica_or_for_none() {
    let mut w = machines(3, &["vm-a", "vm-b"]);
    w.run_ms = 600_000;
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &array("run-9", 16)), 201);
    w.run_for(3000);
    assert_eq!(w.on_machines("run-9"), 16);
    started(&mut w, &wide("run-1", 2));
    // One more would need two machines, and there is none that could make way.
    w.watch_replicas("run-2", 2, 2);
    assert_eq!(w.submit(leader, &wide("run-2", 2)), 201);
    w.run_for(5000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert_eq!(w.on_machines("run-2"), 0);
}

#[test]
fn more_important_work_that_takes_one_part_takes_the_whole_replica() {
    let mut w = machines(3, &["vm-a", "vm-b"]);
    let mut low = wide("run-1", 2);
    low["rang"] = json!("idle");
    started(&mut w, &low);
    let leader = w.leader().unwrap();
    let mut urgent = wide("run-2", 1);
    urgent["gabarit"] = json!("help");
    urgent["rang"] = json!("critical");
    // A class without an aim makes nobody stop; it waits.
    assert_eq!(w.submit(leader, &urgent), 201);
    w.run_for(4000);
    assert_eq!(w.on_machines("run-1"), 2);
    assert_eq!(w.on_machines("run-2"), 0);
    assert_eq!(w.cancel(leader, "run-2").0, 200);
    let mut pair = wide("run-3", 2);
    pair["rang"] = json!("critical");
    assert_eq!(w.submit(leader, &pair), 201);
    w.run_for(6000);
    assert_eq!(w.on_machines("run-3"), 2);
    assert_eq!(w.on_machines("run-1"), 0, "no half is left");
}

// ---- what fails by itself ----

#[test]
fn one_part_that_fails_everywhere_opens_the_replicas_breaker() {
    let names: Vec<String> = (0..8).map(|n| format!("vm-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut w = machines(3, &names);
    w.broken.insert("run-1/1".into());
    w.watch_replicas("run-1", 2, 4);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &wide("run-1", 4)), 201);
    // Idle machines go back after a minute.
    w.run_for(50_000);
    assert_eq!(shown(&mut w, "run-1"), 2, "the other one serves");
    let starts = |task: &str| w.trace.iter().filter(|t| t.contains(task)).count();
    assert!((3..14).contains(&starts("run-1/1 ")), "{:?}", w.trace);
    assert_eq!(starts("run-1/2 "), 1, "the other one isn't disturbed");
    assert!(
        w.workers.values().all(|worker| !worker.gone),
        "no machine is condemned"
    );
    // The next leader knows.
    let before = w.trace.len();
    w.kill(leader);
    w.run_for(20_000);
    assert!(w.trace.len() - before < 8, "{:?}", &w.trace[before..]);
}

#[test]
fn a_part_that_fails_on_one_machine_starts_elsewhere_with_the_whole() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    w.workers.get_mut("vm-a").unwrap().sick = true;
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &wide("run-1", 2)), 201);
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert!(!places(&w, "run-1").values().any(|m| m == "vm-a"));
}

// ---- gangs ----

fn gang(id: &str, tasks: u32) -> serde_json::Value {
    let mut spec = array(id, tasks);
    spec["genre"] = json!("group");
    spec["gpus"] = json!(8.0);
    spec["cpus"] = json!(90.0);
    spec
}

#[test]
fn a_gang_that_loses_a_machine_starts_again_as_a_whole_and_is_done() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    w.run_ms = 25_000;
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &gang("run-1", 3)), 201);
    w.run_for(5000);
    assert_eq!(w.on_machines("run-1"), 3);
    let lost = places(&w, "run-1")["run-1/2"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(15_000);
    let attempts = attempts(&w, "run-1");
    let generations: BTreeSet<u64> = attempts.values().copied().collect();
    assert_eq!((attempts.len(), generations.len()), (3, 1), "{attempts:?}");
    w.run_for(30_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
}

/// What is done of a gang isn't lost with the rest.
#[test]
fn the_parts_of_a_gang_that_are_done_stay_done() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.run_ms = 4000;
    w.workers.get_mut("vm-b").unwrap().slowness = 5;
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &gang("run-1", 2)), 201);
    w.run_for(7500);
    let left = places(&w, "run-1");
    assert_eq!(left.len(), 1, "one is done: {left:?}");
    w.workers.get_mut("vm-b").unwrap().silent = true;
    w.run_for(25_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    assert_eq!(w.trace.len(), 3, "{:?}", w.trace);
}

// ---- what is accepted, and by whom ----

/// What operators write of replicas that span machines, and what is wrong with it.
#[test]
fn classes_that_span_machines_are_checked_with_file_key_and_reason() {
    let site = crate::simulation::settings("n-0", 3).site;
    let load = |text: &str| {
        let ini = ini::Ini::load_from_str(text).unwrap();
        let options = Tuning::from_ini(&ini, "f.ini")?;
        options.check(&site, "f.ini").map(|()| options)
    };
    let fine = load("[replica_parts]\nchat = 2\n[replicas]\ngangs = 1\n").unwrap();
    assert_eq!(
        fine.replica_classes.iter().collect::<Vec<_>>(),
        [("chat", 2)]
    );
    let few = "a replica that spans machines has at least 2 parts";
    let whole = "not a whole number of parts";
    let unknown = "no objective of the platform's settings names this class";
    for (value, why) in [
        ("chat = 0", few),
        ("chat = 1", few),
        ("chat = -2", whole),
        ("chat = 2.5", whole),
        ("chat = two", whole),
        ("chat =", whole),
        (
            "chat = 410",
            "more parts than a record of the state service holds, 409",
        ),
        ("chatter = 2", unknown),
    ] {
        let class = value.split(" =").next().unwrap();
        let error = load(&format!("[replica_parts]\n{value}\n")).unwrap_err();
        let says = format!("f.ini: [replica_parts] {class}: {why}");
        assert_eq!(error.to_string(), says);
    }
    for (text, says) in [
        (
            "[replicas]\ngang = 1\n",
            "f.ini: [replicas] gang: unknown key",
        ),
        (
            "[replicas]\ngangs = 2\n",
            "f.ini: [replicas] gangs: must lie between 0 and 1",
        ),
        (
            "[replicas]\nhold_leases = -1\n",
            "f.ini: [replicas] hold_leases: must lie between 0 and 20",
        ),
    ] {
        assert_eq!(load(text).unwrap_err().to_string(), says);
    }
    load(include_str!("../../deploy/replicas.ini")).expect("what is shipped can be used");
}

#[test]
fn what_cannot_be_divided_is_refused_and_what_is_accepted_is_not() {
    let mut w = machines(3, &["vm-a", "vm-b"]);
    for node in 0..3 {
        assert_eq!(w.submit(node, &wide("run-1", 3)), 422);
    }
    assert_eq!(w.poll(0, "run-1").0, 404);
    // Gangs of one and arrays of the class are nobody's replicas.
    assert_eq!(w.submit(0, &gang("run-2", 1)), 201);
    let mut plain = array("run-3", 3);
    plain["gabarit"] = json!("chat");
    assert_eq!(w.submit(0, &plain), 201);
}

/// Controllers whose operators' settings differ, as during a rolling restart.
#[test]
fn an_accepted_job_keeps_its_grouping_whatever_the_settings_become() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"]);
    started(&mut w, &wide("run-1", 2));
    let record = w.state.items["j/run-1"].0.clone();
    assert_eq!(record["g"], json!(2));
    w.set_options(options("[replica_parts]\nchat = 3\n"));
    for node in 0..3 {
        w.kill(node);
        w.run_for(300);
        w.start(node);
        w.run_for(3000);
        // A repeat is known, whichever settings it meets.
        assert_eq!(w.submit(node, &wide("run-1", 2)), 200);
        shown(&mut w, "run-1");
    }
    assert_eq!(
        w.submit(0, &wide("run-2", 2)),
        422,
        "a new one is judged anew"
    );
    let lost = places(&w, "run-1")["run-1/0"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(25_000);
    assert_eq!(shown(&mut w, "run-1"), 2, "repaired as it was accepted");
    w.set_options(Default::default());
    for node in 0..3 {
        w.kill(node);
        w.start(node);
        w.run_for(4000);
    }
    shown(&mut w, "run-1");
    // Who stores the cancellation writes the job's record anew.
    let kept = Rc::new(Cell::new(false));
    let seen = kept.clone();
    w.hook = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let cancels = call.path == "/txn" && body.contains("\"set\":\"j/run-1\"");
        seen.set(seen.get() || (cancels && body.contains("\"g\":2")));
        Fate::Pass
    });
    assert_eq!(w.cancel(0, "run-1"), (200, "cancelled".into()));
    assert!(kept.get(), "the grouping is in it");
}

/// Without the settings nothing is stored of groups and parts go their own way.
#[test]
fn without_the_settings_tasks_are_on_their_own() {
    let mut w = machines(1, &["vm-a", "vm-b", "vm-c"]);
    w.set_options(Default::default());
    w.kill(0);
    w.start(0);
    w.run_for(4000);
    assert_eq!(w.submit(0, &wide("run-1", 2)), 201);
    w.run_for(4000);
    assert!(w.state.items["j/run-1"].0["g"].is_null());
    let at = places(&w, "run-1");
    w.workers.get_mut(&at["run-1/1"]).unwrap().silent = true;
    w.run_for(15_000);
    assert_eq!(w.on_machines("run-1"), 2);
    let starts = |task: &str| w.trace.iter().filter(|t| t.contains(task)).count();
    assert_eq!((starts("run-1/0 "), starts("run-1/1 ")), (1, 2));
}

// ---- what it costs ----

/// Changes of the state service are the scarcest thing: a start takes one, a repair
/// or a move two at most.
#[test]
fn starts_repairs_and_moves_take_few_changes() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let writes = Rc::new(Cell::new(0));
    let seen = writes.clone();
    w.hook = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let stores = call.path == "/txn" && body.contains("\"set\":\"p/run-1/");
        seen.set(seen.get() + u32::from(stores));
        Fate::Pass
    });
    started(&mut w, &wide("run-1", 2));
    assert_eq!(writes.replace(0), 1, "a start");
    let lost = places(&w, "run-1")["run-1/1"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(16_000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    let repair = writes.replace(0);
    assert!((1..=2).contains(&repair), "a repair takes {repair}");
    noticed(&mut w);
    w.run_for(6000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert_eq!(writes.get(), 2, "a move");
}
