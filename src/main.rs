//! coltsfootgw: a query tier over many shards. This package only parses the
//! command line; the work is done by the crates in `components/`.

mod cli;
mod cmd;
mod exit;
mod messages;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Command};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        Command::Serve(args) => cmd::serve::run(args),
        Command::Gateway(args) => cmd::gateway::run(args),
        Command::Check(args) => cmd::check::run(args, cli.output),
        Command::Plan(args) => cmd::plan::run(args, cli.output),
        Command::Apply(args) => cmd::apply::run(args, cli.output),
        Command::Get(args) => cmd::get::run(args, cli.output),
        Command::History(args) => cmd::history::run(args, cli.output),
        Command::Status(args) => cmd::status::run(args, cli.output),
        Command::Dump(args) => cmd::dump::run(args),
        Command::Drain(args) => cmd::drain::run(args, cli.output),
        Command::Search(args) => cmd::search::run(args),
        Command::Book(args) => cmd::book::run(args),
        Command::Completions(args) => cmd::completions::run(args),
    };
    match result {
        Ok(code) => code.into(),
        Err(e) => {
            eprintln!("{}", messages::error(&e));
            e.code().into()
        }
    }
}
