//! Assembles the lines of a discovery response into the texts of endpoint lists, each on one line or indented
//! over several.

use crate::discovery::http_response::MAX_LINE_BYTES;

/// Longest text of a list (bytes).
const MAX_LIST_BYTES: usize = MAX_LINE_BYTES;

/// The text of one endpoint list, not parsed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListText {
    /// A text whose brackets match; or a line that opens none, which is no list.
    Complete(Vec<u8>),
    /// A text that ended before its brackets were closed, closed one too many, or exceeded the size limit.
    Truncated,
}

/// Assembles lists line by line. Holds the text of at most one incomplete list.
#[derive(Debug, Default)]
pub struct ListAssembler {
    text: Vec<u8>,
    /// Brackets that are open.
    depth: usize,
    /// Whether the scan is inside a JSON string, and behind a backslash in it.
    is_in_string: bool,
    is_escaped: bool,
}

impl ListAssembler {
    /// Whether no list has begun.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Adds a line without its line end, and appends what it completes or cuts off to `texts`. An empty line,
    /// or a line that is a list by itself according to `is_list`, ends an incomplete list.
    pub fn add_line(&mut self, line: &[u8], is_list: impl Fn(&[u8]) -> bool, texts: &mut Vec<ListText>) {
        let is_empty_line = line.trim_ascii().is_empty();
        if !self.is_empty() && (is_empty_line || line.starts_with(b"{") && is_list(line)) {
            self.truncate(texts);
        }
        if is_empty_line {
            return;
        }
        self.text.extend_from_slice(line);
        self.text.push(b'\n');
        let is_balanced = self.scan(line);
        // JSON strings contain no line ends.
        if !is_balanced || self.is_in_string || self.text.len() > MAX_LIST_BYTES {
            self.truncate(texts);
        } else if self.depth == 0 {
            texts.push(ListText::Complete(std::mem::take(self).text));
        }
    }

    fn truncate(&mut self, texts: &mut Vec<ListText>) {
        *self = ListAssembler::default();
        texts.push(ListText::Truncated);
    }

    /// Follows the brackets and strings of a line. Returns whether no bracket is closed that was not opened.
    fn scan(&mut self, line: &[u8]) -> bool {
        for byte in line {
            match (byte, self.is_in_string) {
                _ if self.is_escaped => self.is_escaped = false,
                (b'\\', true) => self.is_escaped = true,
                (b'"', _) => self.is_in_string = !self.is_in_string,
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
