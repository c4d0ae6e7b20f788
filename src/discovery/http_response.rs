//! An HTTP/1.1 answer of discovery, cut into lines.

use thiserror::Error;

/// Longest head of an answer (bytes).
const MOST_HEAD: usize = 16 * 1024;
/// Longest list, and longest line of one (bytes).
pub(super) const MOST_LINE: usize = 4 * 1024 * 1024;
/// Longest line with the size of a chunk (bytes).
const MOST_CHUNK_SIZE_LINE: usize = 256;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why an answer cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    /// The answer has come to its own end.
    #[error("it is over")]
    Complete,
    /// Discovery has answered, but not with a list.
    #[error("its status is not 200")]
    Refused,
    /// The head is longer than any that is taken.
    #[error("its head is too long")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("its head is not text")]
    HeadNotText,
    /// `Content-Length` is not a number.
    #[error("its length is no number")]
    InvalidLength,
    /// The line with the size of a chunk is longer than any that is taken.
    #[error("a chunk's size is too long")]
    ChunkSizeTooLong,
    /// A chunk has no hexadecimal size.
    #[error("a chunk has no size")]
    InvalidChunkSize,
    /// A chunk is not followed by the end of a line.
    #[error("a chunk does not end where it should")]
    UnterminatedChunk,
    /// A line is longer than any that is taken.
    #[error("a line is too long")]
    LineTooLong,
}

/// Reads an HTTP/1.1 answer and cuts its body into lines.
#[derive(Debug, Default)]
pub struct ResponseReader {
    raw: Vec<u8>,
    part: BodyState,
    line: Vec<u8>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq)]
enum BodyState {
    #[default]
    Head,
    /// Neither chunked nor of a stated length: all that follows is the body.
    Plain,
    /// So many bytes are left of the body.
    Counted(usize),
    Size,
    Data(usize),
    DataEnd,
    Over,
}

impl ResponseReader {
    /// Takes bytes as they come and appends the lines that are complete now, without their ends.
    ///
    /// # Errors
    ///
    /// Fails when the answer is over, or is none that can be read.
    pub fn feed(&mut self, bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), ResponseError> {
        self.raw.extend_from_slice(bytes);
        let mut raw = std::mem::take(&mut self.raw);
        let mut used = 0;
        let read = loop {
            match self.step(&raw[used..], lines) {
                Ok(0) => break Ok(()),
                Ok(count) => used += count,
                Err(cause) => break Err(cause),
            }
        };
        raw.drain(..used);
        self.raw = raw;
        read
    }

    /// Uses up some of the bytes; 0 if more are needed.
    fn step(&mut self, raw: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<usize, ResponseError> {
        match self.part {
            BodyState::Head => self.read_head(raw),
            BodyState::Size => self.read_chunk_size(raw),
            BodyState::Data(left) => {
                let count = left.min(raw.len());
                self.body(&raw[..count], lines)?;
                self.part = if count == left { BodyState::DataEnd } else { BodyState::Data(left - count) };
                Ok(count)
            }
            BodyState::DataEnd if raw.len() < LINE_END.len() => Ok(0),
            BodyState::DataEnd if raw.starts_with(LINE_END) => {
                self.part = BodyState::Size;
                Ok(LINE_END.len())
            }
            BodyState::DataEnd => Err(ResponseError::UnterminatedChunk),
            BodyState::Plain => {
                self.body(raw, lines)?;
                Ok(raw.len())
            }
            BodyState::Counted(left) => {
                let count = left.min(raw.len());
                self.body(&raw[..count], lines)?;
                self.part = if count == left { BodyState::Over } else { BodyState::Counted(left - count) };
                Ok(count)
            }
            BodyState::Over => Err(ResponseError::Complete),
        }
    }

    fn read_head(&mut self, raw: &[u8]) -> Result<usize, ResponseError> {
        let Some(end) = raw.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) else {
            return if raw.len() > MOST_HEAD { Err(ResponseError::HeadTooLong) } else { Ok(0) };
        };
        self.part = head(&raw[..end])?;
        Ok(end + HEAD_END.len())
    }

    fn read_chunk_size(&mut self, raw: &[u8]) -> Result<usize, ResponseError> {
        let Some(end) = raw.windows(LINE_END.len()).position(|bytes| bytes == LINE_END) else {
            let too_long = raw.len() > MOST_CHUNK_SIZE_LINE;
            return if too_long { Err(ResponseError::ChunkSizeTooLong) } else { Ok(0) };
        };
        let digits = raw[..end].split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let text = std::str::from_utf8(digits).unwrap_or_default();
        // A sign, which the parser of numbers takes, is none of the digits.
        let is_hexadecimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let size = usize::from_str_radix(text, 16).ok().filter(|_| is_hexadecimal);
        self.part = match size.ok_or(ResponseError::InvalidChunkSize)? {
            0 => BodyState::Over,
            size => BodyState::Data(size),
        };
        Ok(end + LINE_END.len())
    }

    /// No more comes: the last line, which may lack its end.
    pub fn last(&mut self) -> Option<Vec<u8>> {
        Some(std::mem::take(&mut self.line)).filter(|line| !line.is_empty())
    }

    /// Whether its head was read, and is that of an answer.
    pub fn began(&self) -> bool {
        self.part != BodyState::Head
    }

    fn body(&mut self, mut bytes: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), ResponseError> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&bytes[..end]);
            lines.push(std::mem::take(&mut self.line));
            bytes = &bytes[end + 1..];
        }
        self.line.extend_from_slice(bytes);
        if self.line.len() > MOST_LINE {
            return Err(ResponseError::LineTooLong);
        }
        Ok(())
    }
}

/// What kind of body follows this head.
fn head(head: &[u8]) -> Result<BodyState, ResponseError> {
    let text = std::str::from_utf8(head).map_err(|_| ResponseError::HeadNotText)?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or_default();
    if !status.starts_with("HTTP/1.") || status.split(' ').nth(1) != Some("200") {
        return Err(ResponseError::Refused);
    }
    let mut part = BodyState::Plain;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        if name.eq_ignore_ascii_case("transfer-encoding") && value.trim().eq_ignore_ascii_case("chunked") {
            return Ok(BodyState::Size);
        }
        if name.eq_ignore_ascii_case("content-length") {
            part = match value.trim().parse().map_err(|_| ResponseError::InvalidLength)? {
                0 => BodyState::Over,
                length => BodyState::Counted(length),
            };
        }
    }
    Ok(part)
}
