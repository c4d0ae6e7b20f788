//! Model `ownership`: three acceptors, two candidates, one role; messages lost, late and doubled, one restart of an
//! acceptor, a lease holder that stands still. Acceptor, candidate and fence are the gateway's. Time passes only where the
//! world says so: whoever is due and is not told stands still.

use crate::check::{check, Report, World};
use crate::Size;
use petrelgauge_ownership::{
    Acceptor, Action, Candidate, Fence, LeadershipRole, LeaseRequest, LeaseResponse, Settings, Term,
};
use petrelgauge_policy::Time;

const ONE: &str = "no two may act on a role at one instant";
const RISES: &str = "each owner has a higher term than the one before";
const FENCED: &str =
    "no effect under an older term is taken after one under a newer, and none under a newer is turned away";

const ROLE: LeadershipRole = LeadershipRole { kind: 1, shard: 0 };
const LEASE: Time = 8_000;
const ELECTORS: u16 = 3;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// Which troubles may come: all of them at a time would be more states than can be seen.
    Trouble(usize),
    /// What a candidate waits for is due, and it runs.
    Due(usize),
    /// What a candidate asks comes to two acceptors, in this order, and their answers come back.
    Reaches(usize, [u16; 2]),
    /// The same; the third acceptor's answer is late, and so is a copy of the first one's.
    Doubled(usize, [u16; 2]),
    /// The first acceptor's answer comes back; the second one's is late.
    Halved(usize, [u16; 2]),
    /// What is asked comes to no acceptor now, and to this one late.
    Delayed(usize, u16),
    /// Something late arrives.
    Arrives(usize),
    /// An acceptor starts again.
    Restarts(u16),
    /// A lease holder acts; what it does is on its way.
    Acts(usize),
    /// Such an effect arrives.
    Taken(usize),
    /// Time passes.
    Waits(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Late {
    LeaseRequest(usize, u16, LeaseRequest),
    LeaseResponse(usize, u16, LeaseResponse),
}

#[derive(Clone, Debug)]
struct Fleet {
    now: Time,
    settings: Settings,
    acceptors: Vec<Acceptor>,
    candidates: Vec<Candidate>,
    /// What each candidate asks, until it has come to somebody.
    asks: Vec<Option<LeaseRequest>>,
    dues: Vec<u8>,
    late: Vec<Late>,
    may_be_late: u8,
    restarts: u8,
    waits: u8,
    acts: Vec<u8>,
    effects: Vec<Term>,
    fence: Fence,
    took: Term,
    last: Option<(usize, Term)>,
    begun: bool,
    spans: &'static [Time],
    large: bool,
    broken: Option<&'static str>,
}

/// How often what may happen.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Each candidate runs, for something is due.
    dues: [u8; 2],
    /// Something is late.
    late: u8,
    /// An acceptor starts again.
    restarts: u8,
    /// Time passes.
    waits: u8,
    /// By so much.
    spans: &'static [Time],
    /// Each candidate acts.
    acts: [u8; 2],
}

const TROUBLES: [Trouble; 3] = [
    Trouble { dues: [1, 2], late: 0, restarts: 1, waits: 2, spans: &[LEASE / 2, LEASE], acts: [0, 0] },
    Trouble {
        dues: [2, 1],
        late: 1,
        restarts: 0,
        waits: 2,
        spans: &[LEASE / 4, LEASE / 2, LEASE / 4 * 3],
        acts: [0, 0],
    },
    Trouble { dues: [1, 1], late: 0, restarts: 0, waits: 1, spans: &[LEASE / 2, LEASE], acts: [1, 2] },
];

impl Fleet {
    fn step(&mut self, who: usize, step: Action) {
        match step {
            Action::Send(ask) => self.asks[who] = Some(ask),
            Action::Acquired(term) => {
                if self.last.is_some_and(|(other, last)| other != who && term <= last) {
                    self.broken = Some(RISES);
                }
                self.last = Some((who, term));
            }
            Action::Renewed(_) | Action::Lost(_) | Action::Wait => {}
        }
    }

