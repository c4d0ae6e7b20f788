//! Which transitions of an attempt's state machine the models take. All that exist are found by stepping the machine with
//! every event in every state, before its time limits and at them.

use petrelgauge_lifecycle::ending::End;
use petrelgauge_lifecycle::exchange::{AttemptState, Event, Exchange};
use petrelgauge_policy::Time;
use std::collections::BTreeSet;
use std::sync::Mutex;

static TAKEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

fn name(before: AttemptState, event: Event, after: AttemptState) -> Option<String> {
    let variant = |text: String| text.split([' ', '{', '(']).next().unwrap_or("").to_string();
    let state = |state: AttemptState| match state {
        AttemptState::Ended(end) => format!("{end:?}"),
        other => variant(format!("{other:?}")),
    };
    let event = match event {
        Event::Answered { is_duplicate: true, .. } => "Answered, a copy".to_string(),
        other => variant(format!("{other:?}")),
    };
    (before != after).then(|| format!("{} --{event}--> {}", state(before), state(after)))
}

/// Records that a model has stepped an attempt.
pub fn record_transition(before: AttemptState, event: Event, after: AttemptState) {
    if let (Some(name), Ok(mut taken)) = (name(before, event, after), TAKEN.lock()) {
        taken.insert(name);
    }
}

/// All transitions of the machine, and those of them that no model has taken in this process.
pub fn transitions() -> (BTreeSet<String>, Vec<String>) {
    let (now, by, until): (Time, Time, Time) = (1_000, 200_000, 900_000);
    let path = [Event::Connected, Event::HostReady, Event::Written, Event::AnswerBegan];
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
    for reached in 0..=path.len() {
        for event in events {
            for at in [now, by, now + 400_000, until] {
                let mut one = Exchange::connecting(by, until);
                path[..reached].iter().for_each(|event| one.on(now, *event));
                let before = one.state();
                one.on(at, event);
                all.extend(name(before, event, one.state()));
            }
        }
    }
    let taken = TAKEN.lock().map(|taken| taken.clone()).unwrap_or_default();
    let missing = all.difference(&taken).cloned().collect();
    (all, missing)
}
