//! The rig of the review's cases: stand-ins of the state service, the cloud, the workers
//! and the users around the project's own program. `rig CASE FOLDER`, started from the
//! repository's root; the variable TROUBLE=0 leaves the disruption out.

mod base;
mod cases;
mod cloud;
mod control;
mod state;
mod worker;

use base::Record;
use std::path::{Path, PathBuf};
use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("rig CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().expect("a current folder");
    let temporary = temporary_folder();
    let record = Record::new();
    record.add(format!("case {case}, trouble {trouble}"));
    watch_time(&record, folder);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::run(case, trouble, &root, &temporary, record.clone())
    }));
    let (code, text) = match outcome {
        Ok(Ok(verdict)) if verdict.broken => (1, format!("rule broken: {}", verdict.text)),
        Ok(Ok(verdict)) => (0, format!("rule held: {}", verdict.text)),
        Ok(Err(reason)) => (2, format!("the case couldn't run: {reason}")),
        Err(_) => (2, "the case couldn't run: the rig failed".to_string()),
    };
    record.add(&text);
    record.save(&Path::new(folder).join("record.txt"));
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("{}", temporary.display());
    }
    std::process::exit(code);
}

/// No case takes longer than 120 s. The controllers end with this process.
fn watch_time(record: &Arc<Record>, folder: &str) {
    let (record, folder) = (record.clone(), PathBuf::from(folder));
    std::thread::spawn(move || {
        base::sleep_s(118.0);
        record.add("the case couldn't run: it took too long");
        record.save(&folder.join("record.txt"));
        std::process::exit(2);
    });
}

fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
