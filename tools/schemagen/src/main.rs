//! Generates the Rust code of the `.proto` schema. Not part of the build:
//! its output is committed, and CI checks that it is current.

use std::error::Error;
use std::path::Path;

/// Compiles the schema into the directory given as the first argument, or into
/// `components/schema/src/generated`.
fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../components/schema");
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), Into::into);
    let proto = root.join("proto");
    let files = protox::compile(["coltsfootgw.proto"], [&proto])?;
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
