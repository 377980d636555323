//! Compares the committed code with freshly generated code.

use std::{
    env, fs,
    path::{Path, PathBuf},
};

fn generate(out: &Path) {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema = crate_dir.join("schema");
    let files = protox::compile(["operator.proto", "peer.proto"], [schema]).unwrap();
    tonic_prost_build::configure().build_transport(false).out_dir(out).compile_fds(files).unwrap();
}

#[test]
fn committed_code_matches_the_schemas() {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    if env::var_os("UPDATE_GENERATED").is_some() {
        generate(&committed);
        return;
    }
    let fresh = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&fresh).unwrap();
    generate(&fresh);
    for name in ["comfreyturn.operator.v1.rs", "comfreyturn.peer.v1.rs"] {
        let old = fs::read_to_string(committed.join(name)).unwrap();
        let new = fs::read_to_string(fresh.join(name)).unwrap();
        assert!(old == new, "{name} is stale; run with UPDATE_GENERATED=1");
    }
}
