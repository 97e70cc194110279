//! Compiles the schema with protox, a compiler written in Rust, so that protoc is not needed.

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let descriptors = protox::compile(["proto/operator.proto"], ["proto"])?;
    let out_directory = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    // The program needs only names and types, so comments are removed.
    let mut without_comments = descriptors.clone();
    for file in &mut without_comments.file {
        file.source_code_info = None;
    }
    std::fs::write(
        out_directory.join("operator.fds"),
        without_comments.encode_to_vec(),
    )?;
    prost_build::Config::new()
        .out_dir(&out_directory)
        .compile_fds(descriptors)?;
    Ok(())
}
