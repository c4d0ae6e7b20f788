//! Incremental parser for HTTP/1.1 responses whose body is a sequence of lines.

use thiserror::Error;

/// Maximum length of a response head (bytes).
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of a body line (bytes). A complete endpoint list may be a single line.
pub(super) const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a chunk size line (bytes).
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reason why reading a response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The body is complete.
    #[error("the response has ended")]
    Complete,
    /// The status is not 200.
    #[error("the response status is not 200")]
    Rejected,
    /// The head is longer than the limit.
    #[error("the response head is too long")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("the response head is not UTF-8")]
    HeadNotText,
    /// `Content-Length` is not a number.
    #[error("the response has an invalid Content-Length")]
    InvalidLength,
    /// A chunk size line is longer than the limit.
    #[error("a chunk size line is too long")]
    ChunkSizeTooLong,
    /// A chunk size is not a hexadecimal number.
    #[error("a chunk size is not a hexadecimal number")]
    InvalidChunkSize,
    /// The data of a chunk is not followed by CRLF.
    #[error("the data of a chunk is not followed by CRLF")]
    UnterminatedChunk,
    /// A line of the body is longer than the limit.
    #[error("a line of the response is too long")]
    LineTooLong,
}

/// Incremental parser of one response. Its memory is bounded by the maximum lengths of a head and of a line.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// Received bytes that have not been parsed yet.
    unparsed: Vec<u8>,
    state: ReadState,
    /// The incomplete line at the end of the parsed body.
    line: Vec<u8>,
}

/// The part of the response that the next unparsed byte belongs to.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum ReadState {
    #[default]
    Head,
    /// A body that ends when the connection is closed.
    UntilClose,
    /// A body with `Content-Length` and this many bytes left.
    FixedLength(usize),
    ChunkSize,
    /// A chunk with this many bytes left.
    ChunkData(usize),
    /// The CRLF after the data of a chunk.
    ChunkEnd,
    Complete,
}

impl ResponseReader {
    /// Parses the next `bytes` of the response and appends the body lines that are now complete to `lines`,
    /// without their line terminators.
    ///
    /// # Errors
    ///
    /// Fails if the body is complete or the response is malformed. Lines parsed before that are still
    /// appended.
    pub fn feed(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), ResponseError> {
        self.unparsed.extend_from_slice(bytes);
        let mut unparsed = std::mem::take(&mut self.unparsed);
        let mut parsed_count = 0;
        let result = loop {
            match self.step(&unparsed[parsed_count..], lines) {
                Ok(0) => break Ok(()),
                Ok(count) => parsed_count += count,
                Err(cause) => break Err(cause),
            }
        };
        unparsed.drain(..parsed_count);
        self.unparsed = unparsed;
        result
    }

    /// Takes the incomplete line that is left after the end of the response, if there is one.
    pub fn take_unterminated_line(&mut self) -> Option<Vec<u8>> {
        Some(std::mem::take(&mut self.line)).filter(|line| !line.is_empty())
    }

    /// Whether a head with status 200 has been read.
    pub fn has_read_head(&self) -> bool {
        self.state != ReadState::Head
    }

    /// Makes one state transition. Returns the number of bytes parsed, or 0 if more bytes are needed.
    fn step(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<usize, ResponseError> {
        match self.state {
            ReadState::Head => self.read_head(bytes),
            ReadState::ChunkSize => self.read_chunk_size(bytes),
            ReadState::ChunkData(left) => {
                let count = left.min(bytes.len());
                self.read_body(&bytes[..count], lines)?;
                self.state =
                    if count == left { ReadState::ChunkEnd } else { ReadState::ChunkData(left - count) };
                Ok(count)
            }
            ReadState::ChunkEnd if bytes.len() < LINE_END.len() => Ok(0),
            ReadState::ChunkEnd if bytes.starts_with(LINE_END) => {
                self.state = ReadState::ChunkSize;
                Ok(LINE_END.len())
            }
            ReadState::ChunkEnd => Err(ResponseError::UnterminatedChunk),
            ReadState::UntilClose => {
                self.read_body(bytes, lines)?;
                Ok(bytes.len())
            }
            ReadState::FixedLength(left) => {
                let count = left.min(bytes.len());
                self.read_body(&bytes[..count], lines)?;
                self.state =
                    if count == left { ReadState::Complete } else { ReadState::FixedLength(left - count) };
                Ok(count)
            }
            ReadState::Complete => Err(ResponseError::Complete),
        }
    }

    fn read_head(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let Some(end) = position(bytes, HEAD_END) else {
            return if bytes.len() > MAX_HEAD_BYTES { Err(ResponseError::HeadTooLong) } else { Ok(0) };
        };
        self.state = state_after_head(&bytes[..end])?;
        Ok(end + HEAD_END.len())
    }

    fn read_chunk_size(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let Some(end) = position(bytes, LINE_END) else {
            let is_too_long = bytes.len() > MAX_CHUNK_SIZE_LINE_BYTES;
            return if is_too_long { Err(ResponseError::ChunkSizeTooLong) } else { Ok(0) };
        };
        self.state = match parse_chunk_size(&bytes[..end])? {
            0 => ReadState::Complete,
            size => ReadState::ChunkData(size),
        };
        Ok(end + LINE_END.len())
    }

    fn read_body(&mut self, mut bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), ResponseError> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            lines.push(std::mem::take(&mut self.line));
            bytes = &bytes[end + 1..];
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(ResponseError::LineTooLong);
        }
        Ok(())
    }
}

fn position(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// Parses a chunk size line, ignoring chunk extensions.
fn parse_chunk_size(line: &[u8]) -> Result<usize, ResponseError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    // `from_str_radix` also accepts a sign, which is invalid here.
    let is_hexadecimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = usize::from_str_radix(text, 16).ok().filter(|_| is_hexadecimal);
    size.ok_or(ResponseError::InvalidChunkSize)
}

/// Determines from a head, without its final empty line, how the body is delimited.
fn state_after_head(head: &[u8]) -> Result<ReadState, ResponseError> {
    let text = std::str::from_utf8(head).map_err(|_| ResponseError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let status_line = lines.next().unwrap_or_default();
    if !status_line.starts_with("HTTP/1.") || status_line.split(' ').nth(1) != Some("200") {
        return Err(ResponseError::Rejected);
    }
    let mut state = ReadState::UntilClose;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        // Chunked encoding overrides Content-Length (RFC 9112, section 6.3).
        if name.eq_ignore_ascii_case("transfer-encoding") && value.trim().eq_ignore_ascii_case("chunked") {
            return Ok(ReadState::ChunkSize);
        }
        if name.eq_ignore_ascii_case("content-length") {
            state = match value.trim().parse().map_err(|_| ResponseError::InvalidLength)? {
                0 => ReadState::Complete,
                length => ReadState::FixedLength(length),
            };
        }
    }
    Ok(state)
}
