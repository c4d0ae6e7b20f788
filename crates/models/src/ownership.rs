//! Model `ownership`: three acceptors, two candidates and one role; lost, late and duplicated messages, one
//! restart of an acceptor, and a lease holder that stalls. Acceptor, candidate and fence are the gateway's
//! own code. Time passes only by steps of the model: a candidate that does not run although its deadline has
//! passed is stalled.

use crate::check::{check, Report, World};
use crate::fleet_settings::{settings, LEASE};
use crate::Size;
use petrelgauge_ownership::{
    Acceptor, Action, Candidate, Fence, LeadershipRole, LeaseRequest, LeaseResponse, Settings, Term,
};
use petrelgauge_policy::Time;

const ONE_HOLDER: &str = "no two may act on a role at one instant";
const TERMS_RISE: &str = "each lease holder has a higher term than the one before";
const FENCED: &str =
    "no effect under an older term is admitted after one under a newer, and none under a newer is rejected";

const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const ACCEPTORS: u16 = 3;

/// A step of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Selects the faults that may occur. All of them together would be more states than can be explored.
    Faults(usize),
    /// A candidate runs after its deadline.
    Deadline(usize),
    /// A candidate's request reaches two acceptors, in this order, and their responses arrive.
    Reaches(usize, [u16; 2]),
    /// The request reaches all acceptors, and two responses arrive. The third one and a duplicate of the
    /// first are late.
    Doubled(usize, [u16; 2]),
    /// The request reaches two acceptors. The first one's response arrives, the second one's is late.
    Halved(usize, [u16; 2]),
    /// The request reaches only this acceptor, late.
    Delayed(usize, u16),
    /// A late message arrives.
    Arrives(usize),
    /// An acceptor restarts.
    Restarts(u16),
    /// A lease holder sends an effect.
    Acts(usize),
    /// An effect arrives.
    Admitted(usize),
    /// Time passes.
    Waits(Time),
}

/// A late message between a candidate and an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum LateMessage {
    Request { candidate: usize, acceptor: u16, request: LeaseRequest },
    Response { candidate: usize, acceptor: u16, response: LeaseResponse },
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    settings: Settings,
    acceptors: Vec<Acceptor>,
    candidates: Vec<Candidate>,
    /// The request of each candidate, until it has reached an acceptor.
    requests: Vec<Option<LeaseRequest>>,
    /// How often each candidate may still run after a deadline.
    deadlines_left: Vec<u8>,
    late: Vec<LateMessage>,
    /// How many messages may still be late.
    late_left: u8,
    restarts_left: u8,
    waits_left: u8,
    /// How often each candidate may still act as lease holder.
    acts_left: Vec<u8>,
    /// Terms of the effects in flight.
    effects: Vec<Term>,
    /// Of the receiver of the effects.
    fence: Fence,
    /// The highest term of an effect that has arrived.
    highest_admitted: Term,
    last_holder: Option<Holder>,
    /// Whether the faults have been selected.
    has_begun: bool,
    /// How much time may pass at once.
    spans: &'static [Time],
    size: Size,
    violated: Option<&'static str>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    candidate: usize,
    term: Term,
}

