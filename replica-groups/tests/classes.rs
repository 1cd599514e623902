//! Tests of job grouping: which jobs form replica groups, and with which shape.

use lilacfork_replica_groups::classes::{GroupingRequest, ReplicaClasses, ShapeError};
use lilacfork_replica_groups::shape::{ReplicaIndex, Shape};

fn service(class: &str, tasks: u32) -> GroupingRequest<'_> {
    GroupingRequest {
        class,
        gang: false,
        service: true,
        tasks,
    }
}

#[test]
fn shape_accepts_only_multiples_of_parts_and_maps_tasks_to_replicas() {
    assert_eq!(Shape::new(1, 4), None);
    assert_eq!(Shape::new(3, 4), None);
    assert_eq!(Shape::new(8, 4), None);
    let shape = Shape::new(4, 12).expect("three replicas");
    assert_eq!(shape.replicas(), 3);
    assert_eq!(shape.replica_of(7), ReplicaIndex(1));
    assert_eq!(shape.tasks_of(ReplicaIndex(2)), 8..12);
    assert_eq!(shape.max_tasks_in_whole_replicas(409), Some(408));
    assert_eq!(
        shape.max_tasks_in_whole_replicas(3),
        None,
        "less than one replica"
    );
}

#[test]
fn only_services_of_configured_classes_and_enabled_gangs_are_grouped() {
    let mut classes = ReplicaClasses::default();
    assert_eq!(classes.insert("large", " 4 "), Ok(()));
    for invalid in ["0", "1", "-2", "2.5", "many", "", "99999999999"] {
        assert!(classes.insert("large", invalid).is_err(), "{invalid}");
    }
    assert_eq!(
        classes.shape(service("large", 8), 409),
        Ok(Shape::new(4, 8))
    );
    assert_eq!(classes.shape(service("small", 8), 409), Ok(None));
    assert_eq!(
        classes.shape(service("large", 7), 409),
        Err(ShapeError::Uneven)
    );
    assert_eq!(
        classes.shape(service("large", 8), 3),
        Err(ShapeError::TooLarge)
    );
    let array = GroupingRequest {
        service: false,
        ..service("large", 7)
    };
    assert_eq!(classes.shape(array, 409), Ok(None));
    let gang = GroupingRequest {
        gang: true,
        ..array
    };
    assert_eq!(
        classes.shape(gang, 409),
        Ok(None),
        "gangs are grouped only if this is enabled"
    );
    classes.set_group_gangs(true);
    assert_eq!(classes.shape(gang, 409), Ok(Shape::new(7, 7)));
    assert_eq!(classes.shape(gang, 6), Err(ShapeError::TooLarge));
    let single_task = GroupingRequest { tasks: 1, ..gang };
    assert_eq!(classes.shape(single_task, 409), Ok(None));
}
