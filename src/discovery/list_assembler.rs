//! ResponseReader of discovery, put together to lists.

use crate::discovery::http_response::MOST_LINE;

/// A list as it was written, on one line or indented over several.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListText {
    /// A whole value, or a line that is none.
    Complete(Vec<u8>),
    /// One that was begun and does not go on.
    Truncated,
}

/// Puts lines together to lists. Holds one list that is not whole, of the longest size at most.
#[derive(Debug, Default)]
pub struct ListAssembler {
    text: Vec<u8>,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl ListAssembler {
    /// Nothing was begun.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Takes a line, without its end. `is_list` tells a list by itself from a row of one.
    pub fn line(&mut self, line: &[u8], is_list: impl Fn(&[u8]) -> bool, texts: &mut Vec<ListText>) {
        let open = !self.text.is_empty();
        // The empty line between two lists cannot stand in one.
        let ends = line.trim_ascii().is_empty();
        if open && (ends || line.starts_with(b"{") && is_list(line)) {
            *self = ListAssembler::default();
            texts.push(ListText::Truncated);
        }
        if ends {
            return;
        }
        self.text.extend_from_slice(line);
        self.text.push(b'\n');
        // A string does not go on over the end of a line.
        if !self.scan(line) || self.quoted || self.text.len() > MOST_LINE {
            *self = ListAssembler::default();
            texts.push(ListText::Truncated);
        } else if self.depth == 0 {
            texts.push(ListText::Complete(std::mem::take(self).text));
        }
    }

    /// False if more is closed than was opened.
    fn scan(&mut self, line: &[u8]) -> bool {
        for byte in line {
            match (byte, self.quoted) {
                _ if self.escaped => self.escaped = false,
                (b'\\', true) => self.escaped = true,
                (b'"', _) => self.quoted = !self.quoted,
                (_, true) => {}
                (b'{' | b'[', false) => self.depth += 1,
                (b'}' | b']', false) => match self.depth.checked_sub(1) {
                    Some(depth) => self.depth = depth,
                    None => return false,
                },
                _ => {}
            }
        }
        true
    }
}
