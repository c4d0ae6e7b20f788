//! The checker around a world, its report, and runs told as stories.

use serde_json::{json, Value};
use stateright::{Checker, Model, Property};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// A world around real code, in one state.
pub trait World: Clone + Debug + Send + Sync + 'static {
    /// An event that can come next.
    type Move: Clone + Debug + PartialEq + Send + Sync + Hash + 'static;

    /// The properties that it watches, in plain words.
    const PROPERTIES: &'static [&'static str];

    /// Every event that can come next; none where the run is over.
    fn moves(&self) -> Vec<Self::Move>;

    /// Plays one.
    fn play(&mut self, event: &Self::Move);

    /// The event in the operators' words.
    fn told(&self, event: &Self::Move) -> String;

    /// What is broken now, of the properties.
    fn broken(&self) -> Option<&'static str>;

    /// What is broken now that the run is over and nothing more can come.
    fn broken_at_end(&self) -> Option<&'static str> {
        None
    }
}

/// A state, told apart by all that it holds.
#[derive(Clone, Debug)]
pub struct State<W> {
    world: W,
    print: u128,
}

impl<W: World> State<W> {
    fn new(world: W) -> State<W> {
        let print = xxh3_128(format!("{world:?}").as_bytes());
        State { world, print }
    }
}

impl<W> Hash for State<W> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

impl<W> PartialEq for State<W> {
    fn eq(&self, other: &State<W>) -> bool {
        self.print == other.print
    }
}

struct Checked<W> {
    start: W,
}

impl<W: World> Model for Checked<W> {
    type State = State<W>;
    type Action = W::Move;

    fn init_states(&self) -> Vec<State<W>> {
        vec![State::new(self.start.clone())]
    }

    fn actions(&self, state: &State<W>, actions: &mut Vec<W::Move>) {
        // Behind a broken property nothing is of interest.
        if state.world.broken().is_none() {
            actions.extend(state.world.moves());
        }
    }

    fn next_state(&self, state: &State<W>, event: W::Move) -> Option<State<W>> {
        let mut world = state.world.clone();
        world.play(&event);
        Some(State::new(world))
    }

    fn properties(&self) -> Vec<Property<Checked<W>>> {
        vec![Property::always("sound", |_, state: &State<W>| {
            let world = &state.world;
            let over = world.broken().is_none() && world.moves().is_empty();
            world.broken().or_else(|| if over { world.broken_at_end() } else { None }).is_none()
        })]
    }
}

/// What a model showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// States that differ, all that were generated, and the longest run.
    pub unique: usize,
    /// With those that were reached again.
    pub states: usize,
    /// Events of the longest run.
    pub depth: usize,
    /// Milliseconds.
    pub took_ms: u128,
    /// The properties, in plain words.
    pub properties: Vec<&'static str>,
    /// The one that was broken, if one was.
    pub broken: Option<&'static str>,
    /// The shortest run that breaks it, in the operators' words.
    pub story: Vec<String>,
    /// The same run as events, for a replay.
    pub path: Vec<String>,
}

impl Report {
    /// Every state was seen, or a broken property ended the search.
    pub fn complete(&self) -> bool {
        self.broken.is_some() || self.states < MOST
    }

    /// As JSON.
    pub fn json(&self) -> Value {
        json!({
            "unique_states": self.unique, "states": self.states, "depth": self.depth,
            "ms": self.took_ms as u64, "properties": self.properties, "broken": self.broken,
            "story": self.story, "path": self.path,
        })
    }
}

/// Plays every run of this world, or the one that `path` names event by event.
pub fn check<W: World>(start: W, path: &[String]) -> Report {
    if !path.is_empty() {
        return replay(start, path);
    }
    let began = Instant::now();
    let checker = Checked { start: start.clone() }
        .checker()
        .threads(threads())
        .target_state_count(MOST)
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
        let actions: Vec<W::Move> = found.into_actions();
        let names: Vec<String> = actions.iter().map(|event| format!("{event:?}")).collect();
        let told = replay(start, &names);
        (report.broken, report.story, report.path) = (told.broken, told.story, told.path);
    }
    report.took_ms = began.elapsed().as_millis();
    report
}

/// States after which a model is given up as too large for its size: a report with so many is no proof.
const MOST: usize = 5_000_000;

fn threads() -> usize {
    std::thread::available_parallelism().map_or(1, |count| count.get().min(4))
}

/// Plays one run, each event named as its debug text: what a story's file holds.
fn replay<W: World>(mut world: W, path: &[String]) -> Report {
    let mut report = Report { properties: W::PROPERTIES.to_vec(), ..Report::default() };
    for name in path {
        let Some(event) = world.moves().into_iter().find(|event| format!("{event:?}") == *name) else {
            report.story.push(format!("here {name} cannot come: the code is another one now"));
            return report;
        };
        report.story.push(world.told(&event));
        report.path.push(name.clone());
        world.play(&event);
    }
    let over = world.broken().is_none() && world.moves().is_empty();
    report.broken = world.broken().or_else(|| if over { world.broken_at_end() } else { None });
    report.depth = path.len();
    report
}
