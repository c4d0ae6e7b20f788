//! Which transitions of an attempt's state machine the models take. All existing ones are found by stepping
//! the machine with every event in every state, before its time limits and at them.

use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{AttemptState, Event, Exchange};
use petrelgauge_policy::Time;
use std::collections::BTreeSet;
use std::sync::Mutex;

/// Transitions taken by the models of this process.
static TAKEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Name of a transition; `None` if the state has not changed.
fn transition_name(before: AttemptState, event: Event, after: AttemptState) -> Option<String> {
    let variant_name = |text: String| text.split([' ', '{', '(']).next().unwrap_or("").to_string();
    let state = |state: AttemptState| match state {
        AttemptState::Ended(end) => format!("{end:?}"),
        other => variant_name(format!("{other:?}")),
    };
    let event = match event {
        Event::Answered { is_duplicate: true, .. } => "Answered, a copy".to_string(),
        other => variant_name(format!("{other:?}")),
    };
    (before != after).then(|| format!("{} --{event}--> {}", state(before), state(after)))
}

/// Records a step of an attempt in a model.
pub fn record_transition(before: AttemptState, event: Event, after: AttemptState) {
    if let (Some(name), Ok(mut taken)) = (transition_name(before, event, after), TAKEN.lock()) {
        taken.insert(name);
    }
}

/// Transitions of an attempt's state machine, by name.
pub struct TransitionCoverage {
    /// All of them.
    pub all: BTreeSet<String>,
    /// Those that no model of this process has taken.
    pub missing: Vec<String>,
}

/// Compares the transitions taken so far with all existing ones.
pub fn transition_coverage() -> TransitionCoverage {
    let all = all_transitions();
    let taken = TAKEN.lock().map(|taken| taken.clone()).unwrap_or_default();
    let missing = all.difference(&taken).cloned().collect();
    TransitionCoverage { all, missing }
}

fn all_transitions() -> BTreeSet<String> {
    let (started_at, connect_by, deadline): (Time, Time, Time) = (1_000, 200_000, 900_000);
    let path_to_answer = [Event::Connected, Event::HostReady, Event::Written, Event::AnswerBegan];
    let answered = |is_duplicate| Event::Answered { end: End::Served, is_duplicate };
    let events = [
        Event::Connected,
        Event::Refused,
        Event::NotConnected(End::NoDescriptor),
        Event::HostReady,
        Event::Rejected(End::QueueFull),
        Event::Unwanted,
        Event::Written,
        Event::AnswerBegan,
        answered(false),
        answered(true),
        Event::LongRowBegan,
        Event::Malformed,
        Event::ConnectionLost,
        Event::NoMemory,
        Event::Cancelled,
        Event::Timeout,
    ];
    let mut all = BTreeSet::new();
    for reached in 0..=path_to_answer.len() {
        for event in events {
            for at in [started_at, connect_by, started_at + 400_000, deadline] {
                let mut exchange = Exchange::connecting(connect_by, deadline);
                path_to_answer[..reached].iter().for_each(|event| exchange.on(started_at, *event));
                let before = exchange.state();
                exchange.on(at, event);
                all.extend(transition_name(before, event, exchange.state()));
            }
        }
    }
    all
}
