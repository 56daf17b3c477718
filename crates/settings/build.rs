//! Compiles `operator.proto` to a file descriptor set with `protox`, which needs no `protoc`.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/operator.proto");
    let files = protox::Compiler::new(["proto"])?
        .include_imports(true)
        .open_file("operator.proto")?
        .encode_file_descriptor_set();
    let out = PathBuf::from(std::env::var("OUT_DIR")?).join("operator.bin");
    std::fs::write(out, files)?;
    Ok(())
}
