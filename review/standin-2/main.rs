//! Stand-ins of the platform, its store, backends and clients for the scripts of this
//! review. Usage: `standin CASE FOLDER`, in the root of the repository. `TROUBLE=0` leaves the
//! disruption of the case out.

#![allow(dead_code)]

mod cases;
mod http;
mod json;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(cases::End::NotRun as u8);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let end = cases::run(&case, &PathBuf::from(folder), has_trouble);
    ExitCode::from(end as u8)
}
