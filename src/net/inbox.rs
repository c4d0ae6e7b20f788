//! What a client sends: its messages in order, and why it is cut off.

use crate::net::budget::Hold;
use crate::net::clock::Clock;
use crate::net::ending::End;
use crate::net::front::Front;
use crate::net::pg::{self, Framer, Message, Opening};
use crate::net::room::Room;
use crate::Time;
use bytes::Bytes;
use petrelgauge_lifecycle::client::{Event as Happens, Kind, Stage};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::net::tcp::ReadHalf;

/// Span in which a query that is open may still be answered when bytes behind it made no sense (microseconds).
const GRACE: Time = 1_000_000;
/// Queries, and bytes of them, that may wait while one is being answered.
const AHEAD: usize = 64;
const AHEAD_BYTES: usize = 2 * pg::MOST;

/// Messages of a client in order, each with the time it was read: a client counts its wait from its
/// sending, also when other queries are answered first.
pub(super) struct Inbox<'a> {
    reader: ReadHalf<'a>,
    clock: Clock,
    room: Rc<Room>,
    hold: Hold,
    pub(super) framer: Framer,
    ready: VecDeque<(Message, Time)>,
    /// Bytes of the messages that wait, and of the one that was taken last.
    waiting: usize,
    taken: usize,
    /// What made no sense, and until when what came before it may still be answered.
    pub(super) flaw: Option<(Flaw, Time)>,
}

/// Why a client is cut off.
#[derive(Clone, Copy)]
pub(super) struct Flaw {
    pub(super) end: End,
    pub(super) code: &'static str,
    pub(super) text: &'static str,
}

impl From<pg::Malformed> for Flaw {
    fn from(flaw: pg::Malformed) -> Flaw {
        Flaw { end: End::ClientMalformed, code: "08P01", text: flaw.0 }
    }
}

const TOO_MANY: Flaw = Flaw { end: End::ClientLarge, code: "54000", text: "too many queries at once" };
const TOO_MUCH: Flaw = Flaw { end: End::ClientLarge, code: "53200", text: "out of memory" };
pub(super) const UNKNOWN: Flaw =
    Flaw { end: End::ClientMalformed, code: "08P01", text: "invalid frontend message type" };
pub(super) const UNFINISHED: Flaw =
    Flaw { end: End::ClientSilent, code: "08P01", text: "message not whole in time" };

