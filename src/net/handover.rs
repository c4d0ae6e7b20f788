//! Letters between the processes of one gateway, as files in the folder that both can write. What they say, and what
//! follows from it, stands in `petrelgauge_handover`.

use crate::facade::Facade;
use crate::net::budget::Budget;
use crate::net::clock::Clock;
use crate::Time;
use petrelgauge_handover::company::{Company, Held, PACE};
use petrelgauge_handover::{Letter, LetterError, MOST_BYTES};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// What a process has learned is of use to the next for so long (microseconds): samples are of the last seconds, roles
/// may have changed since.
const USEFUL: Time = 10_000_000;
/// A letter that nobody has renewed for so long is removed (microseconds).
const FORGOTTEN: Time = 60_000_000;
/// Letters that are read at most (count). There are two processes, three by mistake.
const MOST_LETTERS: usize = 8;
const PREFIX: &str = "petrelgauge-";
const SUFFIX: &str = ".letter";

/// This process's letters, and those of the others.
pub struct Handover {
    folder: PathBuf,
    /// A number that no other process of the gateway has.
    writer: u64,
    company: RefCell<Company>,
}

impl Handover {
    /// Letters in this folder.
    pub fn new(folder: PathBuf, writer: u64) -> Handover {
        Handover { folder, writer, company: RefCell::default() }
    }

    /// The letter of the process that served last, if it is of use, and how old it is.
    pub fn inherit(&self, now: Time) -> Option<(Letter, Time)> {
        let letters = self.others(now).into_iter().filter_map(|letter| {
            let age = letter.age(now, USEFUL);
            age.map(|age| (letter, age)).map_err(|cause| log::warn!("a letter is left aside: {cause}")).ok()
        });
        letters.filter(|(letter, _)| !letter.beliefs.is_empty()).min_by_key(|(_, age)| *age)
    }

    /// Letters of the others that can be read. Also remembers who runs.
    fn others(&self, now: Time) -> Vec<Letter> {
        let (letters, torn) = others(&self.folder, self.writer, now);
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
        let _ = fs::remove_file(own(&self.folder, self.writer));
    }

    /// Writes and reads letters for as long as the gateway runs, and keeps to what the others leave of the whole.
    pub async fn keep(
        self: Rc<Self>,
        clock: Clock,
        facade: Facade,
        budget: Rc<Budget>,
        numbers: Rc<RefCell<BTreeMap<String, u32>>>,
        whole: Rc<Cell<Held>>,
    ) {
        let (mut before, mut most, mut failing) = (0, whole.get(), false);
        loop {
            let now = clock.now();
            let numbers = numbers.borrow().iter().map(|(name, id)| (name.clone(), *id)).collect();
            let held = Held { open: facade.open(), ..budget.held() };
            let letter =
                Letter { writer: self.writer, written: now, held, numbers, beliefs: facade.beliefs() };
            let (folder, writer, bytes) = (self.folder.clone(), self.writer, letter.encode());
            // On a thread of its own: a write takes up to 0.4 s here where the disk is busy, and nobody who is served
            // may wait for it.
            let exchanged = tokio::task::spawn_blocking(move || {
                let written = write(&folder, writer, &bytes);
                (written, others(&folder, writer, now))
            });
            let Ok((written, (letters, _))) = exchanged.await else { continue };
            self.heard(&letters);
            match written {
                Ok(()) => failing = false,
                Err(cause) if !std::mem::replace(&mut failing, true) => {
                    log::warn!("cannot leave a letter in {}: {cause}", self.folder.display());
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

/// Letters in the folder that another than this writer left, and why some cannot be read. Old ones are removed.
fn others(folder: &Path, writer: u64, now: Time) -> (Vec<Letter>, Vec<LetterError>) {
    let (mut letters, mut torn) = (Vec::new(), Vec::new());
    for path in paths(folder) {
        match read(&path) {
            Ok(letter) if letter.writer == writer => {}
            Ok(letter) if now.saturating_sub(letter.written) > FORGOTTEN => drop(fs::remove_file(&path)),
            Ok(letter) => letters.push(letter),
            Err(cause) => torn.push(cause),
        }
    }
    (letters, torn)
}

fn paths(folder: &Path) -> Vec<PathBuf> {
    let named = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name.starts_with(PREFIX) && name.ends_with(SUFFIX))
    };
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    entries.map(|entry| entry.path()).filter(named).take(MOST_LETTERS).collect()
}

fn own(folder: &Path, writer: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{writer:016x}{SUFFIX}"))
}

/// Writes a letter, whole or not at all.
fn write(folder: &Path, writer: u64, bytes: &[u8]) -> std::io::Result<()> {
    let half = folder.join(format!("{PREFIX}{writer:016x}.half"));
    fs::write(&half, bytes)?;
    fs::rename(&half, own(folder, writer))
}

fn read(path: &Path) -> Result<Letter, LetterError> {
    let mut bytes = Vec::new();
    let file = fs::File::open(path).map_err(|_| LetterError::Torn)?;
    file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(|_| LetterError::Torn)?;
    Letter::decode(&bytes)
}
