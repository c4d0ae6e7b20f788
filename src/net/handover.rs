//! Letters between the processes of one gateway, as files in the folder that both can write. What they say, and what
//! follows from it, stands in `petrelgauge_handover`.

use crate::facade::Facade;
use crate::net::budget::Budget;
use crate::net::clock::Clock;
use crate::net::host_names::HostNames;
use crate::Time;
use petrelgauge_handover::company::{Company, Held, PACE};
use petrelgauge_handover::{mark, owner, Letter, LetterError, MOST_BYTES};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// What a process has learned is of use to the next for so long (microseconds): samples are of the last seconds, roles
/// may have changed since.
const USEFUL: Time = 10_000_000;
/// A letter that nobody has renewed for so long is removed (microseconds).
const FORGOTTEN: Time = 60_000_000;
/// Letters of this gateway, and of others, that are read at most (count). There are two processes, three by mistake.
const MOST_LETTERS: usize = 8;
const PREFIX: &str = "petrelgauge-";
const SUFFIX: &str = ".letter";

/// This process's letters, and those of the others.
pub struct Handover {
    desk: Desk,
    /// A digest of the settings in force.
    settings: Cell<u64>,
    company: RefCell<Company>,
}

/// Where letters lie, and who writes here.
#[derive(Clone)]
struct Desk {
    folder: PathBuf,
    /// The gateway.
    owner: String,
    /// A number that no other process of the gateway has.
    writer: u64,
}

impl Handover {
    /// Letters in this folder, of the gateway of this name that listens there, by a process that goes by settings with
    /// this digest.
    pub fn new(folder: PathBuf, name: &str, listen: SocketAddr, writer: u64, settings: u64) -> Handover {
        let desk = Desk { folder, owner: owner(name, &listen.to_string()), writer };
        Handover { desk, settings: Cell::new(settings), company: RefCell::default() }
    }

    /// Settings with this digest hold from now on.
    pub fn follow(&self, settings: u64) {
        self.settings.set(settings);
    }

    /// The letter of the process that served last, if it is of use, and how old it is.
    pub fn inherit(&self, now: Time) -> Option<(Letter, Time)> {
        let letters = self.others(now).into_iter().filter_map(|letter| {
            let age = letter.fits(self.settings.get()).and_then(|()| letter.age(now, USEFUL));
            age.map(|age| (letter, age)).map_err(|cause| log::warn!("a letter is left aside: {cause}")).ok()
        });
        letters.filter(|(letter, _)| !letter.learned_state.is_empty()).min_by_key(|(_, age)| *age)
    }

    /// Letters of the others that can be read. Also remembers who runs.
    fn others(&self, now: Time) -> Vec<Letter> {
        let (letters, torn, foreign) = self.desk.others(now);
        if let Some(owner) = foreign.first() {
            log::warn!("{} letters of other gateways are left alone, the first of {owner}", foreign.len());
        }
        torn.iter().for_each(|cause| log::warn!("a letter is left aside: {cause}"));
        self.heard(&letters);
        letters
    }

    fn heard(&self, letters: &[Letter]) {
        let mut company = self.company.borrow_mut();
        company.only(&letters.iter().map(|letter| letter.writer).collect::<Vec<_>>());
        letters.iter().for_each(|letter| company.heard(letter.writer, letter.written, letter.held));
    }

    /// Takes this process's letter away: it is over.
    pub fn withdraw(&self) {
        let _ = fs::remove_file(self.desk.own());
    }