/// How often each fault may occur.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// Deadlines of each candidate.
    deadlines: [u8; 2],
    /// Late messages.
    late: u8,
    /// Restarts of acceptors.
    restarts: u8,
    /// Steps in which time passes.
    waits: u8,
    /// How much time may pass at once.
    spans: &'static [Time],
    /// Effects of each candidate.
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
    /// Carries out a candidate's action.
    fn carry_out(&mut self, candidate: usize, action: Action) {
        match action {
            Action::Send(request) => self.requests[candidate] = Some(request),
            Action::Acquired(term) => {
                let has_term_of = |last: Holder| last.candidate != candidate && term <= last.term;
                if self.last_holder.is_some_and(has_term_of) {
                    self.violated = Some(TERMS_RISE);
                }
                self.last_holder = Some(Holder { candidate, term });
            }
            Action::Renewed(_) | Action::Lost(_) | Action::Wait => {}
        }
    }

    /// Delivers a request to an acceptor, and returns the response.
    fn deliver_request(
        &mut self,
        candidate: usize,
        acceptor: u16,
        request: LeaseRequest,
    ) -> Option<LeaseResponse> {
        self.acceptors[acceptor as usize].on_request(self.now, candidate as u16, ROLE, request)
    }

    fn deliver_response(&mut self, candidate: usize, acceptor: u16, response: Option<LeaseResponse>) {
        let Some(response) = response else { return };
        let action = self.candidates[candidate].on_response(self.now, acceptor, response);
        self.carry_out(candidate, action);
    }

    /// Delivers a candidate's request to these acceptors, and returns their responses.
    fn reach(&mut self, candidate: usize, acceptors: [u16; 2]) -> [Option<LeaseResponse>; 2] {
        let request = self.requests[candidate].take();
        acceptors.map(|acceptor| self.deliver_request(candidate, acceptor, request?))
    }

    fn begin(&mut self, faults: Faults) {
        let more = u8::from(self.size == Size::Large);
        self.has_begun = true;
        self.spans = faults.spans;
        self.deadlines_left = faults.deadlines.map(|deadlines| deadlines + more).to_vec();
        self.acts_left = faults.acts.to_vec();
        self.late_left = faults.late;
        self.restarts_left = faults.restarts;
        self.waits_left = faults.waits + more;
    }

    /// All acceptors receive the request; two responses arrive, the third one and a duplicate of the first
    /// are late.
    fn double(&mut self, candidate: usize, pair: [u16; 2]) {
        let request = self.requests[candidate];
        let responses = self.reach(candidate, pair);
        let third = ACCEPTORS - pair[0] - pair[1];
        let response = request.and_then(|request| self.deliver_request(candidate, third, request));
        self.delay_response(candidate, third, response);
        self.delay_response(candidate, pair[0], responses[0]);
        (0..2).for_each(|index| self.deliver_response(candidate, pair[index], responses[index]));
    }

    fn delay_response(&mut self, candidate: usize, acceptor: u16, response: Option<LeaseResponse>) {
        let late = response.map(|response| LateMessage::Response { candidate, acceptor, response });
        self.late.extend(late);
    }

    /// A late message arrives.
    fn arrive(&mut self, index: usize) {
        match self.late.remove(index) {
            LateMessage::Request { candidate, acceptor, request } => {
                let response = self.deliver_request(candidate, acceptor, request);
                self.deliver_response(candidate, acceptor, response);
            }
            LateMessage::Response { candidate, acceptor, response } => {
                self.deliver_response(candidate, acceptor, Some(response));
            }
        }
    }

    /// An effect arrives at a receiver, whose fence admits or rejects it.
    fn deliver_effect(&mut self, index: usize) {
        let term = self.effects.remove(index);
        let is_admitted = self.fence.admit(ROLE, term).is_ok();
        if is_admitted != (term >= self.highest_admitted) {
            self.violated = Some(FENCED);
        }
        self.highest_admitted = self.highest_admitted.max(term);
    }
}

impl Fleet {
    fn candidate_steps(&self, candidate: usize, steps: &mut Vec<Step>) {
        let is_due = self.now >= self.candidates[candidate].next_deadline();
        if self.deadlines_left[candidate] > 0 && is_due {
            steps.push(Step::Deadline(candidate));
        }
        if self.requests[candidate].is_some() {
            for pair in [[0, 1], [1, 2], [2, 0]] {
                steps.push(Step::Reaches(candidate, pair));
                if self.late_left > 0 {
                    steps.extend([Step::Doubled(candidate, pair), Step::Halved(candidate, pair)]);
                }
            }
            if self.late_left > 0 {
                steps.extend((0..ACCEPTORS).map(|acceptor| Step::Delayed(candidate, acceptor)));
            }
        }
        let holds_lease = self.candidates[candidate].held_term(self.now).is_some();
        if self.acts_left[candidate] > 0 && holds_lease {
            steps.push(Step::Acts(candidate));
        }
    }
}

impl World for Fleet {
    type Step = Step;

