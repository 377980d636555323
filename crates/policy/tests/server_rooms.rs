//! Servers that have less room than the list says.

use std::time::{Duration, Instant};

use comfreyturn_policy::{RoomSettings, ServerRooms};
use comfreyturn_types::{ServerLife, VmId};

fn life(born: u64) -> ServerLife {
    ServerLife { vm: VmId::from("s"), born }
}

const WAIT: Duration = Duration::from_secs(3);

#[test]
fn room_is_what_the_server_ran() {
    let mut rooms = ServerRooms::default();
    let now = Instant::now();
    assert_eq!(rooms.room(now, &life(1)), None);
    rooms.record_refusal(now, &life(1), 4, WAIT);
    assert_eq!(rooms.room(now, &life(1)), Some(4));
    assert_eq!(rooms.room(now, &life(2)), None, "it restarted");
}

/// Guards against a passing trouble that is taken for the room of a server long after it has ended.
#[test]
fn room_is_forgotten_soon_after_the_wait() {
    let settings = RoomSettings::default();
    let mut rooms = ServerRooms::new(settings);
    let now = Instant::now();
    for wait in [Duration::ZERO, WAIT, Duration::MAX] {
        rooms.record_refusal(now, &life(1), 2, wait);
        let kept = (wait.saturating_mul(settings.kept_waits))
            .clamp(settings.least_time, Duration::from_secs(60));
        assert_eq!(rooms.room(now + kept - Duration::from_millis(1), &life(1)), Some(2));
        assert_eq!(rooms.room(now + kept, &life(1)), None, "{wait:?}");
    }
}

/// Guards against a server that turns requests away for another reason, and is then taken for full
/// when it is empty.
#[test]
fn refusal_of_an_empty_server_says_nothing_about_its_room() {
    let mut rooms = ServerRooms::default();
    let now = Instant::now();
    rooms.record_refusal(now, &life(1), 3, WAIT);
    rooms.record_refusal(now, &life(1), 0, WAIT);
    assert_eq!(rooms.room(now, &life(1)), None);
}