    /// Writes and reads letters for as long as the gateway runs, and keeps to what the others leave of the whole.
    pub async fn keep(
        self: Rc<Self>,
        clock: Clock,
        facade: Facade,
        budget: Rc<Budget>,
        names: Rc<HostNames>,
        whole: Rc<Cell<Held>>,
    ) {
        let (mut before, mut most, mut failing) = (0, whole.get(), false);
        loop {
            let now = clock.now();
            let numbers = names.all();
            let held = Held { open: facade.open(), ..budget.held() };
            let (desk, settings, learned_state) =
                (self.desk.clone(), self.settings.get(), facade.learned_state());
            let (owner, writer) = (desk.owner.clone(), desk.writer);
            let bytes =
                Letter { owner, settings, writer, written: now, held, numbers, learned_state }.encode();
            // On a thread of its own: a write takes up to 0.4 s here where the disk is busy, and nobody who is served
            // may wait for it.
            let exchanged = tokio::task::spawn_blocking(move || {
                let written = desk.write(&bytes);
                (written, desk.others(now))
            });
            let Ok((written, (letters, ..))) = exchanged.await else { continue };
            self.heard(&letters);
            match written {
                Ok(()) => failing = false,
                Err(cause) if !std::mem::replace(&mut failing, true) => {
                    log::warn!("cannot leave a letter in {}: {cause}", self.desk.folder.display());
                }
                Err(_) => {}
            }
            let now = clock.now();
            let others = self.company.borrow_mut().others(now);
            if others != std::mem::replace(&mut before, others) {
                log::info!("{others} other processes of this gateway run; what they hold is not held here");
            }
            let left = self.company.borrow_mut().left(now, whole.get());
            if left != std::mem::replace(&mut most, left) {
                budget.limit(left.sockets, left.memory);
                facade.allow_open(left.open as u32);
            }
            clock.sleep_until(now + PACE).await;
        }
    }
}

impl Desk {
    /// Letters that other processes of this gateway left, why some cannot be read, and whose the others are. Old ones of
    /// this gateway are removed.
    fn others(&self, now: Time) -> (Vec<Letter>, Vec<LetterError>, Vec<String>) {
        let (mut letters, mut torn, mut foreign) = (Vec::new(), Vec::new(), Vec::new());
        for path in self.paths() {
            match read(&path) {
                Ok(letter) if letter.owner != self.owner => foreign.push(letter.owner),
                Ok(letter) if letter.writer == self.writer => {}
                Ok(letter) if now.saturating_sub(letter.written) > FORGOTTEN => drop(fs::remove_file(&path)),
                Ok(letter) => letters.push(letter),
                Err(cause) => torn.push(cause),
            }
        }
        (letters, torn, foreign)
    }

    /// The names that letters of this gateway begin with: so many others as there may be, they are found.
    fn prefix(&self) -> String {
        format!("{PREFIX}{:08x}-", mark(&self.owner))
    }

    fn paths(&self) -> Vec<PathBuf> {
        let (mut own, mut rest, prefix) = (Vec::new(), Vec::new(), self.prefix());
        for path in fs::read_dir(&self.folder).into_iter().flatten().flatten().map(|entry| entry.path()) {
            let name = path.file_name().and_then(|name| name.to_str()).filter(|name| name.ends_with(SUFFIX));
            match name {
                Some(name) if name.starts_with(&prefix) && own.len() < MOST_LETTERS => own.push(path),
                Some(name) if name.starts_with(PREFIX) && rest.len() < MOST_LETTERS => rest.push(path),
                _ => {}
            }
        }
        own.extend(rest);
        own
    }

    fn own(&self) -> PathBuf {
        self.folder.join(format!("{}{:016x}{SUFFIX}", self.prefix(), self.writer))
    }

    /// Writes a letter, whole or not at all.
    fn write(&self, bytes: &[u8]) -> std::io::Result<()> {
        let half = self.own().with_extension("half");
        fs::write(&half, bytes)?;
        fs::rename(&half, self.own())
    }
}

fn read(path: &std::path::Path) -> Result<Letter, LetterError> {
    let mut bytes = Vec::new();
    let file = fs::File::open(path).map_err(|_| LetterError::Torn)?;
    file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(|_| LetterError::Torn)?;
    Letter::decode(&bytes)
}
