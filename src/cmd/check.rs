//! `check`: checks declarations offline.

use snafu::ResultExt;

use crate::cli::{CheckArgs, Output};
use crate::cmd::call::{print_json, read};
use crate::exit::{Code, FindingsSnafu, Result};
use crate::messages;

pub(crate) fn run(args: &CheckArgs, output: Output) -> Result<Code> {
    let file = args.file.display().to_string();
    let text = read(&args.file)?;
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
