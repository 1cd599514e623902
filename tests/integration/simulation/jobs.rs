//! Specifications of jobs; tests change the fields that matter to them.

use serde_json::{json, Value};

/// An array of quick tasks.
pub fn array(id: &str, tasks: u32) -> Value {
    json!({"id": id, "gabarit": "batch", "equipe": "red", "genre": "array", "rang": "standard",
        "pieces": tasks, "cpus": 8.0, "gpus": 1.0, "memoryGb": 64.0, "moule": "img-1", "pullGb": 6.2,
        "gammes": null, "secteur": null, "samePlace": false, "spread": false, "occasion": true,
        "prevuS": 3.0, "jalonS": 0.0, "sauvegardeS": 0.0, "echeanceS": 60.0})
}

/// A critical service of the class with a service-level objective.
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
