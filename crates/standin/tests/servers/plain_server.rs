//! Tests of the plain service's echo and records.

use crate::common::start_plain;
use comfreyturn_standin::{
    ExecutionEnd, PlainEcho, PlainRecords, PlainSettings, ServerEnd, content_hash,
};
use comfreyturn_types::{VmPhase, VmReport};
use http::{HeaderName, HeaderValue, Method, StatusCode};

#[compio::test]
async fn echoes_and_counts_runs_by_key() {
    let mut plain = start_plain(PlainSettings::default()).await;
    let key = HeaderName::from_static("idempotency-key");
    plain.client.headers.push((key, HeaderValue::from_static("k1")));
    let echo: PlainEcho = plain.client.post("/book?x=1", &"body").await.unwrap();
    assert_eq!(
        (echo.path.as_str(), echo.method.as_str(), echo.execution),
        ("/book?x=1", "POST", 1)
    );
    assert_eq!(echo.body_hash, content_hash(b"\"body\""));
    let records: PlainRecords = plain.client.get("/control/records").await.unwrap();
    assert_eq!(records.executions.len(), 1);
    assert_eq!(records.executions[0].key.as_deref(), Some("k1"));
    assert_eq!(records.executions[0].end, ExecutionEnd::Finished);
}

#[compio::test]
async fn leaving_service_refuses_requests_as_not_started() {
    let plain = start_plain(PlainSettings::default()).await;
    plain.client.post::<()>("/control/leave", &()).await.unwrap();
    let report: VmReport = plain.client.get("/control/report").await.unwrap();
    assert_eq!((report.phase, report.leaving), (VmPhase::Ready, true));
    let refused = plain.client.events(Method::POST, "/book", &"body").await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers().get("x-not-started").unwrap(), "true");
    let records: PlainRecords = plain.client.get("/control/records").await.unwrap();
    assert_eq!((records.executions.len(), records.not_started_ms.len()), (0, 1));
}

#[compio::test]
async fn marked_body_crashes_the_service() {
    let settings = PlainSettings { crash_marker: Some("BOOM".into()), ..Default::default() };
    let plain = start_plain(settings).await;
    plain.client.post::<PlainEcho>("/book", &"BOOM").await.unwrap_err();
    assert_eq!(plain.end.await.unwrap(), ServerEnd::Crashed);
}
