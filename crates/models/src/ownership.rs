//! Model `ownership`: three acceptors, two candidates, one role; messages lost, late and duplicated, one
//! restart of an acceptor, a lease holder that stalls. Acceptor, candidate and fence are the gateway's own
//! code. Time passes only where the model says so: a candidate whose deadline has passed and that does not
//! run is stalled.

use crate::check::{check, Report, World};
use crate::fleet_settings::{settings, LEASE};
use crate::Size;
use petrelgauge_ownership::{
    Acceptor, Action, Candidate, Fence, LeadershipRole, LeaseRequest, LeaseResponse, Settings, Term,
};
use petrelgauge_policy::Time;

const ONE: &str = "no two may act on a role at one instant";
const RISES: &str = "each lease holder has a higher term than the one before";
const FENCED: &str =
    "no effect under an older term is admitted after one under a newer, and none under a newer is rejected";

const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const ACCEPTORS: u16 = 3;

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Which faults may occur: all of them at once would be more states than can be explored.
    Faults(usize),
    /// A candidate's deadline has passed, and it runs.
    Deadline(usize),
    /// A candidate's request reaches two acceptors, in this order, and their responses arrive.
    Reaches(usize, [u16; 2]),
    /// The same; the third acceptor's response is late, and so is a duplicate of the first one's.
    Doubled(usize, [u16; 2]),
    /// The first acceptor's response arrives; the second one's is late.
    Halved(usize, [u16; 2]),
    /// The request reaches no acceptor now, and this one late.
    Delayed(usize, u16),
    /// A late message arrives.
    Arrives(usize),
    /// An acceptor restarts.
    Restarts(u16),
    /// A lease holder acts; the effect is on its way.
    Acts(usize),
    /// Such an effect arrives.
    Admitted(usize),
    /// Time passes.
    Waits(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Late {
    Request(usize, u16, LeaseRequest),
    Response(usize, u16, LeaseResponse),
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    settings: Settings,
    acceptors: Vec<Acceptor>,
    candidates: Vec<Candidate>,
    /// The request of each candidate, until it has reached an acceptor.
    requests: Vec<Option<LeaseRequest>>,
    deadlines: Vec<u8>,
    late: Vec<Late>,
    may_be_late: u8,
    restarts: u8,
    waits: u8,
    acts: Vec<u8>,
    effects: Vec<Term>,
    fence: Fence,
    admitted: Term,
    last: Option<(usize, Term)>,
    begun: bool,
    spans: &'static [Time],
    large: bool,
    violated: Option<&'static str>,
}

/// How often each fault may occur.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Deadlines of each candidate.
    deadlines: [u8; 2],
    /// Messages that are late.
    late: u8,
    /// An acceptor restarts.
    restarts: u8,
    /// Time passes.
    waits: u8,
    /// By so much.
    spans: &'static [Time],
    /// Each candidate acts.
    acts: [u8; 2],
}

const FAULTS: [Faults; 3] = [
    Faults { deadlines: [1, 2], late: 0, restarts: 1, waits: 2, spans: &[LEASE / 2, LEASE], acts: [0, 0] },
    Faults {
        deadlines: [2, 1],
        late: 1,
        restarts: 0,
        waits: 2,
        spans: &[LEASE / 4, LEASE / 2, LEASE / 4 * 3],
        acts: [0, 0],
    },
    Faults { deadlines: [1, 1], late: 0, restarts: 0, waits: 1, spans: &[LEASE / 2, LEASE], acts: [1, 2] },
];

impl Fleet {
    fn apply(&mut self, who: usize, action: Action) {
        match action {
            Action::Send(request) => self.requests[who] = Some(request),
            Action::Acquired(term) => {
                if self.last.is_some_and(|(other, last)| other != who && term <= last) {
                    self.violated = Some(RISES);
                }
                self.last = Some((who, term));
            }
            Action::Renewed(_) | Action::Lost(_) | Action::Wait => {}
        }
    }

