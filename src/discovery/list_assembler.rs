//! Assembles the lines of a discovery response into JSON texts of endpoint lists. A list is either on one
//! line or pretty-printed over several.

use crate::discovery::http_response::MAX_LINE_BYTES;

/// Maximum length of a list's text (bytes).
const MAX_LIST_BYTES: usize = MAX_LINE_BYTES;

/// The unparsed text of one endpoint list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListText {
    /// A text with balanced brackets, or a line without brackets, which is not a list.
    Complete(Vec<u8>),
    /// A text that ended with open brackets, has an unmatched closing bracket, or exceeds the size limit.
    Truncated,
}

/// Assembles lists line by line. Buffers the text of at most one incomplete list.
#[derive(Debug, Default)]
pub struct ListAssembler {
    text: Vec<u8>,
    /// Number of open brackets.
    depth: usize,
    /// Whether the scan is inside a JSON string.
    is_in_string: bool,
    /// Whether the previous character in the string was an unescaped backslash.
    is_escaped: bool,
}

impl ListAssembler {
    /// Whether no incomplete list is buffered.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Adds a line without its line terminator, and appends the texts that it completes or truncates to
    /// `texts`. An empty line, or a line for which `is_list` returns true, truncates an incomplete list.
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
        // JSON strings cannot contain line breaks.
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

    /// Tracks the brackets and strings of a line. Returns false if a closing bracket is unmatched.
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
