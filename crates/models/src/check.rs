//! The checker of a model, its report, and the replay of a single run.

use serde_json::{json, Value};
use stateright::{Checker, Model, Property};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// The state of a model: the gateway's own code and its environment.
pub trait World: Clone + Debug + Send + Sync + 'static {
    /// A step from one state to the next.
    type Step: Clone + Debug + PartialEq + Send + Sync + Hash + 'static;

    /// The properties that are checked, as sentences.
    const PROPERTIES: &'static [&'static str];

    /// All possible next steps; none at the end of a run.
    fn steps(&self) -> Vec<Self::Step>;

    /// Changes the state by a step.
    fn apply(&mut self, step: &Self::Step);

    /// Describes a step, for the trace of a run.
    fn describe(&self, step: &Self::Step) -> String;

    /// The property that is violated in this state, if any.
    fn violated(&self) -> Option<&'static str>;

    /// The property that is violated if the run ends in this state, if any.
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

/// Adapts a [`World`] to the model checker.
struct CheckedModel<W> {
    start: W,
}

impl<W: World> Model for CheckedModel<W> {
    type State = State<W>;
    type Action = W::Step;

    fn init_states(&self) -> Vec<State<W>> {
        vec![State::new(self.start.clone())]
    }

    fn actions(&self, state: &State<W>, actions: &mut Vec<W::Step>) {
        // A run ends at its first violation.
        if state.world.violated().is_none() {
            actions.extend(state.world.steps());
        }
    }

    fn next_state(&self, state: &State<W>, step: W::Step) -> Option<State<W>> {
        let mut world = state.world.clone();
        world.apply(&step);
        Some(State::new(world))
    }

    fn properties(&self) -> Vec<Property<CheckedModel<W>>> {
        vec![Property::always(NO_VIOLATION, |_, state: &State<W>| violation(&state.world).is_none())]
    }
}

/// Name of the only property that the checker knows: no property of the model is violated.
const NO_VIOLATION: &str = "no violation";

/// The result of a model.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of distinct states.
    pub unique: usize,
    /// Number of states, including those reached more than once.
    pub states: usize,
    /// Number of steps of the longest run.
    pub depth: usize,
    /// Duration of the exploration (milliseconds).
    pub took_ms: u128,
    /// The properties that were checked.
    pub properties: Vec<&'static str>,
    /// The property that was violated, if any.
    pub violated: Option<&'static str>,
    /// Descriptions of the steps of a shortest run that violates it.
    pub trace: Vec<String>,
    /// Names of the same steps, for a replay.
    pub path: Vec<String>,
}

impl Report {
    /// Whether all states were explored, or a violation ended the search.
    pub fn is_complete(&self) -> bool {
        self.violated.is_some() || self.states < MAX_STATES
    }

    /// The report as JSON. Its keys are read by replays of older reports.
    pub fn json(&self) -> Value {
        json!({
            "unique_states": self.unique, "states": self.states, "depth": self.depth,
            "ms": self.took_ms as u64, "properties": self.properties, "broken": self.violated,
            "story": self.trace, "path": self.path,
        })
    }
}

/// Explores all runs from this state, or replays the one whose steps are named in `path`, unless that is
/// empty.
pub fn check<W: World>(start: W, path: &[String]) -> Report {
    if !path.is_empty() {
        return replay(start, path);
    }
    let started_at = Instant::now();
    let checker = CheckedModel { start: start.clone() }
        .checker()
        .threads(thread_count())
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
    if let Some(found) = checker.discovery(NO_VIOLATION) {
        let actions: Vec<W::Step> = found.into_actions();
        let names: Vec<String> = actions.iter().map(|step| format!("{step:?}")).collect();
        let replayed = replay(start, &names);
        (report.violated, report.trace, report.path) = (replayed.violated, replayed.trace, replayed.path);
    }
    report.took_ms = started_at.elapsed().as_millis();
    report
}

/// Number of states after which the search is stopped. Such a report proves nothing.
const MAX_STATES: usize = 5_000_000;

/// Maximum number of threads of the checker.
const MAX_THREADS: usize = 4;

fn thread_count() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get().min(MAX_THREADS))
}

/// Replays one run. Steps are named by their debug representation, as in reports.
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

/// The property that is violated in this state, if any, including those of the end of a run.
fn violation<W: World>(world: &W) -> Option<&'static str> {
    if let Some(property) = world.violated() {
        return Some(property);
    }
    let is_at_end = world.steps().is_empty();
    if is_at_end {
        world.violated_at_end()
    } else {
        None
    }
}
