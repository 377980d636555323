//! Accepted settings files, and the one-line errors for rejected ones.

use std::path::Path;

use comfreyturn_node::NodeSettings;

const SAMPLE: &str = include_str!("../../../examples/node.yaml");

fn error_line(text: &str) -> String {
    NodeSettings::parse("node.yaml", text).unwrap_err().to_string()
}

#[test]
fn sample_is_accepted_and_has_the_default_values() {
    let settings = NodeSettings::parse("node.yaml", SAMPLE).unwrap();
    assert_eq!(settings.callers, NodeSettings::default().callers);
    assert_eq!(settings.weight_store, NodeSettings::default().weight_store);
}

#[test]
fn unknown_key_is_named_with_its_line() {
    let text = SAMPLE.replace("node: entry-1", "nodes: entry-1");
    let line = error_line(&text);
    assert!(line.starts_with("node.yaml:"), "{line}");
    assert!(line.contains("nodes"), "{line}");
    assert_eq!(line.lines().count(), 1);
}

#[test]
fn missing_key_is_named() {
    let text = SAMPLE.replace("platform_address: 127.0.0.1:9000", "");
    assert!(error_line(&text).contains("platform_address"));
}

#[test]
fn value_of_the_wrong_type_is_named_with_its_line() {
    let text = SAMPLE.replace("max_tokens: 32768", "max_tokens: many");
    let expected = text.lines().position(|line| line.contains("many")).unwrap() + 1;
    assert!(
        error_line(&text).starts_with(&format!("node.yaml:{expected}:")),
        "{}",
        error_line(&text)
    );
}

#[test]
fn conflict_of_two_values_is_named_with_line_and_key() {
    let text = SAMPLE.replace("peer_address: 127.0.0.1:8082", "peer_address: 127.0.0.1:8081");
    let expected = text.lines().position(|line| line.starts_with("peer_address")).unwrap() + 1;
    let line = error_line(&text);
    assert_eq!(
        line,
        format!("node.yaml:{expected}: peer_address: the three listening addresses must differ")
    );
}

#[test]
fn values_out_of_range_are_named() {
    for (old, new, key) in [
        ("node: entry-1", "node: \"entry 1\"", "node"),
        ("max_head_bytes: 16384", "max_head_bytes: 100", "max_head_bytes"),
        ("max_body_bytes: 4194304", "max_body_bytes: 0", "max_body_bytes"),
        ("head_timeout_ms: 10000", "head_timeout_ms: 0", "head_timeout_ms"),
        ("address_validity_ms: 30000", "address_validity_ms: 0", "address_validity_ms"),
        ("default_max_tokens: 256", "default_max_tokens: 99999", "default_max_tokens"),
        ("vm_bytes_per_second: 1000000000", "vm_bytes_per_second: 0", "vm_bytes_per_second"),
        (
            "store_bytes_per_second: 32000000000",
            "store_bytes_per_second: 7",
            "store_bytes_per_second",
        ),
        ("caller_address: 127.0.0.1:8080", "caller_address: 0.0.0.0:8080", "caller_address"),
    ] {
        let text = SAMPLE.replace(old, new);
        assert_ne!(text, SAMPLE, "{old}");
        let line = error_line(&text);
        assert!(line.contains(&format!(": {key}: ")), "{key}: {line}");
    }
}

#[test]
fn unreadable_file_is_named() {
    let error = NodeSettings::read(Path::new("no/such/file.yaml")).unwrap_err();
    assert!(error.to_string().starts_with("no/such/file.yaml: cannot be read"), "{error}");
}
