//! Tracks under which settings a client's messages were received, while they wait in the gateway or in the
//! kernel.
//!
//! A change of the settings is a position in the client's stream of bytes: what had been received when it
//! took effect, read or not, belongs to the settings before it. A message belongs to the settings under which
//! its last byte was received.
//!
//! **Bounds.** The settings in force, and one earlier version for each change since the oldest byte that is
//! not parsed: at most [`MAX_EARLIER`].

use std::collections::VecDeque;

/// Most earlier settings that are told apart. Bytes between two further changes count as received before both.
pub const MAX_EARLIER: usize = 64;

/// The settings of the bytes of one connection. `S` names or holds a version of the settings.
#[derive(Clone, Debug)]
pub struct ReceivedSettings<S> {
    /// Number of bytes read so far.
    read: u64,
    /// Earlier settings of bytes that are not parsed, oldest first.
    earlier: VecDeque<Earlier<S>>,
    in_force: S,
}

#[derive(Clone, Debug)]
struct Earlier<S> {
    settings: S,
    /// Number of bytes received when these settings were replaced.
    end: u64,
}

impl<S: Clone> ReceivedSettings<S> {
    /// A connection from which nothing was read, under the settings in force.
    pub fn new(in_force: S) -> ReceivedSettings<S> {
        ReceivedSettings { read: 0, earlier: VecDeque::new(), in_force }
    }

    /// Records that this number of bytes was read.
    pub fn on_read(&mut self, count: usize) {
        self.read += count as u64;
    }

    /// Records a change of the settings. `unparsed` is the number of bytes that were read and not parsed,
    /// `unread` the number of those that wait in the kernel.
    pub fn on_change(&mut self, unparsed: usize, unread: usize, in_force: S) {
        let end = self.read + unread as u64;
        let start = self.earlier.back().map_or(self.read - unparsed as u64, |last| last.end);
        let settings = std::mem::replace(&mut self.in_force, in_force);
        if end <= start {
            return;
        }
        if self.earlier.len() < MAX_EARLIER {
            self.earlier.push_back(Earlier { settings, end });
        } else if let Some(last) = self.earlier.back_mut() {
            last.end = end;
        }
    }

    /// The settings of the message that was parsed last. `unparsed` is the number of bytes that were read
    /// behind it.
    pub fn of_message(&mut self, unparsed: usize) -> S {
        let end = self.read - unparsed as u64;
        while self.earlier.front().is_some_and(|earlier| earlier.end < end) {
            self.earlier.pop_front();
        }
        self.earlier.front().map_or(&self.in_force, |earlier| &earlier.settings).clone()
    }
}
