//! Table-driven tests of pure functions: provisioning choice, placement, records, rates, settings
//! and bounded maps.

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

fn machine_type_of(option: Option<&ProvisioningOption>) -> &str {
    option.map_or("none", |option| &option.offer.machine_type)
}

#[test]
fn each_bucket_keeps_its_cheapest_option() {
    let options = [
        option("quick-expensive", 10, 9.0),
        option("quick", 14, 5.0),
        option("middle", 55, 3.0),
        option("slow", 100, 1.0),
        option("slow-expensive", 98, 2.0),
    ];
    let kept: Vec<_> = buckets(&options, 3)
        .iter()
        .map(|bucket| bucket.option.offer.machine_type.to_string())
        .collect();
    assert_eq!(kept, ["quick", "middle", "slow"]);
    assert_eq!(buckets(&[], 3), []);
    assert_eq!(buckets(&options[..1], 4).len(), 1, "one option, one bucket");
}

#[test]
fn slowest_bucket_within_slack_is_chosen() {
    let options = [
        option("quick", 10, 5.0),
        option("middle", 55, 3.0),
        option("slow", 100, 1.0),
    ];
    let all = buckets(&options, 3);
    for (slack_ms, expected) in [
        (1000, "slow"),
        (100, "slow"),
        (99, "middle"),
        (55, "middle"),
        (54, "quick"),
        (10, "quick"),
        // No bucket is within the slack: the slowest option is chosen.
        (9, "slow"),
        (-500, "slow"),
    ] {
        assert_eq!(
            machine_type_of(choose(&all, slack_ms)),
            expected,
            "slack {slack_ms}"
        );
    }
    assert_eq!(machine_type_of(choose(&[], 50)), "none");
}

