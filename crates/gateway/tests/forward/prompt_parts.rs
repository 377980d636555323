//! Parts of prompts that crash servers, on routes whose answers are buffered.

use bytes::Bytes;
use comfreyturn_gateway::{ForwardAnswer, ForwardRequest, NotRunReason};
use comfreyturn_ports::LinkError;
use comfreyturn_standin::fakes::{ScriptEnd, ServerScript};
use comfreyturn_types::PromptPart;

use crate::test_site::{TestSite, not_run, whole};

const COMMON_PART: PromptPart = PromptPart(1);
const CRASHING_PART: PromptPart = PromptPart(2);

/// More requests than are sent until each of three servers has crashed.
const MOST_REQUESTS: u64 = 40;

/// Pause between two crashes that count as two, in milliseconds.
const CRASH_PAUSE_MS: u64 = 200;

impl TestSite {
    /// Sends a request that is sent once only, with these parts and a body of its own.
    fn send_parts(&mut self, number: u64, shared_parts: &[PromptPart]) -> ForwardAnswer {
        let body = Bytes::from(number.to_string());
        let shared_parts = shared_parts.to_vec();
        let request = ForwardRequest { body, shared_parts, ..self.request("/write/x") };
        self.send(request)
    }

    /// Sends requests that crash servers until one is refused; returns how many crashed one.
    fn crash_until_refused(&mut self, script: &ServerScript) -> Option<u64> {
        (0..MOST_REQUESTS).find(|number| {
            if self.servers.calls().len() as u64 == *number {
                self.servers.script_next(script.clone());
            }
            self.run(CRASH_PAUSE_MS);
            let answer = self.send_parts(*number, &[COMMON_PART, CRASHING_PART]);
            not_run(&answer) == Some(NotRunReason::SuspectPart)
        })
    }
}

/// Guards against a part that all prompts share and that no answer clears, since answers are buffered
/// (LOST).
#[test]
fn whole_answer_clears_the_parts_of_its_prompt() {
    let mut site = TestSite::started();
    assert!(site.crash_until_refused(&ServerScript::Fail(LinkError::Broken)).is_some());
    site.run(5000);
    // The script of the refused request is left.
    site.send_to("/write/x");
    for number in 100..103 {
        site.servers.script_next(ServerScript::whole(200, "ok"));
        let answer = site.send_parts(number, &[COMMON_PART]);
        assert_eq!(not_run(&answer), None, "request {number}");
        assert_eq!(whole(answer), (200, "ok".to_owned()), "request {number}");
    }
}

/// Guards against a part that crashes one server after another, each of them between the head and the
/// body of its answer (BUDGET).
#[test]
fn server_that_crashes_after_the_head_of_its_answer_counts() {
    let mut site = TestSite::started();
    let head = ServerScript::Answer { status: 200, pieces: Vec::new(), end: ScriptEnd::Broken };
    assert!(site.crash_until_refused(&head).is_some());
}
