//! Servers that have less room than the list says.

use std::time::{Duration, Instant};

use comfreyturn_policy::{RoomSettings, ServerRooms};
use comfreyturn_types::{ServerLife, VmId};

fn life(born: u64) -> ServerLife {
    ServerLife { vm: VmId::from("s"), born }
}

#[test]
fn room_is_what_the_server_ran() {
    let mut rooms = ServerRooms::default();
    let now = Instant::now();
    assert_eq!(rooms.room(now, &life(1)), None);
    rooms.record_refusal(now, &life(1), 4);
    assert_eq!(rooms.room(now, &life(1)), Some(4));
    assert_eq!(rooms.room(now, &life(2)), None, "it restarted");
}

/// Guards against a server that keeps less room than it has for good.
#[test]
fn room_grows_until_a_request_is_turned_away_again() {
    let settings = RoomSettings::default();
    let mut rooms = ServerRooms::new(settings);
    let now = Instant::now();
    rooms.record_refusal(now, &life(1), 2);
    let room_after = |periods| rooms.room(now + settings.growth_period * periods, &life(1));
    assert_eq!((room_after(1), room_after(3)), (Some(3), Some(5)));
    rooms.record_refusal(now, &life(1), 16);
    assert_eq!(rooms.room(now + settings.growth_period, &life(1)), Some(20));
    let much_later = now + Duration::from_secs(u64::from(u32::MAX) * 100);
    assert_eq!(rooms.room(much_later, &life(1)), Some(u32::MAX), "no overflow");
}

/// Guards against a server that turns requests away for another reason, and is then taken for full
/// when it is empty.
#[test]
fn refusal_of_an_empty_server_says_nothing_about_its_room() {
    let mut rooms = ServerRooms::default();
    let now = Instant::now();
    rooms.record_refusal(now, &life(1), 3);
    rooms.record_refusal(now, &life(1), 0);
    assert_eq!(rooms.room(now, &life(1)), None);
}
