//! The memory that answers take at once.

use bytes::Bytes;
use comfreyturn_policy::AnswerMemory;

const LIMIT: usize = 1_000_000;

/// What an answer takes beyond its own part if it has this size.
const LARGE: usize = 400_000;

/// Guards against answers that together take more than the limit, and against small ones that large
/// ones leave no room.
#[test]
fn large_answers_share_the_limit_and_small_ones_always_fit() {
    let memory = AnswerMemory::new(LIMIT);
    let mut held: Vec<_> = (0..50).map(|_| memory.hold()).collect();
    let large = held.iter_mut().filter_map(|held| held.resize(LARGE).then_some(())).count();
    assert_eq!(large, 2);
    assert!(held.iter_mut().skip(2).all(|held| held.resize(10_000)));
    assert!(memory.shared_bytes() <= LIMIT);
    assert!(!held[2].resize(LARGE), "there is no room");
    assert!(held[0].resize(0) && held[2].resize(LARGE), "there is again");
}

/// Guards against memory that is never released, or while an answer's content is still used.
#[test]
fn memory_is_released_with_the_content_of_an_answer() {
    let memory = AnswerMemory::new(LIMIT);
    let mut held = memory.hold();
    assert!(held.resize(LARGE));
    let content = held.attach(Bytes::from_static(b"content"));
    let part = content.slice(2..);
    drop(content);
    assert!(memory.shared_bytes() > 0);
    assert_eq!(part, "ntent");
    drop(part);
    assert_eq!(memory.shared_bytes(), 0);
    let mut held = memory.hold();
    assert!(held.resize(LARGE) && !held.resize(LIMIT * 2));
    drop(held);
    assert_eq!(memory.shared_bytes(), 0);
}
