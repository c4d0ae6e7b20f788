//! HTTP requests for endpoint lists: for the complete list, or a watch, whose response does not end.

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::http_response::{ResponseError, ResponseReader};
use crate::discovery::list_assembler::{ListAssembler, ListText};
use crate::os::clock::Clock;
use crate::os::socket::{self, ByteStream, SocketError};
use crate::Time;
use petrelgauge_lifecycle::watch::WATCH_TIMEOUT;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;

/// Maximum size of one read from the connection (bytes).
const MAX_READ_BYTES: usize = 16 * 1024;

/// Reason why a request to discovery has ended.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Connecting and sending the request took longer than [`WATCH_TIMEOUT`].
    #[error("connecting to discovery timed out")]
    ConnectTimeout,
    /// The connection cannot be established or has failed.
    #[error(transparent)]
    Socket(#[from] SocketError),
    /// Discovery closed the connection.
    #[error("discovery closed the connection")]
    Closed,
    /// No line was received within [`WATCH_TIMEOUT`].
    #[error("no line received from discovery within the watch timeout")]
    Silent,
    /// The response is complete or malformed.
    #[error(transparent)]
    Response(#[from] ResponseError),
}

impl RequestError {
    /// Whether the response was malformed or had a status other than 200.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(self, RequestError::Response(cause) if *cause != ResponseError::Complete)
    }

    /// Whether discovery rejected the request with a status other than 200.
    pub(super) fn is_rejection(&self) -> bool {
        matches!(self, RequestError::Response(ResponseError::Rejected))
    }
}

/// The kind of list request.
#[derive(Clone, Copy)]
pub(super) enum ListQuery {
    /// The complete list, once.
    Complete,
    /// A watch that starts with the complete list and continues with every change.
    Watch,
    /// A watch that starts with the changes after this revision.
    WatchAfter(u64),
}

impl ListQuery {
    fn path(self) -> String {
        match self {
            ListQuery::Complete => "/discovery/hosts".to_string(),
            ListQuery::Watch => "/discovery/hosts?watch=1".to_string(),
            ListQuery::WatchAfter(revision) => format!("/discovery/hosts?watch=1&after={revision}"),
        }
    }
}

/// Waits until `starts_at` on the clock, then requests the complete list.
pub(super) async fn fetch_complete_list(
    address: SocketAddr,
    starts_at: Time,
    clock: Clock,
) -> Result<EndpointList, RequestError> {
    clock.sleep_until(starts_at).await;
    let stream = open_request(address, ListQuery::Complete, clock).await?;
    let mut response = ListResponse::default();
    loop {
        let read = response.read(&stream, clock).await;
        if let Some(list) = response.take_texts().iter().find_map(parse_complete_text) {
            return Ok(list);
        }
        read?;
    }
}

fn parse_complete_text(text: &ListText) -> Option<EndpointList> {
    match text {
        ListText::Complete(text) => serde_json::from_slice(text).ok(),
        ListText::Truncated => None,
    }
}

/// Connects to discovery and sends a request.
pub(super) async fn open_request(
    address: SocketAddr,
    query: ListQuery,
    clock: Clock,
) -> Result<TcpStream, RequestError> {
    let request = format!("GET {} HTTP/1.1\r\nHost: {address}\r\n\r\n", query.path());
    let opened = async {
        let stream = socket::connect(address).await?;
        socket::write_all(&stream, &mut request.as_bytes()).await?;
        Ok::<TcpStream, SocketError>(stream)
    };
    tokio::select! {
        stream = opened => Ok(stream?),
        () = clock.sleep_until(clock.now() + WATCH_TIMEOUT) => Err(RequestError::ConnectTimeout),
    }
}

/// Reads a response and assembles the endpoint lists in it.
#[derive(Default)]
pub struct ListResponse {
    reader: ResponseReader,
    assembler: ListAssembler,
    texts: Vec<ListText>,
    /// Number of bytes read since the last call of `take_byte_count`.
    uncounted_bytes: usize,
    /// When the last line or the head was received; before that, the time of the first read.
    last_line_at: Option<Time>,
}

impl ListResponse {
    /// Reads once from `stream`. Cancel safe: no bytes are lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the response has ended for any reason. A last line without a line terminator is still used if
    /// it is a list or completes one.
    pub async fn read(&mut self, stream: &impl ByteStream, clock: Clock) -> Result<(), RequestError> {
        let silent_at = *self.last_line_at.get_or_insert_with(|| clock.now()) + WATCH_TIMEOUT;
        let mut bytes = [0; MAX_READ_BYTES];
        let read = tokio::select! {
            biased;
            count = socket::read(stream, &mut bytes) => match count {
                Ok(0) => Err(RequestError::Closed),
                Ok(count) => self.feed(&bytes[..count], clock),
                Err(cause) => Err(cause.into()),
            },
            () = clock.sleep_until(silent_at) => Err(RequestError::Silent),
        };
        if read.is_err() {
            self.add_unterminated_line();
        }
        read
    }

    /// The texts of lists that have ended and have not been taken yet.
    pub fn texts(&self) -> &[ListText] {
        &self.texts
    }

    /// Takes the texts of lists that have ended since the last call.
    pub(super) fn take_texts(&mut self) -> Vec<ListText> {
        std::mem::take(&mut self.texts)
    }

    /// Returns the number of bytes read since the last call.
    pub(super) fn take_byte_count(&mut self) -> usize {
        std::mem::take(&mut self.uncounted_bytes)
    }

    /// Whether discovery has answered the request with status 200.
    pub(super) fn is_accepted(&self) -> bool {
        self.reader.has_read_head()
    }

    fn feed(&mut self, bytes: &[u8], clock: Clock) -> Result<(), RequestError> {
        self.uncounted_bytes += bytes.len();
        let was_accepted = self.is_accepted();
        let mut lines = Vec::new();
        let read = self.reader.feed(bytes, &mut lines);
        if !lines.is_empty() || was_accepted != self.is_accepted() {
            self.last_line_at = Some(clock.now());
        }
        lines.iter().for_each(|line| self.add_line(line));
        Ok(read?)
    }

    fn add_unterminated_line(&mut self) {
        let Some(line) = self.reader.take_unterminated_line() else { return };
        if is_list(&line) || !self.assembler.is_empty() {
            self.add_line(&line);
        }
    }

    fn add_line(&mut self, line: &[u8]) {
        self.assembler.add_line(line, is_list, &mut self.texts);
    }
}

fn is_list(line: &[u8]) -> bool {
    serde_json::from_slice::<EndpointList>(line).is_ok()
}
