//! Queueing and refusal when no server has a free place: the room of waiting requests against other
//! orders, over the same arrivals, and its rules one by one.

mod loads;
mod rules;
mod schemes;
mod simulation;
