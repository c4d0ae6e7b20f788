//! The checker of a model, its report, and the replay of a single run.

use serde_json::{json, Value};
use stateright::{Checker, Model, Property};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// One state of a model: the gateway's own code, and the world around it.
pub trait World: Clone + Debug + Send + Sync + 'static {
    /// A step that can come next.
    type Step: Clone + Debug + PartialEq + Send + Sync + Hash + 'static;

    /// The properties that are checked, in plain words.
    const PROPERTIES: &'static [&'static str];

    /// Every step that can come next; none if the run is over.
    fn steps(&self) -> Vec<Self::Step>;

    /// Takes a step.
    fn apply(&mut self, step: &Self::Step);

    /// The step in plain words, for the trace of a run.
    fn describe(&self, step: &Self::Step) -> String;

    /// The property that is violated in this state, if one is.
    fn violated(&self) -> Option<&'static str>;

    /// The property that is violated if the run is over in this state.
    fn violated_at_end(&self) -> Option<&'static str> {
        None
    }
}

/// A state, identified by a hash of all that it contains.
#[derive(Clone, Debug)]
pub struct State<W> {
    world: W,
    fingerprint: u128,
}

impl<W: World> State<W> {
    fn new(world: W) -> State<W> {
        let fingerprint = xxh3_128(format!("{world:?}").as_bytes());
        State { world, fingerprint }
    }
}

impl<W> Hash for State<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

impl<W> PartialEq for State<W> {
    fn eq(&self, other: &State<W>) -> bool {
        self.fingerprint == other.fingerprint
    }
}

struct Checked<W> {
    start: W,
}

impl<W: World> Model for Checked<W> {
    type State = State<W>;
    type Action = W::Step;

    fn init_states(&self) -> Vec<State<W>> {
        vec![State::new(self.start.clone())]
    }

    fn actions(&self, state: &State<W>, actions: &mut Vec<W::Step>) {
        // After a violation nothing is of interest.
        if state.world.violated().is_none() {
            actions.extend(state.world.steps());
        }
    }

    fn next_state(&self, state: &State<W>, step: W::Step) -> Option<State<W>> {
        let mut world = state.world.clone();
        world.apply(&step);
        Some(State::new(world))
    }

    fn properties(&self) -> Vec<Property<Checked<W>>> {
        vec![Property::always("sound", |_, state: &State<W>| violation(&state.world).is_none())]
    }
}

/// The result of a model.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Distinct states.
    pub unique: usize,
    /// All states, including those that were reached again.
    pub states: usize,
    /// Steps of the longest run.
    pub depth: usize,
    /// How long it took (milliseconds).
    pub took_ms: u128,
    /// The properties, in plain words.
    pub properties: Vec<&'static str>,
    /// The one that was violated, if one was.
    pub violated: Option<&'static str>,
    /// The shortest run that violates it, in plain words.
    pub trace: Vec<String>,
    /// The same run as steps, for a replay.
    pub path: Vec<String>,
}

impl Report {
    /// Whether every state was visited, or a violation ended the search.
    pub fn complete(&self) -> bool {
        self.violated.is_some() || self.states < MAX_STATES
    }

    /// As JSON.
    pub fn json(&self) -> Value {
        json!({
            "unique_states": self.unique, "states": self.states, "depth": self.depth,
            "ms": self.took_ms as u64, "properties": self.properties, "broken": self.violated,
            "story": self.trace, "path": self.path,
        })
    }
}

/// Explores every run from this state, or replays the one whose steps `path` names.
pub fn check<W: World>(start: W, path: &[String]) -> Report {
    if !path.is_empty() {
        return replay(start, path);
    }
    let began = Instant::now();
    let checker = Checked { start: start.clone() }
        .checker()
        .threads(threads())
        .target_state_count(MAX_STATES)
        .spawn_bfs()
        .join();
    let mut report = Report {
        unique: checker.unique_state_count(),
        states: checker.state_count(),
        depth: checker.max_depth(),
        properties: W::PROPERTIES.to_vec(),
        ..Report::default()
    };
    if let Some(found) = checker.discovery("sound") {
        let actions: Vec<W::Step> = found.into_actions();
        let names: Vec<String> = actions.iter().map(|step| format!("{step:?}")).collect();
        let replayed = replay(start, &names);
        (report.violated, report.trace, report.path) = (replayed.violated, replayed.trace, replayed.path);
    }
    report.took_ms = began.elapsed().as_millis();
    report
}

/// States (count) after which the search is ended because the model is too large: such a report proves nothing.
const MAX_STATES: usize = 5_000_000;

/// Threads of the checker at most (count).
const MAX_THREADS: usize = 4;

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get().min(MAX_THREADS))
}

/// Replays one run. Each step is named by its debug text, as in the file of a report.
fn replay<W: World>(mut world: W, path: &[String]) -> Report {
    let mut report = Report { properties: W::PROPERTIES.to_vec(), ..Report::default() };
    for name in path {
        let Some(step) = world.steps().into_iter().find(|step| format!("{step:?}") == *name) else {
            report.trace.push(format!("{name} is not possible here: the code has changed"));
            return report;
        };
        report.trace.push(world.describe(&step));
        report.path.push(name.clone());
        world.apply(&step);
    }
    report.violated = violation(&world);
    report.depth = path.len();
    report
}

/// The property that is violated in this state, if one is.
fn violation<W: World>(world: &W) -> Option<&'static str> {
    let is_over = || world.steps().is_empty();
    world.violated().or_else(|| if is_over() { world.violated_at_end() } else { None })
}
