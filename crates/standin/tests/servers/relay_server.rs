//! Tests of the relay in front of a platform.

use std::time::{Duration, Instant};

use comfreyturn_standin::{
    PlatformRecords, PlatformSettings, RelayControl, RelayMode, RelayServer, ServerClient,
    StandinError,
};
use serde_json::{Value, json};

use crate::common::{RunningServer, loopback, start_platform};

struct RelayedPlatform {
    platform: RunningServer,
    relayed: ServerClient,
    control: RelayControl,
    _stop: flume::Sender<()>,
}

async fn start_relayed() -> RelayedPlatform {
    let platform = start_platform(PlatformSettings::default()).await;
    let relay = RelayServer::bind(loopback(), platform.client.address).await.unwrap();
    let timeout = Duration::from_millis(100);
    let relayed = ServerClient { timeout, ..ServerClient::new(relay.local_address()) };
    let control = relay.control();
    let (stop, stopped) = flume::bounded(1);
    compio::runtime::spawn(relay.serve(stopped)).detach();
    RelayedPlatform { platform, relayed, control, _stop: stop }
}

async fn read(client: &ServerClient) -> Result<Value, StandinError> {
    client.post("/table/read", &json!({"keys": ["k"]})).await
}

async fn reads(platform: &RunningServer) -> u64 {
    platform.client.get::<PlatformRecords>("/records").await.unwrap().reads
}

#[compio::test]
async fn call_times_out_while_a_direction_is_held_back() {
    let RelayedPlatform { platform, relayed, control, _stop } = start_relayed().await;
    assert_eq!(read(&relayed).await.unwrap(), json!({"rows": [null]}));
    for (mode, arrived) in
        [(RelayMode::HoldForth, 1), (RelayMode::HoldBoth, 1), (RelayMode::HoldBack, 2)]
    {
        control.set_mode(mode).await;
        assert!(matches!(read(&relayed).await, Err(StandinError::NoAnswer { .. })), "at {mode}");
        assert_eq!(reads(&platform).await, arrived, "at {mode}");
        control.set_mode(RelayMode::Refuse).await;
        control.set_mode(RelayMode::Open).await;
    }
    assert!(read(&relayed).await.is_ok());
}

#[compio::test]
async fn held_back_data_is_forwarded_once_open() {
    let RelayedPlatform { platform: _platform, mut relayed, control, _stop } =
        start_relayed().await;
    relayed.timeout = Duration::from_secs(5);
    control.set_mode(RelayMode::HoldBack).await;
    let since = Instant::now();
    let opening = async {
        compio::time::sleep(Duration::from_millis(150)).await;
        control.set_mode(RelayMode::Open).await;
    };
    let (answer, ()) = futures_util::join!(read(&relayed), opening);
    assert!(answer.is_ok());
    assert!(since.elapsed() >= Duration::from_millis(150));
}

#[compio::test]
async fn refuse_mode_cuts_open_connections() {
    let RelayedPlatform { platform: _platform, mut relayed, control, _stop } =
        start_relayed().await;
    relayed.timeout = Duration::from_secs(5);
    control.set_mode(RelayMode::HoldBack).await;
    let since = Instant::now();
    let cutting = async {
        compio::time::sleep(Duration::from_millis(50)).await;
        control.set_mode(RelayMode::Refuse).await;
    };
    let (cut, ()) = futures_util::join!(read(&relayed), cutting);
    assert!(cut.is_err());
    assert!(read(&relayed).await.is_err());
    assert!(since.elapsed() < Duration::from_secs(5));
}
