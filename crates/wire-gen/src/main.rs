//! Generates the Rust code of `ggb-wire` from its protobuf schema.
//!
//! After changing the schema, run `cargo run -p ggb-wire-gen` from the root of the
//! workspace and commit the generated code.

use std::{error::Error, path::Path};

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_DIR: &str = "crates/wire/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let schema = Path::new(PROTO_DIR).join("greengagebeam.proto");
    let descriptors = protox::compile([&schema], [PROTO_DIR])?;
    std::fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure().out_dir(OUT_DIR).compile_fds(descriptors)?;
    Ok(())
}
