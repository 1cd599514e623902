//! Tests scenario files: validation errors, scaling, and the deterministic derivation of
//! machines and jobs.

use lilacfork_loadtest::harness::check_size;
use lilacfork_loadtest::scenario::Scenario;

const PLANNED: &str = include_str!("../scenarios/planned.toml");
const FAULTS: &str = include_str!("../scenarios/faults.toml");
const PIPELINES: &str = include_str!("../scenarios/pipelines.toml");

fn planned() -> Scenario {
    Scenario::parse(PLANNED).expect("the shipped scenario is valid")
}

#[test]
fn invalid_scenario_reports_key_and_reason() {
    let parse_error = |from: &str, to: &str| {
        let text = PLANNED.replacen(from, to, 1);
        assert_ne!(text, PLANNED, "{from}");
        Scenario::parse(&text).expect_err(to)
    };
    let error = parse_error("report_s", "raport_s");
    assert!(
        error.key.starts_with("line ") && error.reason.contains("raport_s"),
        "{error}"
    );
    assert_eq!(parse_error("run_s = 60.0", "run_s = 0.0").key, "run_s");
    assert_eq!(
        parse_error("count = 24", "count = 0").key,
        "controllers.count"
    );
    assert_eq!(
        parse_error("tasks = [8, 12, 16]", "tasks = []").key,
        "class.tasks"
    );
    assert_eq!(
        parse_error("run_s = [300.0, 900.0]", "run_s = [9.0, 3.0]").key,
        "class.run_s"
    );
    let after_later_class = PIPELINES.replacen("after = [\"scan\"]", "after = [\"report\"]", 1);
    assert_eq!(
        Scenario::parse(&after_later_class)
            .expect_err("`after` names a later class")
            .key,
        "class.after"
    );
    let without_next_limits = PIPELINES.replace("[state.next]", "[[class]]");
    assert!(Scenario::parse(&without_next_limits).is_err());
    let unknown_zone =
        format!("{PLANNED}\n[[fault]]\nat_s = 1.0\nkind = \"zone_cut\"\nzone = \"south-1\"\n");
    assert_eq!(
        Scenario::parse(&unknown_zone)
            .expect_err("unknown zone")
            .key,
        "fault.zone"
    );
}

#[test]
fn shipped_scenarios_pass_size_check() {
    for text in [PLANNED, FAULTS, PIPELINES] {
        let scenario = Scenario::parse(text).expect("the shipped scenario is valid");
        assert!(check_size(&scenario, Some(20_000)).is_ok());
        let error = check_size(&scenario, Some(1024)).expect_err("too few open files allowed");
        assert!(error.to_string().contains("1024"), "{error}");
    }
    let mut many_processes = planned();
    many_processes.workers.per_process = 10;
    assert!(
        check_size(&many_processes, Some(20_000)).is_err(),
        "too many processes"
    );
}

#[test]
fn resized_scenario_keeps_proportions() {
    let small = planned().resized(810);
    assert_eq!(small.workers.count, 810);
    assert_eq!(small.teams, 38);
    assert_eq!(small.classes[0].initial, 54);
    assert!(
        (small.state.write_rps - 180.0).abs() < 1e-6,
        "the store's rates stay at or above a fifth"
    );
    let fewer_arrays = small.clone().with_scaled_arrays(0.25);
    assert!((fewer_arrays.classes[2].rate - small.classes[2].rate / 4.0).abs() < 1e-9);
    assert_eq!(
        fewer_arrays.classes[0].initial, 54,
        "the number of services is unchanged"
    );
}

#[test]
fn machines_are_spread_evenly_over_zones_and_by_weight_over_types() {
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
fn job_spec_and_run_time_depend_only_on_scenario_and_name() {
    let (a, b) = (planned(), planned());
    for class in 0..a.classes.len() {
        for number in 0..50 {
            let name = Scenario::job_name(class, number);
            assert_eq!(a.job(&name), b.job(&name));
            assert_eq!(a.run_s(&name, 3), b.run_s(&name, 3));
            let [shortest_s, longest_s] = a.classes[class].run_s;
            let run_s = a.run_s(&name, 3).expect("the job is in the scenario");
            assert!((shortest_s..=longest_s).contains(&run_s));
        }
    }
    assert!(a.job("run-9x1").is_none() && a.job("run-0x1-never").is_none());
}
