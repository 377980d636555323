//! The verb `load`.

use std::net::SocketAddr;

use comfreyturn_standin::{LatencySummary, LoadReport, LoadSettings, LoadShape, run_load};

use crate::{CtlError, Result, TextTable, UsageError, command_line::Load, dispatch::print_json};

/// Sends load and prints its report.
pub(crate) async fn send_load(to: SocketAddr, json: bool, flags: Load) -> Result<()> {
    let settings = load_settings(to, flags)?;
    let report = run_load(settings).await.map_err(CtlError::Load)?;
    match json {
        true => print_json(&report),
        false => print!("{}", report_text(&report)),
    }
    Ok(())
}

fn load_settings(to: SocketAddr, flags: Load) -> Result<LoadSettings> {
    let default = LoadSettings::default();
    let rate = flags.requests_per_second.unwrap_or(default.requests_per_second);
    let checks = [
        (flags.requests == 0, "--requests"),
        (flags.concurrency == 0, "--concurrency"),
        (!rate.is_finite() || rate <= 0.0, "--requests-per-second"),
    ];
    if let Some((_, flag)) = checks.into_iter().find(|(invalid, _)| *invalid) {
        return Err(UsageError::NotPositive { flag }.into());
    }
    Ok(LoadSettings {
        to,
        service: flags.service.into(),
        key: flags.key,
        requests: flags.requests,
        concurrency: flags.concurrency,
        requests_per_second: rate,
        prompt_tokens: flags.prompt_tokens.unwrap_or(default.prompt_tokens),
        output_tokens: flags.output_tokens.unwrap_or(default.output_tokens),
        shape: flags.shape.unwrap_or(LoadShape::Steady),
        seed: flags.seed.unwrap_or(default.seed),
        ..default
    })
}

fn report_text(report: &LoadReport) -> String {
    let mut outcomes = TextTable::new(["OUTCOME", "REQUESTS"]);
    let counts = [
        ("whole", report.whole),
        ("refused", report.refused),
        ("not run", report.not_run),
        ("unknown", report.unknown),
        ("failed", report.failed),
        ("wrong", report.wrong),
    ];
    for (outcome, count) in counts {
        outcomes.push([outcome.to_owned(), count.to_string()]);
    }
    let mut latencies = TextTable::new(["MILLISECONDS", "P50", "P95", "P99"]);
    push_latency(&mut latencies, "first token", &report.first_token_ms);
    push_latency(&mut latencies, "between tokens", &report.between_tokens_ms);
    format!("{outcomes}\n{latencies}")
}

fn push_latency(table: &mut TextTable, name: &str, latency: &LatencySummary) {
    let [p50, p95, p99] =
        [latency.p50, latency.p95, latency.p99].map(|millis| format!("{millis:.1}"));
    table.push([name.to_owned(), p50, p95, p99]);
}