    fn request(&mut self, who: usize, acceptor: u16, request: LeaseRequest) -> Option<LeaseResponse> {
        self.acceptors[acceptor as usize].on_request(self.now, who as u16, ROLE, request)
    }

    fn respond(&mut self, who: usize, acceptor: u16, response: Option<LeaseResponse>) {
        let Some(response) = response else { return };
        let action = self.candidates[who].on_response(self.now, acceptor, response);
        self.apply(who, action);
    }

    /// The request reaches these acceptors: their responses.
    fn reaches(
        &mut self,
        who: usize,
        acceptors: [u16; 2],
    ) -> (Option<LeaseRequest>, [Option<LeaseResponse>; 2]) {
        let request = self.requests[who].take();
        (request, acceptors.map(|acceptor| self.request(who, acceptor, request?)))
    }

    fn begin(&mut self, faults: Faults) {
        let more = u8::from(self.large);
        self.begun = true;
        self.spans = faults.spans;
        self.deadlines = faults.deadlines.map(|deadlines| deadlines + more).to_vec();
        self.acts = faults.acts.to_vec();
        self.may_be_late = faults.late;
        self.restarts = faults.restarts;
        self.waits = faults.waits + more;
    }

    /// All acceptors receive the request; two responses arrive, the third one and a duplicate of the first
    /// are late.
    fn double(&mut self, who: usize, pair: [u16; 2]) {
        self.may_be_late -= 1;
        let (request, responses) = self.reaches(who, pair);
        let third = ACCEPTORS - pair[0] - pair[1];
        let response = request.and_then(|request| self.request(who, third, request));
        let late = [(third, response), (pair[0], responses[0])].into_iter();
        let late = late.filter_map(|(acceptor, response)| Some(Late::Response(who, acceptor, response?)));
        self.late.extend(late);
        (0..2).for_each(|index| self.respond(who, pair[index], responses[index]));
    }

    /// A late message arrives.
    fn arrive(&mut self, index: usize) {
        match self.late.remove(index) {
            Late::Request(who, acceptor, request) => {
                let response = self.request(who, acceptor, request);
                self.respond(who, acceptor, response);
            }
            Late::Response(who, acceptor, response) => self.respond(who, acceptor, Some(response)),
        }
    }

    /// An effect arrives at a receiver, whose fence admits or rejects it.
    fn take_effect(&mut self, index: usize) {
        let term = self.effects.remove(index);
        let passed = self.fence.admit(ROLE, term).is_ok();
        if passed != (term >= self.admitted) {
            self.violated = Some(FENCED);
        }
        self.admitted = self.admitted.max(term);
    }
}

impl World for Fleet {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[ONE, RISES, FENCED];

