//! The rules of the room, one by one.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    AdmitDecision, AdmitRefusal, FreePlaces, PeersWaiting, Releases, WaitingRequest, WaitingRoom,
    WaitingRoomSettings, WaitingTicket,
};
use comfreyturn_types::{CustomerName, RouteName};

use crate::schemes::key;

const MS: Duration = Duration::from_millis(1);
const NONE: FreePlaces = FreePlaces { all: 0, spare: 0 };

fn places(all: u32) -> FreePlaces {
    FreePlaces { all, spare: all }
}

fn request(now: Instant, customer: &str, priority: u8) -> WaitingRequest {
    WaitingRequest {
        kind: RouteName::from("kind"),
        customer: Some(CustomerName::from(customer)),
        priority,
        objective: 800 * MS,
        objective_at: now + 800 * MS,
        limit_at: now + 3000 * MS,
        needed: 50 * MS,
        bytes: 100,
    }
}

/// A room at whose servers many requests finished lately.
fn busy_room(settings: WaitingRoomSettings) -> (WaitingRoom, Instant) {
    let start = Instant::now();
    let mut room = WaitingRoom::new(settings);
    for index in 0..5000 {
        room.record_finish(start + index * MS, &key());
    }
    (room, start + 5000 * MS)
}

fn submit(room: &mut WaitingRoom, now: Instant, request: WaitingRequest) -> WaitingTicket {
    match room.submit(now, &key(), request, NONE).0 {
        AdmitDecision::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

fn run(releases: &Releases) -> Vec<WaitingTicket> {
    releases.run.iter().map(|released| released.ticket).collect()
}

/// Guards against a room that delays requests although a place is free.
#[test]
fn request_runs_at_once_unless_others_in_time_wait() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    let decide =
        |room: &mut WaitingRoom| room.submit(now, &key(), request(now, "a", 1), places(1)).0;
    assert_eq!(decide(&mut room), AdmitDecision::Run);
    submit(&mut room, now, request(now, "a", 1));
    assert!(matches!(decide(&mut room), AdmitDecision::Wait(_)));
}

/// Guards against requests that are held and refused in the end.
#[test]
fn request_without_prospects_is_refused_on_arrival() {
    let now = Instant::now();
    let mut room = WaitingRoom::new(WaitingRoomSettings::default());
    let decision = room.submit(now, &key(), request(now, "a", 1), NONE).0;
    assert_eq!(decision, AdmitDecision::Refuse(AdmitRefusal::Unlikely));
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    let old = WaitingRequest { limit_at: now + 40 * MS, ..request(now, "a", 1) };
    let decision = room.submit(now, &key(), old, NONE).0;
    assert_eq!(decision, AdmitDecision::Refuse(AdmitRefusal::Expired));
}

/// Guards against requests that wait on after places have stopped becoming free.
#[test]
fn request_is_refused_within_an_eighth_of_its_objective_once_its_prospects_are_gone() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    let ticket = submit(&mut room, now, request(now, "a", 1));
    room.set_peers(&key(), PeersWaiting { requests: 1e6, ..PeersWaiting::default() });
    let check = room.next_timer().unwrap();
    assert!(check <= now + 100 * MS);
    let releases = room.release(check, &key(), NONE, Duration::ZERO, 0.0);
    assert_eq!(releases.refused, [(ticket, AdmitRefusal::Unlikely)]);
    assert!(room.is_empty());
}

/// Guards against late requests that fill servers, so that new ones become late as well.
#[test]
fn late_requests_get_spare_places_and_a_small_part_of_the_others() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    for _ in 0..40 {
        submit(&mut room, now, WaitingRequest { objective_at: now, ..request(now, "a", 0) });
    }
    for _ in 0..40 {
        submit(&mut room, now, request(now, "a", 9));
    }
    let releases = room.release(now, &key(), FreePlaces { all: 16, spare: 0 }, Duration::ZERO, 0.0);
    let late = releases.run.iter().filter(|released| released.is_late).count();
    assert_eq!((releases.run.len(), late), (16, 1));
    let releases = room.release(now, &key(), places(60), Duration::ZERO, 0.0);
    assert_eq!(releases.run.len(), 60);
}

#[test]
fn urgent_requests_go_first_and_the_earliest_limit_among_equals() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    let later = submit(&mut room, now, request(now, "a", 1));
    let earlier = WaitingRequest { limit_at: now + 2000 * MS, ..request(now, "a", 1) };
    let earlier = submit(&mut room, now, earlier);
    let urgent = submit(&mut room, now, request(now, "a", 0));
    let releases = room.release(now, &key(), places(9), Duration::ZERO, 0.0);
    assert_eq!(run(&releases), [urgent, earlier, later]);
}

/// Guards against a customer that pushes the others out by the number of its requests.
#[test]
fn customers_are_served_in_turn_and_displaced_by_their_number() {
    let settings = WaitingRoomSettings { max_requests: 10, ..WaitingRoomSettings::default() };
    let (mut room, now) = busy_room(settings);
    let flood: Vec<_> = (0..10).map(|_| submit(&mut room, now, request(now, "a", 1))).collect();
    let refused = room.submit(now, &key(), request(now, "a", 1), NONE).0;
    assert_eq!(refused, AdmitDecision::Refuse(AdmitRefusal::Full));
    let (decision, displaced) = room.submit(now, &key(), request(now, "b", 1), NONE);
    let AdmitDecision::Wait(ticket) = decision else { panic!("{decision:?}") };
    assert_eq!(displaced, [flood[9]]);
    let releases = room.release(now, &key(), places(2), Duration::ZERO, 0.0);
    assert!(run(&releases).contains(&ticket), "one of each customer");
    assert_eq!((room.len(), room.bytes()), (8, 800));
}

/// Guards against nodes that all send to the same free place.
#[test]
fn nodes_take_the_part_of_their_waiting_requests() {
    let mut taken = 0;
    for draw in 0..10 {
        let (mut room, now) = busy_room(WaitingRoomSettings::default());
        for _ in 0..10 {
            submit(&mut room, now, request(now, "a", 1));
        }
        let peers = PeersWaiting { requests: 30.0, finish_rate: 3000.0, ..PeersWaiting::default() };
        room.set_peers(&key(), peers);
        taken +=
            room.release(now, &key(), places(2), Duration::ZERO, f64::from(draw) / 10.0).run.len();
    }
    assert_eq!(taken, 5, "a quarter of two places in ten draws");
}

/// Guards against a node that hears no other and takes all places.
#[test]
fn node_without_peers_takes_its_even_part() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    for _ in 0..10 {
        submit(&mut room, now, request(now, "a", 1));
    }
    room.set_peers(&key(), PeersWaiting { largest_part: 0.25, ..PeersWaiting::default() });
    assert_eq!(room.release(now, &key(), places(8), Duration::ZERO, 0.0).run.len(), 2);
}

/// Guards against requests that are sent although their caller left.
#[test]
fn withdrawn_request_is_not_released() {
    let (mut room, now) = busy_room(WaitingRoomSettings::default());
    let ticket = submit(&mut room, now, request(now, "a", 1));
    room.withdraw(ticket);
    assert!(room.is_empty());
    assert_eq!(room.bytes(), 0);
    assert_eq!(room.release(now, &key(), places(5), Duration::ZERO, 0.0), Releases::default());
}
