//! Tables for pure functions: machine choice, placement, records, rates and settings.

use crate::simulation::SETTINGS;
use lilacfork::cloud::Offer;
use lilacfork::ids::{FencingToken, Term};
use lilacfork::kv_client::{self, CallPriority, KvCall, KvClient};
use lilacfork::messages::Now;
use lilacfork::placement::{FitScore, Resources, ZoneCounts};
use lilacfork::records::placements::{format_task_ranges, parse_task_ranges};
use lilacfork::settings::Settings;
use lilacfork::slackfit::{buckets, cheapest, choose, ProvisioningOption};
use lilacfork::token_bucket::TokenBucket;
use lilacfork::tuning::Tuning;
use lilacfork::wire::kv::Txn;
use lilacfork::wire::users::JobSpec;
use std::rc::Rc;

fn option(name: &str, latency_ms: u64, cost: f64) -> ProvisioningOption {
    let offer = Offer {
        machine_type: Rc::from(name),
        zone: Rc::from("a"),
        spot: false,
    };
    ProvisioningOption {
        offer,
        latency_ms,
        cost,
        machines_in_zone: 0,
    }
}

fn name(option: Option<&ProvisioningOption>) -> &str {
    option.map_or("none", |r| &r.offer.machine_type)
}

#[test]
fn each_bucket_keeps_its_cheapest_option() {
    let options = [
        option("quick-dear", 10, 9.0),
        option("quick", 14, 5.0),
        option("middle", 55, 3.0),
        option("slow", 100, 1.0),
        option("slow-dear", 98, 2.0),
    ];
    let kept: Vec<_> = buckets(&options, 3)
        .iter()
        .map(|b| b.option.offer.machine_type.to_string())
        .collect();
    assert_eq!(kept, ["quick", "middle", "slow"]);
    assert_eq!(buckets(&[], 3), []);
    assert_eq!(buckets(&options[..1], 4).len(), 1, "one option, one bucket");
}

#[test]
fn the_bucket_closest_under_the_slack_is_taken() {
    let options = [
        option("quick", 10, 5.0),
        option("middle", 55, 3.0),
        option("slow", 100, 1.0),
    ];
    let all = buckets(&options, 3);
    for (slack_ms, taken) in [
        (1000, "slow"),
        (100, "slow"),
        (99, "middle"),
        (55, "middle"),
        (54, "quick"),
        (10, "quick"),
        // Below every bucket: the slowest rental.
        (9, "slow"),
        (-500, "slow"),
    ] {
        assert_eq!(name(choose(&all, slack_ms)), taken, "slack {slack_ms}");
    }
    assert_eq!(name(choose(&[], 50)), "none");
}

#[test]
fn services_take_the_cheapest_option_and_equals_the_emptier_zone() {
    let mut crowded = option("crowded", 50, 1.0);
    crowded.machines_in_zone = 4;
    let options = [option("dear", 10, 2.0), crowded, option("empty", 50, 1.0)];
    assert_eq!(name(cheapest(&options)), "empty");
    assert_eq!(name(cheapest(&[])), "none");
}

fn spec() -> JobSpec {
    JobSpec::parse(
        br#"{"id":"run-1","gabarit":"c","equipe":"t","genre":"array","rang":"high","pieces":9,"cpus":8.0,
        "gpus":1.0,"memoryGb":64.0,"moule":"i","pullGb":6.2,"samePlace":false,"spread":true,"occasion":true,
        "prevuS":240.0,"jalonS":30.0,"sauvegardeS":4.0}"#,
    )
    .unwrap()
}

#[test]
fn zones_are_allowed_by_what_may_already_be_there() {
    let (a, b): (Rc<str>, Rc<str>) = (Rc::from("a"), Rc::from("b"));
    let mut spec = spec();
    let mut zones = ZoneCounts::default();
    for _ in 0..5 {
        assert!(zones.allows(&spec, "a"));
        zones.add(&a);
    }
    assert!(
        !zones.allows(&spec, "a"),
        "five of nine is half, rounded up"
    );
    assert!(zones.allows(&spec, "b"));
    spec.spread = false;
    spec.same_zone = true;
    assert!(zones.allows(&spec, "a") && !zones.allows(&spec, "b"));
    spec.same_zone = false;
    spec.zone = Some(b);
    assert!(!zones.allows(&spec, "a") && zones.allows(&spec, "b"));
}

