//! The gRPC schema: messages and services generated from
//! `proto/coltsfootgw.proto` by `tools/schemagen`.

#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/coltsfootgw.v1.rs"]
mod generated;

pub use generated::*;
