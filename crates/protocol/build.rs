//! Generates the code of the protocol between controllers; `protox` needs no `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let files = protox::compile(["peer.proto"], ["proto"])?;
    tonic_build::configure().build_transport(false).compile_fds(files)?;
    Ok(())
}
