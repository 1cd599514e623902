//! Default job specifications, in which tests override individual fields.

use serde_json::{json, Value};

/// Returns the specification of an array in class `batch` of team `red`, with tasks of one GPU
/// and an estimated duration of 3 s, which may run on spot machines.
pub fn array(id: &str, tasks: u32) -> Value {
    json!({"id": id, "gabarit": "batch", "equipe": "red", "genre": "array", "rang": "standard",
        "pieces": tasks, "cpus": 8.0, "gpus": 1.0, "memoryGb": 64.0, "moule": "img-1", "pullGb": 6.2,
        "gammes": null, "secteur": null, "samePlace": false, "spread": false, "occasion": true,
        "prevuS": 3.0, "jalonS": 0.0, "sauvegardeS": 0.0, "echeanceS": 60.0})
}

/// Returns the specification of a critical service in class `chat`, which has a service-level
/// objective. Its tasks may not run on spot machines.
pub fn service(id: &str, tasks: u32) -> Value {
    let mut spec = array(id, tasks);
    spec["genre"] = json!("service");
    spec["gabarit"] = json!("chat");
    spec["rang"] = json!("critical");
    spec["occasion"] = json!(false);
    spec["prevuS"] = json!(0.0);
    spec["echeanceS"] = Value::Null;
    spec
}
