//! Scenario files: what is wrong is named, and sizes are drawn alike everywhere.

use lilacfork_loadtest::harness::check_size;
use lilacfork_loadtest::scenario::Scenario;

const PLANNED: &str = include_str!("../scenarios/planned.toml");
const FAULTS: &str = include_str!("../scenarios/faults.toml");
const PIPELINES: &str = include_str!("../scenarios/pipelines.toml");

fn planned() -> Scenario {
    Scenario::parse(PLANNED).expect("the shipped scenario")
}

#[test]
fn wrong_files_are_named_by_key_and_reason() {
    let wrong = |from: &str, to: &str| {
        let text = PLANNED.replacen(from, to, 1);
        assert_ne!(text, PLANNED, "{from}");
        Scenario::parse(&text).expect_err(to)
    };
    let error = wrong("report_s", "raport_s");
    assert!(
        error.key.starts_with("line ") && error.reason.contains("raport_s"),
        "{error}"
    );
    assert_eq!(wrong("run_s = 60.0", "run_s = 0.0").key, "run_s");
    assert_eq!(wrong("count = 24", "count = 0").key, "controllers.count");
    assert_eq!(
        wrong("tasks = [8, 12, 16]", "tasks = []").key,
        "class.tasks"
    );
    assert_eq!(
        wrong("run_s = [300.0, 900.0]", "run_s = [9.0, 3.0]").key,
        "class.run_s"
    );
    let later = PIPELINES.replacen("after = [\"scan\"]", "after = [\"report\"]", 1);
    assert_eq!(
        Scenario::parse(&later).expect_err("later").key,
        "class.after"
    );
    let untold = PIPELINES.replace("[state.next]", "[[class]]");
    assert!(Scenario::parse(&untold).is_err());
    let cut = format!("{PLANNED}\n[[fault]]\nat_s = 1.0\nkind = \"zone_cut\"\nzone = \"moon\"\n");
    assert_eq!(
        Scenario::parse(&cut).expect_err("no such zone").key,
        "fault.zone"
    );
}

#[test]
fn shipped_scenarios_fit_into_the_bounds() {
    for text in [PLANNED, FAULTS, PIPELINES] {
        let scenario = Scenario::parse(text).expect("the shipped scenario");
        assert!(check_size(&scenario, Some(20_000)).is_ok());
        let error = check_size(&scenario, Some(1024)).expect_err("too few files");
        assert!(error.to_string().contains("1024"), "{error}");
    }
    let mut many = planned();
    many.workers.per_process = 10;
    assert!(
        check_size(&many, Some(20_000)).is_err(),
        "too many processes"
    );
}

#[test]
fn another_size_keeps_the_proportions() {
    let small = planned().resized(810);
    assert_eq!(small.workers.count, 810);
    assert_eq!(small.teams, 38);
    assert_eq!(small.classes[0].initial, 54);
    assert!(
        (small.state.write_rps - 180.0).abs() < 1e-6,
        "not below a fifth"
    );
    let quiet = small.clone().loaded(0.25);
    assert!((quiet.classes[2].rate - small.classes[2].rate / 4.0).abs() < 1e-9);
    assert_eq!(quiet.classes[0].initial, 54, "services stay");
}

#[test]
fn machines_are_spread_over_types_and_zones() {
    let scenario = planned();
    let mut count = vec![vec![0u32; scenario.zones.len()]; scenario.machine_types.len()];
    for number in 0..scenario.workers.count {
        let machine = scenario.machine(number);
        assert_eq!(Scenario::machine_number(&machine.name), Some(number));
        count[machine.machine_type][machine.zone] += 1;
    }
    assert_eq!(count, [vec![810; 6], vec![540; 6]]);
}

#[test]
fn a_job_is_the_same_wherever_it_is_worked_out() {
    let (a, b) = (planned(), planned());
    for class in 0..a.classes.len() {
        for number in 0..50 {
            let name = Scenario::job_name(class, number);
            assert_eq!(a.job(&name), b.job(&name));
            assert_eq!(a.run_s(&name, 3), b.run_s(&name, 3));
            let [least, most] = a.classes[class].run_s;
            let run_s = a.run_s(&name, 3).expect("a known job");
            assert!((least..=most).contains(&run_s));
        }
    }
    assert!(a.job("run-9x1").is_none() && a.job("run-0x1-never").is_none());
}
