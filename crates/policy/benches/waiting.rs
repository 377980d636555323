//! Measures the processor time of the decisions on waiting requests, with 1,000 of them.
//!
//! `cargo bench -p comfreyturn_policy --bench waiting`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AdmitDecision, FreePlaces, WaitingKey, WaitingRequest, WaitingRoom, WaitingRoomSettings,
};
use comfreyturn_types::{CustomerName, RouteName, ServiceName};

const ROUNDS: u32 = 20_000;
const WAITING: u32 = 1_000;
const KINDS: u32 = 6;
const LONG: Duration = Duration::from_secs(1_000);

fn main() {
    for customers in [1, 24, 1_000] {
        let [submit, release, withdraw] = times(customers);
        println!(
            "{customers:>5} customers  submit {submit:>9.2?}  release {release:>9.2?}  \
             withdraw {withdraw:>9.2?}"
        );
    }
}

/// Mean times of the decisions on one request: that it waits, that it runs, and that its caller
/// left.
fn times(customers: u32) -> [Duration; 3] {
    let start = Instant::now();
    let settings = WaitingRoomSettings { max_requests: 4_000, ..WaitingRoomSettings::default() };
    let mut room = WaitingRoom::new(settings);
    let key = WaitingKey { service: ServiceName::from("s"), model: None };
    let names = (0..customers).map(|index| CustomerName::from(format!("customer-{index}")));
    let names: Vec<_> = names.collect();
    let kinds: Vec<_> = (0..KINDS).map(|index| RouteName::from(format!("kind-{index}"))).collect();
    // Places become free fast enough that all requests have good prospects.
    for index in 0..100_000 {
        room.record_finish(start + Duration::from_micros(index), &key);
    }
    let now = start + Duration::from_millis(100);
    let request = |round: u32| WaitingRequest {
        kind: kinds[(round % KINDS) as usize].clone(),
        customer: Some(names[(round % customers) as usize].clone()),
        priority: u8::try_from(round % 3).unwrap_or_default(),
        objective: LONG,
        objective_at: now + LONG,
        limit_at: now + LONG + Duration::from_millis((round * 7919 % 1000).into()),
        needed: Duration::ZERO,
        bytes: 1_000,
    };
    let none = FreePlaces::default();
    for round in 0..WAITING {
        room.submit(now, &key, request(round), none);
    }
    let mut spent = [Duration::ZERO; 3];
    for round in 0..ROUNDS {
        let (first, second) = (request(round), request(round + 1));
        let at = Instant::now();
        let decision = black_box(room.submit(now, &key, first, none));
        spent[0] += at.elapsed();
        room.submit(now, &key, second, none);
        let at = Instant::now();
        black_box(room.release(now, &key, FreePlaces { all: 1, spare: 1 }, Duration::ZERO, 0.0));
        spent[1] += at.elapsed();
        if let (AdmitDecision::Wait(ticket), _) = decision {
            let at = Instant::now();
            room.withdraw(ticket);
            spent[2] += at.elapsed();
        }
    }
    spent.map(|time| time / ROUNDS)
}