impl<'a> Inbox<'a> {
    pub(super) fn new(reader: ReadHalf<'a>, front: &Front) -> Inbox<'a> {
        Inbox {
            reader,
            clock: front.clock,
            room: front.room.clone(),
            hold: front.budget.hold(true),
            framer: Framer::default(),
            ready: VecDeque::new(),
            waiting: 0,
            taken: 0,
            flaw: None,
        }
    }

    /// Reads once. May be cancelled without loss.
    async fn read(&mut self) -> Result<(), End> {
        // Behind a flaw nothing is kept: it is read only to notice the client leave.
        let mut framer = self.flaw.is_none().then_some(&mut self.framer);
        loop {
            self.reader.readable().await.map_err(|_| End::ClientLeft)?;
            let reader = &self.reader;
            match self.room.read(|bytes| reader.try_read(bytes), framer.as_deref_mut()) {
                Ok(Some(0)) | Err(_) => return Err(End::ClientLeft),
                Ok(Some(_)) => break,
                Ok(None) => {}
            }
        }
        if !self.hold.set(self.taken + self.waiting + self.framer.len()) {
            self.flawed(TOO_MUCH);
        }
        // A client that sends without a pause must not keep the others from being served.
        tokio::task::yield_now().await;
        Ok(())
    }

    pub(super) fn flawed(&mut self, flaw: Flaw) {
        self.flaw = self.flaw.or(Some((flaw, self.clock.now() + GRACE)));
        self.framer.clear();
    }

    async fn opening(&mut self) -> Result<Result<Opening, Flaw>, End> {
        loop {
            match (self.framer.opening(), self.flaw) {
                (Err(flaw), _) => return Ok(Err(flaw.into())),
                (_, Some((flaw, _))) => return Ok(Err(flaw)),
                (Ok(Some(opening)), _) => return Ok(Ok(opening)),
                (Ok(None), _) => self.read().await?,
            }
        }
    }

    /// Reads and forgets until the client leaves.
    pub(super) async fn discard(&mut self) {
        while self.read().await.is_ok() {
            self.framer.clear();
        }
    }

    fn sort(&mut self) {
        while self.flaw.is_none() {
            match self.framer.message() {
                Ok(Some(_)) if self.ready.len() >= AHEAD => self.flawed(TOO_MANY),
                Ok(Some(message)) => {
                    self.waiting += weight(&message);
                    self.ready.push_back((message, self.clock.now()));
                }
                Ok(None) if self.waiting + self.framer.len() > AHEAD_BYTES => self.flawed(TOO_MANY),
                Ok(None) => return,
                Err(flaw) => self.flawed(flaw.into()),
            }
        }
    }

    /// Something that can be taken up lies here: a whole message, or a reason to cut the client off. What was read in a
    /// wait that was cancelled is here and nowhere else.
    pub(super) fn holds(&mut self, stage: Stage) -> bool {
        if stage == Stage::Opening {
            return self.flaw.is_some() || self.framer.holds_opening();
        }
        self.sort();
        self.flaw.is_some() || !self.ready.is_empty()
    }

    /// The next message. May be cancelled without loss.
    async fn next(&mut self) -> Result<Result<(Message, Time), Flaw>, End> {
        self.taken = 0;
        loop {
            self.sort();
            match self.flaw {
                Some((flaw, by)) if self.ready.is_empty() || self.clock.now() >= by => return Ok(Err(flaw)),
                _ => {}
            }
            if let Some((message, at)) = self.ready.pop_front() {
                self.taken = weight(&message);
                self.waiting -= self.taken;
                return Ok(Ok((message, at)));
            }
            self.read().await?;
        }
    }

    /// What the client sent next. May be cancelled without loss.
    pub(super) async fn hear(&mut self, stage: Stage) -> Heard {
        let heard = if stage == Stage::Opening {
            self.opening().await.map(|opened| {
                opened.map(|opening| match opening {
                    Opening::Encryption => Happens::Encryption.into(),
                    Opening::Cancel => Happens::Cancel.into(),
                    Opening::Startup { minor } => Heard { minor, ..Happens::Opened.into() },
                })
            })
        } else {
            self.next().await.map(|next| {
                let (message, at) = next?;
                let kind = Kind::of(message.kind());
                let query = if kind == Kind::Query { Some((message.text()?, at)) } else { None };
                Ok(Heard { query, ..Happens::Message(kind).into() })
            })
        };
        match heard {
            Ok(Ok(heard)) => heard,
            Ok(Err(flaw)) => Heard { flaw: Some(flaw), ..Happens::Flawed(flaw.end).into() },
            Err(end) => Happens::Left(end).into(),
        }
    }

    /// Reads ahead until the client leaves, or what it sent must be answered with its end. A goodbye is its leaving,
    /// whatever it asked before: who says it closes at once. May be cancelled without loss.
    pub(super) async fn left(&mut self) -> End {
        loop {
            self.sort();
            if self.ready.iter().any(|(message, _)| Kind::of(message.kind()) == Kind::Terminate) {
                return End::ClientTerminated;
            }
            let flaw = self.flaw;
            let read = tokio::select! {
                biased;
                () = due(self.clock, flaw) => return flaw.map_or(End::ClientLeft, |(flaw, _)| flaw.end),
                read = self.read() => read,
            };
            if let Err(end) = read {
                return end;
            }
        }
    }
}

/// Something that happened, with what it brought.
pub(super) struct Heard {
    pub(super) event: Happens,
    /// A query's text, and when it was read.
    pub(super) query: Option<(Bytes, Time)>,
    /// The protocol's minor version that was asked for.
    pub(super) minor: u16,
    pub(super) flaw: Option<Flaw>,
}

impl From<Happens> for Heard {
    fn from(event: Happens) -> Heard {
        Heard { event, query: None, minor: 0, flaw: None }
    }
}

/// Waits until a flaw must be answered, if there is one.
async fn due(clock: Clock, flaw: Option<(Flaw, Time)>) {
    match flaw {
        Some((_, by)) => clock.sleep_until(by).await,
        None => std::future::pending().await,
    }
}

/// What a message that waits costs: a flood of the smallest ones must not cost more than it seems.
fn weight(message: &Message) -> usize {
    message.raw.len() + std::mem::size_of::<(Message, Time)>()
}
