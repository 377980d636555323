//! Ways to treat requests that find no free place.

use std::time::{Duration, Instant};

use comfreyturn_policy::{
    AdmitDecision, FreePlaces, WaitingKey, WaitingRequest, WaitingRoom, WaitingRoomSettings,
    WaitingTicket,
};
use comfreyturn_types::ServiceName;

/// Order of a baseline that holds each request until its caller gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldOrder {
    Arrival,
    Priority,
    Deadline,
}

/// A request that leaves the scheme to run.
pub struct Run {
    pub index: usize,
    pub is_late: bool,
}

pub enum Scheme {
    /// Refuses what finds no free place.
    Refuse,

    /// Holds requests in an order.
    Hold(HeldOrder, Vec<(usize, WaitingRequest)>),

    /// The room, and the index of each ticket.
    Room(Box<WaitingRoom>, Vec<(WaitingTicket, usize)>),
}

pub fn key() -> WaitingKey {
    WaitingKey { service: ServiceName::from("s"), model: None }
}

impl Scheme {
    pub fn room(settings: WaitingRoomSettings) -> Self {
        Self::Room(Box::new(WaitingRoom::new(settings)), Vec::new())
    }

    /// Whether the request runs now.
    pub fn arrive(
        &mut self,
        now: Instant,
        index: usize,
        request: WaitingRequest,
        free: FreePlaces,
    ) -> bool {
        match self {
            Self::Refuse => free.all > 0,
            Self::Hold(_, held) => {
                if free.all > 0 && held.is_empty() {
                    return true;
                }
                held.push((index, request));
                false
            }
            Self::Room(room, tickets) => match room.submit(now, &key(), request, free).0 {
                AdmitDecision::Run => true,
                AdmitDecision::Wait(ticket) => {
                    tickets.push((ticket, index));
                    false
                }
                AdmitDecision::Refuse(_) => false,
            },
        }
    }

    pub fn release(&mut self, now: Instant, free: FreePlaces) -> Vec<Run> {
        match self {
            Self::Refuse => Vec::new(),
            Self::Hold(order, held) => {
                held.retain(|(_, request)| now < request.limit_at);
                let order = *order;
                held.sort_by_key(|(index, request)| match order {
                    HeldOrder::Arrival => (Duration::ZERO, *index),
                    HeldOrder::Priority => (Duration::from_secs(request.priority.into()), *index),
                    HeldOrder::Deadline => {
                        (request.objective_at.saturating_duration_since(now), *index)
                    }
                });
                let count = held.len().min(free.all as usize);
                held.drain(..count).map(|(index, _)| Run { index, is_late: false }).collect()
            }
            Self::Room(room, tickets) => {
                let releases = room.release(now, &key(), free, Duration::ZERO, 0.5);
                let index_of = |ticket: WaitingTicket| {
                    tickets.iter().find(|(own, _)| *own == ticket).map(|(_, index)| *index)
                };
                let run = releases.run.iter();
                let run = run.map(|released| Run {
                    index: index_of(released.ticket).unwrap(),
                    is_late: released.is_late,
                });
                run.collect()
            }
        }
    }

    pub fn finished(&mut self, now: Instant) {
        if let Self::Room(room, _) = self {
            room.record_finish(now, &key());
        }
    }
}
