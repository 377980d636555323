//! Tests that servers end when their stop channel is closed from another thread.

use std::time::Duration;

use comfreyturn_standin::{
    EngineSettings, PlainSettings, PlatformSettings, RelayServer, ServerEnd, StandinError,
};
use comfreyturn_types::VmReport;

use crate::common::{RunningServer, loopback, start_engine, start_plain, start_platform};

/// Closes the stop channel on another thread, and awaits the server's end.
async fn close(server: RunningServer) {
    let RunningServer { client, stop, end } = server;
    // Time for the server to start waiting on the channel.
    compio::time::sleep(Duration::from_millis(20)).await;
    std::thread::spawn(move || drop(stop)).join().unwrap();
    let end = compio::time::timeout(Duration::from_secs(5), end).await;
    assert_eq!(end.expect("the server ends").unwrap(), ServerEnd::Stopped);
    let gone = client.get::<VmReport>("/control/report").await;
    assert!(matches!(gone, Err(StandinError::NotReached { .. })));
}

#[compio::test]
async fn closing_stops_each_server() {
    close(start_platform(PlatformSettings::default()).await).await;
    close(start_plain(PlainSettings::default()).await).await;
    close(start_engine(EngineSettings::default()).await.0).await;
}

#[compio::test]
async fn closing_stops_the_relay() {
    let relay = RelayServer::bind(loopback(), loopback()).await.unwrap();
    let client = comfreyturn_standin::ServerClient::new(relay.local_address());
    let (stop, stopped) = flume::bounded(1);
    let end = compio::runtime::spawn(relay.serve(stopped));
    close(RunningServer { client, stop, end }).await;
}