#[test]
fn room_is_counted_by_the_scarcest_amount() {
    let whole = Resources {
        cpus: 48.0,
        gpus: 8.0,
        memory_gb: 288.0,
    };
    let need = Resources {
        cpus: 8.0,
        gpus: 2.0,
        memory_gb: 40.0,
    };
    assert_eq!(whole.fit_count(&need), 4);
    let mut free = whole;
    for _ in 0..4 {
        assert!(free.covers(&need));
        free.subtract(&need);
    }
    assert!(!free.covers(&need));
    // Tenths don't add up exactly; a machine isn't lost for it.
    let tenth = Resources {
        cpus: 0.1,
        ..Resources::default()
    };
    let mut free = Resources {
        cpus: 1.0,
        ..Resources::default()
    };
    (0..9).for_each(|_| free.subtract(&tenth));
    assert!(free.covers(&tenth));
}

#[test]
fn an_image_at_hand_beats_packing_and_packing_beats_emptiness() {
    let base = FitScore {
        image_cached: false,
        image_pulling: false,
        concurrent_pulls: 0,
        spot: false,
        free_share: 0.5,
        siblings: 0,
    };
    let order = [
        FitScore {
            image_cached: true,
            free_share: 0.9,
            ..base
        },
        FitScore {
            image_pulling: true,
            ..base
        },
        FitScore {
            free_share: 0.1,
            ..base
        },
        base,
        FitScore {
            siblings: 2,
            ..base
        },
        FitScore {
            concurrent_pulls: 2,
            ..base
        },
    ];
    for pair in order.windows(2) {
        assert!(pair[0].rank() < pair[1].rank(), "{pair:?}");
    }
}

#[test]
fn ranges_come_back_as_they_were_written() {
    for tasks in [vec![], vec![0], vec![0, 1, 2], vec![3, 5, 6, 7, 99]] {
        let text = format_task_ranges(tasks.iter().copied());
        assert_eq!(parse_task_ranges(&text, 100), Some(tasks), "{text}");
    }
    assert_eq!(format_task_ranges([3, 5, 6, 7, 99].into_iter()), "3,5-7,99");
    for broken in ["x", "5-3", "1,,2", "100", "0-99999999"] {
        assert_eq!(parse_task_ranges(broken, 100), None, "{broken}");
    }
}

#[test]
fn tokens_grow_with_terms_and_end_with_them() {
    let t = FencingToken::new(Term(7), 5);
    assert_eq!(t.term(), Term(7));
    assert!(t.next().unwrap() > t);
    assert!(FencingToken::new(Term(8), 0) > t);
    assert_eq!(
        FencingToken::new(Term(7), u64::MAX).next(),
        None,
        "never into the next term"
    );
}

#[test]
fn a_bucket_paces_and_lets_a_large_cost_through_when_full() {
    let at = |ms| Now { ms, wall_ms: 0 };
    let mut bucket = TokenBucket::new(10.0, 1.0);
    assert!((0..10).all(|_| bucket.take(at(1), 1.0)));
    assert!(!bucket.take(at(1), 1.0));
    assert!(!bucket.take(at(90), 1.0));
    assert!(bucket.take(at(101), 1.0));
    assert!(
        bucket.take(at(5000), 15.0),
        "more than the burst, on a full bucket"
    );
    bucket.discard_available(at(5000));
    assert!(!bucket.take(at(5050), 1.0));
}

