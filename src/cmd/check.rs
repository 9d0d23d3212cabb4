//! `check`: checks declarations, or a platform's settings or configuration, offline.

use std::path::Path;

use settings::Finding;
use snafu::ResultExt;

use crate::cli::{CheckArgs, Output};
use crate::cmd::call::{print_json, read_file};
use crate::exit::{Code, FindingsSnafu, PlatformSnafu, Result};
use crate::messages;

/// What a file without findings prints as JSON.
const NO_FINDINGS: [Finding; 0] = [];

pub(crate) fn run(args: &CheckArgs, output: Output) -> Result<Code> {
    match (&args.file, &args.platform, &args.configuration) {
        (Some(file), _, _) => check_declarations(file, output),
        (_, Some(file), _) => check_platform(file, output),
        (_, _, Some(file)) => check_configuration(file, output),
        // clap requires one of the arguments.
        (None, None, None) => Ok(Code::Failure),
    }
}

fn check_configuration(path: &Path, output: Output) -> Result<Code> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    let (configuration, warnings) = match platform::check_configuration(&text, &file) {
        Err(findings) if output == Output::Json => {
            print_json(&findings.list);
            return Ok(Code::Findings);
        }
        checked => checked.context(FindingsSnafu)?,
    };
    match output {
        Output::Json => print_json(&warnings),
        Output::Text => {
            warnings.iter().for_each(|w| println!("{w}"));
            let summary = messages::checked_configuration(&file, &configuration, warnings.len());
            println!("{summary}");
        }
    }
    Ok(Code::Success)
}

fn check_platform(file: &Path, output: Output) -> Result<Code> {
    let settings = match platform::load(file) {
        Err(platform::Error::Findings { source }) if output == Output::Json => {
            print_json(&source.list);
            return Ok(Code::Findings);
        }
        loaded => loaded.context(PlatformSnafu)?,
    };
    match output {
        Output::Json => print_json(&NO_FINDINGS),
        Output::Text => println!("{}", messages::checked_platform(file, &settings)),
    }
    Ok(Code::Success)
}

fn check_declarations(path: &Path, output: Output) -> Result<Code> {
    let file = path.display().to_string();
    let text = read_file(path)?;
    let (declarations, warnings) = match catalog::parse(&text, &file) {
        Err(findings) if output == Output::Json => {
            print_json(&findings.list);
            return Ok(Code::Findings);
        }
        parsed => parsed.context(FindingsSnafu)?,
    };
    match output {
        Output::Json => print_json(&warnings),
        Output::Text => {
            warnings.iter().for_each(|w| println!("{w}"));
            let upstreams = declarations
                .services
                .iter()
                .map(|s| s.upstreams.len())
                .sum();
            println!(
                "{}",
                messages::checked(
                    &file,
                    declarations.services.len(),
                    upstreams,
                    warnings.len()
                )
            );
        }
    }
    Ok(Code::Success)
}
