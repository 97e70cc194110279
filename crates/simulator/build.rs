//! Compiles the protobuf schema of experiments in Rust, so that no `protoc` needs to be installed.

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/experiment.proto");
    let set = protox::compile(["proto/experiment.proto"], ["proto"])?;
    let out = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("experiment.fds"), set.encode_to_vec())?;
    prost_build::Config::new().out_dir(&out).compile_fds(set)?;
    Ok(())
}
