//! Validates the values of a scenario file.

use super::{ClassSettings, FaultKind, FaultSettings, InvalidKey, Scenario};
use lilacfork::wire::users::JobKind;

impl Scenario {
    /// Returns an error for the first key with an invalid value.
    pub(super) fn validate(&self) -> Result<(), InvalidKey> {
        self.validate_numbers()?;
        self.validate_fleet()?;
        self.validate_classes()?;
        self.validate_faults()
    }

    fn validate_numbers(&self) -> Result<(), InvalidKey> {
        let positive = [
            ("run_s", self.run_s),
            ("workers.report_s", self.workers.report_s),
            ("workers.lease_s", self.workers.lease_s),
            ("workers.cancel_s", self.workers.cancel_s),
            ("state.rps", self.state.rps),
            ("state.write_rps", self.state.write_rps),
            ("cloud.rps", self.cloud.rps),
        ];
        let counts = [
            ("teams", self.teams),
            ("workers.count", self.workers.count),
            ("workers.per_process", self.workers.per_process),
            ("controllers.count", self.controllers.count),
            ("state.txn_ops", self.state.txn_ops),
        ];
        for (key, value) in positive {
            require(
                value.is_finite() && value > 0.0,
                key,
                &format!("must be a finite number above 0, got {value}"),
            )?;
        }
        for (key, count) in counts {
            require(count > 0, key, "must be at least 1, got 0")?;
        }
        Ok(())
    }

    fn validate_fleet(&self) -> Result<(), InvalidKey> {
        let reason = "must name at least one zone, got an empty list";
        require(!self.zones.is_empty(), "zones", reason)?;
        let has_weight = self.machine_types.iter().any(|ty| ty.weight > 0);
        let reason = "must be at least 1 for at least one machine type";
        require(has_weight, "machine_type.weight", reason)
    }

    fn validate_classes(&self) -> Result<(), InvalidKey> {
        let classes = &self.classes;
        let all_have_tasks = classes.iter().all(|class| !class.tasks.is_empty());
        let reason = "there must be at least one class, each with at least one number of tasks";
        require(!classes.is_empty() && all_have_tasks, "class.tasks", reason)?;
        let reason =
            "must be 0, or (services only) above 1 and a divisor of every entry of `tasks`";
        require(
            classes.iter().all(replicas_are_whole),
            "class.parts",
            reason,
        )?;
        let runs_are_valid = classes.iter().all(|class| {
            let [shortest_s, longest_s] = class.run_s;
            !(shortest_s <= 0.0 || longest_s < shortest_s)
        });
        let reason = "must be [shortest, longest] with 0 < shortest <= longest";
        require(runs_are_valid, "class.run_s", reason)?;
        let is_defined_before = |index: usize, name: &String| {
            let earlier = &classes[..index];
            earlier.iter().any(|class| class.name == *name)
        };
        let after_is_earlier = classes.iter().enumerate().all(|(index, class)| {
            class
                .after
                .iter()
                .all(|name| is_defined_before(index, name))
        });
        let reason = "must name classes defined earlier in the file";
        require(after_is_earlier, "class.after", reason)
    }

    fn validate_faults(&self) -> Result<(), InvalidKey> {
        let lowers_limits = |fault: &FaultSettings| fault.kind == FaultKind::LimitsFall;
        let next_is_known = self.state.next.is_some() || !self.faults.iter().any(lowers_limits);
        let reason = "must define the limits that a fault `limits_fall` applies";
        require(next_is_known, "state.next", reason)?;
        let zone_is_known = |fault: &FaultSettings| match &fault.zone {
            Some(zone) => self.zones.contains(zone),
            None => fault.kind != FaultKind::ZoneCut,
        };
        let reason = "must be one of `zones`, and is required for `zone_cut`";
        require(self.faults.iter().all(zone_is_known), "fault.zone", reason)
    }
}

fn require(condition: bool, key: &str, reason: &str) -> Result<(), InvalidKey> {
    if condition {
        return Ok(());
    }
    Err(InvalidKey {
        key: key.to_string(),
        reason: reason.to_string(),
    })
}

/// Reports whether each task is a replica by itself, or the class is a service whose tasks
/// divide into whole multi-host replicas.
fn replicas_are_whole(class: &ClassSettings) -> bool {
    let size = class.tasks_per_replica;
    let divides = class
        .tasks
        .iter()
        .all(|tasks| tasks.is_multiple_of(size.max(1)));
    size == 0 || (size > 1 && class.kind == JobKind::Service && divides)
}
