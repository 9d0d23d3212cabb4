//! One module for each subcommand.

pub(crate) mod apply;
pub(crate) mod book;
pub(crate) mod call;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod drain;
pub(crate) mod dump;
pub(crate) mod gateway;
pub(crate) mod get;
pub(crate) mod history;
pub(crate) mod plan;
pub(crate) mod search;
pub(crate) mod serve;
pub(crate) mod status;