    fn steps(&self) -> Vec<Step> {
        if !self.begun {
            return (0..FAULTS.len()).map(Step::Faults).collect();
        }
        let mut steps = Vec::new();
        for who in 0..self.candidates.len() {
            if self.deadlines[who] > 0 && self.now >= self.candidates[who].next_deadline() {
                steps.push(Step::Deadline(who));
            }
            if self.requests[who].is_some() {
                for pair in [[0, 1], [1, 2], [2, 0]] {
                    steps.push(Step::Reaches(who, pair));
                    if self.may_be_late > 0 {
                        steps.extend([Step::Doubled(who, pair), Step::Halved(who, pair)]);
                    }
                }
                if self.may_be_late > 0 {
                    steps.extend((0..ACCEPTORS).map(|acceptor| Step::Delayed(who, acceptor)));
                }
            }
            if self.acts[who] > 0 && self.candidates[who].held_term(self.now).is_some() {
                steps.push(Step::Acts(who));
            }
        }
        steps.extend((0..self.late.len()).map(Step::Arrives));
        steps.extend((0..self.effects.len()).map(Step::Admitted));
        if self.restarts > 0 {
            steps.extend((0..ACCEPTORS).map(Step::Restarts));
        }
        if self.waits > 0 {
            steps.extend(self.spans.iter().copied().map(Step::Waits));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Faults(which) => self.begin(FAULTS[which]),
            Step::Deadline(who) => {
                self.deadlines[who] -= 1;
                let action = self.candidates[who].on_deadline(self.now);
                self.apply(who, action);
            }
            Step::Reaches(who, pair) => {
                let (_, responses) = self.reaches(who, pair);
                (0..2).for_each(|index| self.respond(who, pair[index], responses[index]));
            }
            Step::Doubled(who, pair) => self.double(who, pair),
            Step::Halved(who, pair) => {
                self.may_be_late -= 1;
                let (_, [first, second]) = self.reaches(who, pair);
                self.late.extend(second.map(|response| Late::Response(who, pair[1], response)));
                self.respond(who, pair[0], first);
            }
            Step::Delayed(who, acceptor) => {
                self.may_be_late -= 1;
                let request = self.requests[who].take();
                self.late.extend(request.map(|request| Late::Request(who, acceptor, request)));
            }
            Step::Arrives(index) => self.arrive(index),
            Step::Restarts(acceptor) => {
                self.restarts -= 1;
                self.acceptors[acceptor as usize] = Acceptor::new(&self.settings, self.now);
            }
            Step::Acts(who) => {
                self.acts[who] -= 1;
                self.effects.extend(self.candidates[who].held_term(self.now));
            }
            Step::Admitted(index) => self.take_effect(index),
            Step::Waits(span) => {
                self.waits -= 1;
                self.now += span;
            }
        }
        if self.candidates.iter().filter(|candidate| candidate.held_term(self.now).is_some()).count() > 1 {
            self.violated = Some(ONE);
        }
    }

    fn describe(&self, step: &Step) -> String {
        let what = match step {
            Step::Faults(which) => format!("faults that may occur: {:?}", FAULTS[*which]),
            Step::Deadline(who) => format!("candidate {who} runs, its deadline has passed"),
            Step::Reaches(who, [a, b]) => {
                format!("candidate {who} sends to acceptors {a} and {b} and gets their responses")
            }
            Step::Doubled(who, [a, b]) => {
                format!(
                    "candidate {who} sends to all; {a} and {b} respond, the third response and a duplicate are late"
                )
            }
            Step::Halved(who, [a, b]) => {
                format!("candidate {who} sends to {a} and {b}; {a} responds, {b} is late")
            }
            Step::Delayed(who, acceptor) => {
                format!("the request of candidate {who} is late, and reaches {acceptor}")
            }
            Step::Arrives(index) => format!("a late message arrives: {:?}", self.late.get(*index)),
            Step::Restarts(acceptor) => format!("acceptor {acceptor} restarts"),
            Step::Acts(who) => format!("candidate {who} acts as lease holder"),
            Step::Admitted(index) => format!("an effect arrives, term {:?}", self.effects.get(*index)),
            Step::Waits(span) => format!("{span} pass"),
        };
        format!("at {} {what}", self.now)
    }

    fn violated(&self) -> Option<&'static str> {
        self.violated
    }
}

/// Runs the model.
pub fn run(size: Size, path: &[String]) -> Report {
    // Acceptors past their silence, and candidates that may prepare at once.
    let now = 100_000;
    let silence = settings(0).startup_silence();
    let start = Fleet {
        now,
        settings: settings(0),
        acceptors: (0..ACCEPTORS).map(|_| Acceptor::new(&settings(0), now - silence)).collect(),
        candidates: (0..2).map(|me| Candidate::new(settings(me), now - 4_000, 10, u64::from(me))).collect(),
        requests: vec![None, None],
        deadlines: Vec::new(),
        late: Vec::new(),
        may_be_late: 0,
        restarts: 0,
        waits: 0,
        acts: Vec::new(),
        effects: Vec::new(),
        fence: Fence::default(),
        admitted: 0,
        last: None,
        begun: false,
        spans: &[],
        large: size == Size::Large,
        violated: None,
    };
    check(start, path)
}
