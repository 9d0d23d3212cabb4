//! `completions`: prints completions for a shell.

use std::io;

use clap::CommandFactory;

use crate::cli::{Cli, CompletionsArgs};
use crate::exit::{Code, Result};

pub(crate) fn run(args: &CompletionsArgs) -> Result<Code> {
    clap_complete::generate(
        args.shell,
        &mut Cli::command(),
        "coltsfootgw",
        &mut io::stdout(),
    );
    Ok(Code::Success)
}