    const PROPERTIES: &'static [&'static str] = &[ONE_HOLDER, TERMS_RISE, FENCED];

    fn steps(&self) -> Vec<Step> {
        if !self.has_begun {
            return (0..FAULTS.len()).map(Step::Faults).collect();
        }
        let mut steps = Vec::new();
        for candidate in 0..self.candidates.len() {
            self.candidate_steps(candidate, &mut steps);
        }
        steps.extend((0..self.late.len()).map(Step::Arrives));
        steps.extend((0..self.effects.len()).map(Step::Admitted));
        if self.restarts_left > 0 {
            steps.extend((0..ACCEPTORS).map(Step::Restarts));
        }
        if self.waits_left > 0 {
            steps.extend(self.spans.iter().copied().map(Step::Waits));
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Faults(which) => self.begin(FAULTS[which]),
            Step::Deadline(candidate) => {
                self.deadlines_left[candidate] -= 1;
                let action = self.candidates[candidate].on_deadline(self.now);
                self.carry_out(candidate, action);
            }
            Step::Reaches(candidate, pair) => {
                let responses = self.reach(candidate, pair);
                (0..2).for_each(|index| self.deliver_response(candidate, pair[index], responses[index]));
            }
            Step::Doubled(candidate, pair) => {
                self.late_left -= 1;
                self.double(candidate, pair);
            }
            Step::Halved(candidate, pair) => {
                self.late_left -= 1;
                let [first, second] = self.reach(candidate, pair);
                self.delay_response(candidate, pair[1], second);
                self.deliver_response(candidate, pair[0], first);
            }
            Step::Delayed(candidate, acceptor) => {
                self.late_left -= 1;
                let request = self.requests[candidate].take();
                let late = request.map(|request| LateMessage::Request { candidate, acceptor, request });
                self.late.extend(late);
            }
            Step::Arrives(index) => self.arrive(index),
            Step::Restarts(acceptor) => {
                self.restarts_left -= 1;
                self.acceptors[acceptor as usize] = Acceptor::new(&self.settings, self.now);
            }
            Step::Acts(candidate) => {
                self.acts_left[candidate] -= 1;
                self.effects.extend(self.candidates[candidate].held_term(self.now));
            }
            Step::Admitted(index) => self.deliver_effect(index),
            Step::Waits(span) => {
                self.waits_left -= 1;
                self.now += span;
            }
        }
        let holders = self.candidates.iter().filter(|candidate| candidate.held_term(self.now).is_some());
        if holders.count() > 1 {
            self.violated = Some(ONE_HOLDER);
        }
    }

    fn describe(&self, step: &Step) -> String {
        let what = match step {
            Step::Faults(which) => format!("faults that may occur: {:?}", FAULTS[*which]),
            Step::Deadline(candidate) => format!("candidate {candidate} runs after its deadline"),
            Step::Reaches(candidate, [a, b]) => {
                format!("candidate {candidate} sends to acceptors {a} and {b} and gets their responses")
            }
            Step::Doubled(candidate, [a, b]) => {
                format!(
                    "candidate {candidate} sends to all; {a} and {b} respond, the third response and a duplicate are late"
                )
            }
            Step::Halved(candidate, [a, b]) => {
                format!("candidate {candidate} sends to {a} and {b}; {a} responds, {b} is late")
            }
            Step::Delayed(candidate, acceptor) => {
                format!("the request of candidate {candidate} is late and reaches {acceptor}")
            }
            Step::Arrives(index) => format!("a late message arrives: {:?}", self.late.get(*index)),
            Step::Restarts(acceptor) => format!("acceptor {acceptor} restarts"),
            Step::Acts(candidate) => format!("candidate {candidate} acts as lease holder"),
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
    // The acceptors' silence is over, and the candidates may prepare at once.
    let now = 100_000;
    let silence = settings(0).startup_silence();
    let start = Fleet {
        now,
        settings: settings(0),
        acceptors: (0..ACCEPTORS).map(|_| Acceptor::new(&settings(0), now - silence)).collect(),
        candidates: (0..2).map(|id| Candidate::new(settings(id), now - 4_000, 10, u64::from(id))).collect(),
        requests: vec![None, None],
        deadlines_left: Vec::new(),
        late: Vec::new(),
        late_left: 0,
        restarts_left: 0,
        waits_left: 0,
        acts_left: Vec::new(),
        effects: Vec::new(),
        fence: Fence::default(),
        highest_admitted: 0,
        last_holder: None,
        has_begun: false,
        spans: &[],
        size,
        violated: None,
    };
    check(start, path)
}