#[test]
fn settings_and_options_say_what_is_wrong() {
    assert!(
        Settings::parse(&format!("unheard = 1\n{SETTINGS}"), "f").is_ok(),
        "unknown fields pass"
    );
    let bad = SETTINGS.replace("lease_s = 10.0", "lease_s = 0.0");
    let error = Settings::parse(&bad, "f.toml").unwrap_err().to_string();
    assert_eq!(
        error,
        "f.toml: settings.workers.lease_s: must be a number above 0"
    );
    // Two peers: a quarter of 96 is what is reserved for all but workers.
    for (from, to, says) in [
        (
            "max_connections = 500",
            "max_connections = 96",
            "f.toml: settings.limits.max_connections: too few: a quarter is for calls to state \
             service, cloud, peers and workers",
        ),
        (
            "ram_mb = 40.0",
            "ram_mb = 7.9",
            "f.toml: settings.limits.ram_mb: must be at least 8",
        ),
    ] {
        let error = Settings::parse(&SETTINGS.replace(from, to), "f.toml").unwrap_err();
        assert_eq!(error.to_string(), says);
    }
    let ini = |text: &str| Tuning::from_ini(&ini::Ini::load_from_str(text).unwrap(), "f.ini");
    assert_eq!(ini("[slackfit]\nheadroom = 2\n").unwrap().headroom, 2.0);
    // Every default may be written down: one once lay outside its own bounds.
    for line in Tuning::describe_defaults().lines() {
        let text = line.replace("] ", "]\n");
        assert_eq!(ini(&text).unwrap(), Tuning::default(), "{line}");
    }
    for (text, says) in [
        (
            "[slackfit]\nheadrom = 2\n",
            "f.ini: [slackfit] headrom: unknown key",
        ),
        ("headroom = 2\n", "f.ini: [] headroom: unknown key"),
        (
            "[slackfit]\nheadroom = many\n",
            "f.ini: [slackfit] headroom: not a number",
        ),
        (
            "[slackfit]\nheadroom = 99\n",
            "f.ini: [slackfit] headroom: must lie between 0 and 5",
        ),
    ] {
        assert_eq!(ini(text).unwrap_err().to_string(), says);
    }
}

/// Changes that are sent in ten seconds, of more than the rates allow.
fn changes_sent(store: &mut KvClient<u32>, from_ms: u64) -> usize {
    let mut sent = 0;
    for n in 0..1000 {
        let now = Now {
            ms: from_ms + n * 10,
            wall_ms: 0,
        };
        for _ in 0..2 {
            let (call, writes) = kv_client::txn(&Txn::default().delete("x"), 1000);
            store.submit(KvCall {
                priority: CallPriority::Placement,
                call,
                writes,
                expires_ms: now.ms + 1000,
                tag: 0,
            });
        }
        let mut given_up = Vec::new();
        store.dispatch(now, |_, _| sent += 1, &mut given_up);
    }
    sent
}

/// The leader once kept to its own share while followers left theirs unused, and it took
/// minutes to store a burst of one-task jobs after its end.
#[test]
fn the_leader_takes_the_changes_that_others_leave() {
    let at = |ms| Now { ms, wall_ms: 0 };
    let mut store: KvClient<u32> = KvClient::new(200.0, 50.0);
    store.set_share(at(0), 0.6, 1.0);
    let share = changes_sent(&mut store, 0);
    assert!((300..=340).contains(&share), "{share}");
    store.set_write_share(at(20_000), 0.6, 2.0);
    let rest = changes_sent(&mut store, 20_000);
    assert!((430..=480).contains(&rest), "{rest}");
    let used = store.writes_per_s(at(30_000));
    assert!((38.0..48.0).contains(&used), "{used}");
    // Never less than its share, however much the others say they write.
    store.set_write_share(at(40_000), 0.6, 1e9);
    let least = changes_sent(&mut store, 40_000);
    assert!((300..=340).contains(&least), "{least}");
    assert!(store.writes_per_s(at(70_000)) < 0.1, "and it is forgotten");
}

/// Counts for display were once kept for every job that ever ran.
#[test]
fn a_bounded_map_forgets_the_oldest_and_no_more() {
    let mut map = lilacfork::bounded_map::BoundedMap::new(100);
    for key in 0..1000 {
        map.insert(key, key * 2);
        map.insert(key / 2 * 2, 0);
        if key % 3 == 0 {
            map.remove(&key);
        }
        assert!(map.len() <= 100);
    }
    assert_eq!(map.get(&998), Some(&0));
    assert_eq!(map.get(&999), None, "removed");
    assert_eq!(map.get(&10), None, "too old");
}
