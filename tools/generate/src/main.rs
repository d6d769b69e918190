//! Generates the wire types of `oleander-link` from `proto/oleander.proto`.

/// Compiles the schema and writes the Rust types beside the link's sources.
fn main() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let descriptors = protox::compile([root.join("proto/oleander.proto")], [root.join("proto")])
        .expect("the schema compiles");
    prost_build::Config::new()
        .bytes(["."])
        .out_dir(root.join("crates/oleander-link/src/generated"))
        .compile_fds(descriptors)
        .expect("the types are written");
}