    fn ask(&mut self, who: usize, acceptor: u16, ask: LeaseRequest) -> Option<LeaseResponse> {
        self.acceptors[acceptor as usize].on(self.now, who as u16, ROLE, ask)
    }

    fn answer(&mut self, who: usize, acceptor: u16, answer: Option<LeaseResponse>) {
        let Some(answer) = answer else { return };
        let step = self.candidates[who].on(self.now, acceptor, answer);
        self.step(who, step);
    }

    /// Comes to these acceptors; gives their answers.
    fn reaches(
        &mut self,
        who: usize,
        acceptors: [u16; 2],
    ) -> (Option<LeaseRequest>, [Option<LeaseResponse>; 2]) {
        let ask = self.asks[who].take();
        (ask, acceptors.map(|acceptor| self.ask(who, acceptor, ask?)))
    }
}

impl World for Fleet {
    type Move = Move;

    const PROPERTIES: &'static [&'static str] = &[ONE, RISES, FENCED];

    fn moves(&self) -> Vec<Move> {
        if !self.begun {
            return (0..TROUBLES.len()).map(Move::Trouble).collect();
        }
        let mut moves = Vec::new();
        for who in 0..self.candidates.len() {
            if self.dues[who] > 0 && self.now >= self.candidates[who].next_deadline() {
                moves.push(Move::Due(who));
            }
            if self.asks[who].is_some() {
                for pair in [[0, 1], [1, 2], [2, 0]] {
                    moves.push(Move::Reaches(who, pair));
                    if self.may_be_late > 0 {
                        moves.extend([Move::Doubled(who, pair), Move::Halved(who, pair)]);
                    }
                }
                if self.may_be_late > 0 {
                    moves.extend((0..ELECTORS).map(|acceptor| Move::Delayed(who, acceptor)));
                }
            }
            if self.acts[who] > 0 && self.candidates[who].held_term(self.now).is_some() {
                moves.push(Move::Acts(who));
            }
        }
        moves.extend((0..self.late.len()).map(Move::Arrives));
        moves.extend((0..self.effects.len()).map(Move::Taken));
        if self.restarts > 0 {
            moves.extend((0..ELECTORS).map(Move::Restarts));
        }
        if self.waits > 0 {
            moves.extend(self.spans.iter().copied().map(Move::Waits));
        }
        moves
    }

    fn play(&mut self, event: &Move) {
        match *event {
            Move::Trouble(which) => {
                let Trouble { dues, late, restarts, waits, spans, acts } = TROUBLES[which];
                self.spans = spans;
                let more = u8::from(self.large);
                self.begun = true;
                (self.dues, self.acts) = (dues.map(|dues| dues + more).to_vec(), acts.to_vec());
                (self.may_be_late, self.restarts, self.waits) = (late, restarts, waits + more);
            }
            Move::Due(who) => {
                self.dues[who] -= 1;
                let step = self.candidates[who].on_deadline(self.now);
                self.step(who, step);
            }
            Move::Reaches(who, pair) => {
                let (_, answers) = self.reaches(who, pair);
                (0..2).for_each(|place| self.answer(who, pair[place], answers[place]));
            }
            Move::Doubled(who, pair) => {
                self.may_be_late -= 1;
                let (ask, answers) = self.reaches(who, pair);
                let third = ELECTORS - pair[0] - pair[1];
                let answer = ask.and_then(|ask| self.ask(who, third, ask));
                let late = [(third, answer), (pair[0], answers[0])];
                let late = late
                    .into_iter()
                    .filter_map(|(acceptor, answer)| Some(Late::LeaseResponse(who, acceptor, answer?)));
                self.late.extend(late);
                (0..2).for_each(|place| self.answer(who, pair[place], answers[place]));
            }
            Move::Halved(who, pair) => {
                self.may_be_late -= 1;
                let (_, [first, second]) = self.reaches(who, pair);
                self.late.extend(second.map(|answer| Late::LeaseResponse(who, pair[1], answer)));
                self.answer(who, pair[0], first);
            }
            Move::Delayed(who, acceptor) => {
                self.may_be_late -= 1;
                let ask = self.asks[who].take();
                self.late.extend(ask.map(|ask| Late::LeaseRequest(who, acceptor, ask)));
            }
            Move::Arrives(place) => match self.late.remove(place) {
                Late::LeaseRequest(who, acceptor, ask) => {
                    let answer = self.ask(who, acceptor, ask);
                    self.answer(who, acceptor, answer);
                }
                Late::LeaseResponse(who, acceptor, answer) => self.answer(who, acceptor, Some(answer)),
            },
            Move::Restarts(acceptor) => {
                self.restarts -= 1;
                self.acceptors[acceptor as usize] = Acceptor::new(&self.settings, self.now);
            }
            Move::Acts(who) => {
                self.acts[who] -= 1;
                self.effects.extend(self.candidates[who].held_term(self.now));
            }
            Move::Taken(place) => {
                let term = self.effects.remove(place);
                let passed = self.fence.admit(ROLE, term).is_ok();
                if passed != (term >= self.took) {
                    self.broken = Some(FENCED);
                }
                self.took = self.took.max(term);
            }
            Move::Waits(span) => {
                self.waits -= 1;
                self.now += span;
            }
        }
        if self.candidates.iter().filter(|one| one.held_term(self.now).is_some()).count() > 1 {
            self.broken = Some(ONE);
        }
    }

    fn told(&self, event: &Move) -> String {
        let what = match event {
            Move::Trouble(which) => format!("of troubles there may be: {:?}", TROUBLES[*which]),
            Move::Due(who) => format!("candidate {who} runs, for something is due"),
            Move::Reaches(who, [a, b]) => {
                format!("candidate {who} asks acceptors {a} and {b} and is answered")
            }
            Move::Doubled(who, [a, b]) => {
                format!(
                    "candidate {who} asks all; {a} and {b} answer, and late come the third answer and a copy"
                )
            }
            Move::Halved(who, [a, b]) => format!("candidate {who} asks {a} and {b}; {a} answers, {b} late"),
            Move::Delayed(who, acceptor) => {
                format!("what candidate {who} asks is late, and comes to {acceptor}")
            }
            Move::Arrives(place) => format!("what was late arrives: {:?}", self.late.get(*place)),
            Move::Restarts(acceptor) => format!("acceptor {acceptor} starts again"),
            Move::Acts(who) => format!("candidate {who} acts as owner"),
            Move::Taken(place) => format!("an effect arrives, term {:?}", self.effects.get(*place)),
            Move::Waits(span) => format!("{span} pass"),
        };
        format!("at {} {what}", self.now)
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken
    }
}

/// Plays it.
pub fn run(size: Size, path: &[String]) -> Report {
    let settings = |me| Settings {
        self_id: me,
        gateways: 3,
        acceptors: vec![0, 1, 2],
        lease: LEASE,
        drift_bound: 0.0,
        max_delay: 1_000,
    };
    // Electors that have run for long, and candidates that may ask at once.
    let now = 100_000;
    let silence = settings(0).startup_silence();
    let start = Fleet {
        now,
        settings: settings(0),
        acceptors: (0..ELECTORS).map(|_| Acceptor::new(&settings(0), now - silence)).collect(),
        candidates: (0..2).map(|me| Candidate::new(settings(me), now - 4_000, 10, u64::from(me))).collect(),
        asks: vec![None, None],
        dues: Vec::new(),
        late: Vec::new(),
        may_be_late: 0,
        restarts: 0,
        waits: 0,
        acts: Vec::new(),
        effects: Vec::new(),
        fence: Fence::default(),
        took: 0,
        last: None,
        begun: false,
        spans: &[],
        large: size == Size::Large,
        broken: None,
    };
    check(start, path)
}
