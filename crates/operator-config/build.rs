//! Compiles the schema in Rust: no protoc is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let set = protox::compile(["proto/operator.proto"], ["proto"])?;
    let out = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    // With its comments left out: the set is only read to know names and types.
    let mut bare = set.clone();
    bare.file
        .iter_mut()
        .for_each(|file| file.source_code_info = None);
    std::fs::write(out.join("operator.fds"), prost_bytes(&bare))?;
    prost_build::Config::new().out_dir(&out).compile_fds(set)?;
    Ok(())
}

fn prost_bytes(set: &impl prost::Message) -> Vec<u8> {
    set.encode_to_vec()
}