#[test]
fn services_choose_cheapest_option_then_zone_with_fewest_machines() {
    let mut crowded = option("crowded", 50, 1.0);
    crowded.machines_in_zone = 4;
    let options = [
        option("expensive", 10, 2.0),
        crowded,
        option("empty", 50, 1.0),
    ];
    assert_eq!(machine_type_of(cheapest(&options)), "empty");
    assert_eq!(machine_type_of(cheapest(&[])), "none");
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
fn zone_is_allowed_only_within_job_constraints_and_spread_limit() {
    let (a, b): (Rc<str>, Rc<str>) = (Rc::from("a"), Rc::from("b"));
    let mut spec = spec();
    let mut zones = ZoneCounts::default();
    for _ in 0..5 {
        assert!(zones.allows(&spec, "a"));
        zones.add(&a);
    }
    assert!(
        !zones.allows(&spec, "a"),
        "at most half of nine tasks, rounded up, may share a zone"
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
fn task_count_is_limited_by_scarcest_resource() {
    let total = Resources {
        cpus: 48.0,
        gpus: 8.0,
        memory_gb: 288.0,
    };
    let request = Resources {
        cpus: 8.0,
        gpus: 2.0,
        memory_gb: 40.0,
    };
    assert_eq!(total.fit_count(&request), 4);
    let mut free = total;
    for _ in 0..4 {
        assert!(free.covers(&request));
        free.subtract(&request);
    }
    assert!(!free.covers(&request));
    // Sums of tenths are not exact in binary floating point; the last tenth must still fit.
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
fn cached_image_outranks_packing_and_packing_outranks_emptier_machine() {
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
fn task_ranges_parse_to_tasks_that_were_formatted() {
    for tasks in [vec![], vec![0], vec![0, 1, 2], vec![3, 5, 6, 7, 99]] {
        let text = format_task_ranges(tasks.iter().copied());
        assert_eq!(parse_task_ranges(&text, 100), Some(tasks), "{text}");
    }
    assert_eq!(format_task_ranges([3, 5, 6, 7, 99].into_iter()), "3,5-7,99");
    for malformed in ["x", "5-3", "1,,2", "100", "0-99999999"] {
        assert_eq!(parse_task_ranges(malformed, 100), None, "{malformed}");
    }
}

#[test]
fn fencing_tokens_grow_with_terms_and_never_overflow_into_next_term() {
    let token = FencingToken::new(Term(7), 5);
    assert_eq!(token.term(), Term(7));
    assert!(token.next().unwrap() > token);
    assert!(FencingToken::new(Term(8), 0) > token);
    assert_eq!(
        FencingToken::new(Term(7), u64::MAX).next(),
        None,
        "a token never overflows into the next term"
    );
}

#[test]
fn token_bucket_limits_rate_and_accepts_cost_above_burst_when_full() {
    let at_ms = |ms| Now { ms, wall_ms: 0 };
    let mut bucket = TokenBucket::new(10.0, 1.0);
    assert!((0..10).all(|_| bucket.take(at_ms(1), 1.0)));
    assert!(!bucket.take(at_ms(1), 1.0));
    assert!(!bucket.take(at_ms(90), 1.0));
    assert!(bucket.take(at_ms(101), 1.0));
    assert!(
        bucket.take(at_ms(5000), 15.0),
        "a full bucket accepts a cost above its burst"
    );
    bucket.discard_available(at_ms(5000));
    assert!(!bucket.take(at_ms(5050), 1.0));
}

#[test]
fn invalid_settings_and_options_yield_specific_errors() {
    assert!(
        Settings::parse(&format!("unheard = 1\n{SETTINGS}"), "f").is_ok(),
        "unknown fields are accepted"
    );
    let invalid = SETTINGS.replace("lease_s = 10.0", "lease_s = 0.0");
    let error = Settings::parse(&invalid, "f.toml").unwrap_err().to_string();
    assert_eq!(
        error,
        "f.toml: settings.workers.lease_s: must be a number above 0"
    );
    // With two peers, a quarter of 96 connections is exactly what calls to the key-value store,
    // the cloud and the peers need, and nothing remains for calls to workers.
    for (from, to, expected) in [
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
        assert_eq!(error.to_string(), expected);
    }
    let ini = |text: &str| Tuning::from_ini(&ini::Ini::load_from_str(text).unwrap(), "f.ini");
    assert_eq!(ini("[slackfit]\nheadroom = 2\n").unwrap().headroom, 2.0);
    // Every default must be accepted as an explicit value. In an earlier version, one default
    // was outside its own bounds.
    for line in Tuning::describe_defaults().lines() {
        let text = line.replace("] ", "]\n");
        assert_eq!(ini(&text).unwrap(), Tuning::default(), "{line}");
    }
    for (text, expected) in [
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
        assert_eq!(ini(text).unwrap_err().to_string(), expected);
    }
}

/// Submits writes for ten seconds of virtual time from `from_ms` on, at a higher rate than the
/// client may send them. Returns the number of writes sent.
fn writes_sent(store: &mut KvClient<u32>, from_ms: u64) -> usize {
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
        let mut expired = Vec::new();
        store.dispatch(now, |_, _| sent += 1, &mut expired);
    }
    sent
}

/// In an earlier version, the leader was limited to its own share of the write rate while the
/// followers left theirs unused. After a burst of one-task jobs had completed, the leader took
/// minutes to store their final states.
#[test]
fn leader_uses_write_rate_left_by_other_controllers() {
    let at_ms = |ms| Now { ms, wall_ms: 0 };
    let mut store: KvClient<u32> = KvClient::new(200.0, 50.0);
    store.set_share(at_ms(0), 0.6, 1.0);
    let sent_with_share = writes_sent(&mut store, 0);
    assert!((300..=340).contains(&sent_with_share), "{sent_with_share}");
    store.set_write_share(at_ms(20_000), 0.6, 2.0);
    let sent_with_remainder = writes_sent(&mut store, 20_000);
    assert!(
        (430..=480).contains(&sent_with_remainder),
        "{sent_with_remainder}"
    );
    let writes_per_s = store.writes_per_s(at_ms(30_000));
    assert!((38.0..48.0).contains(&writes_per_s), "{writes_per_s}");
    // The leader keeps its own share, whatever write rate the others report.
    store.set_write_share(at_ms(40_000), 0.6, 1e9);
    let sent_at_minimum = writes_sent(&mut store, 40_000);
    assert!((300..=340).contains(&sent_at_minimum), "{sent_at_minimum}");
    assert!(
        store.writes_per_s(at_ms(70_000)) < 0.1,
        "old writes no longer count"
    );
}

/// In an earlier version, progress counts for display were kept for every job that had ever run.
#[test]
fn bounded_map_evicts_oldest_entries_first() {
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
    assert_eq!(map.get(&10), None, "evicted as the oldest");
}
