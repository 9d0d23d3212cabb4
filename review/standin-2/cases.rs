//! The cases. Each returns how it ended.

use std::path::Path;

use crate::world::Record;

mod incomplete;
mod keys;
mod large_entries;
mod overwritten;
mod refused;
mod silent_crash;

/// How a case ended; also the exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Held = 0,
    Broken = 1,
    NotRun = 2,
}

impl End {
    fn of(is_broken: bool) -> Self {
        match is_broken {
            true => Self::Broken,
            false => Self::Held,
        }
    }
}

/// Runs a case with or without its disruption.
pub fn run(case: &str, folder: &Path, trouble: bool) -> End {
    let record = Record::create(&folder.join("record.txt"));
    record.write(&format!("case {case}, with the disruption: {trouble}"));
    let end = match case {
        "refused" => refused::run(&record, trouble),
        "overwritten" => overwritten::run(&record, trouble),
        "large_entries" => large_entries::run(&record, trouble),
        "incomplete" => incomplete::run(&record, trouble),
        "silent_crash" => silent_crash::run(&record, trouble),
        "keys" => keys::run(&record, trouble),
        _ => End::NotRun,
    };
    record.write(&format!("end: {end:?}"));
    end
}
