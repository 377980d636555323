//! Metrics of one node, as Prometheus text.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusRecorder};

/// Bucket bounds of histograms of durations, in seconds. The 30 ms and 0.67 s of the latency target
/// are bounds, so that their share can be read off.
const DURATION_BOUNDS_S: [f64; 16] =
    [0.001, 0.003, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.4, 0.67, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0];

/// Creates the recorder of a node. Each node has its own, so that several can share a process.
pub fn node_recorder() -> PrometheusRecorder {
    let durations = Matcher::Suffix("_seconds".to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(durations, &DURATION_BOUNDS_S)
        .expect("the bounds are not empty")
        .build_recorder()
}
