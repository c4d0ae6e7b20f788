//! The wire format of endpoint lists, as the emulated list services send them: lines of JSON in the chunks of
//! one HTTP response.

use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Response head for every request.
pub const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The chunk that ends a response.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Maximum length of a request head (bytes).
const MAX_REQUEST_HEAD: usize = 8_192;

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the host.
    pub name: String,
    /// The address on which the host listens.
    pub address: SocketAddr,
    /// Zone of the host.
    pub zone: char,
    /// The machine type, if the list states it.
    pub machine_type: Option<&'static str>,
    /// Replicated group of the host.
    pub group: u64,
    /// Whether the host is draining.
    pub draining: bool,
    /// Whether the host is the primary of its group.
    pub primary: bool,
    /// Start time of the host, the value of `up_since_ms` (milliseconds); 0 for long ago.
    pub started_ms: i64,
}

impl Endpoint {
    /// The entry as JSON.
    pub fn json(&self) -> String {
        let Endpoint { name, address, zone, machine_type, group, draining, primary, started_ms } = self;
        let flavor = machine_type.map_or(String::new(), |name| format!(r#""flavor":"{name}","#));
        let phase = if *draining { "draining" } else { "up" };
        let role = if *primary { "primary" } else { "standby" };
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"{zone}",{flavor}"cell":{group},"phase":"{phase}","replication":"{role}","size":1.0,"up_since_ms":{started_ms}}}"#
        )
    }
}

/// A line of the response: the complete list, or the changed entries.
pub fn list_line(revision: u64, complete: bool, entries: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{entries}]}}"#)
}

/// Encodes a text as one chunk of the response.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Encodes a line, with its newline, as one chunk. An empty line is a heartbeat.
pub fn line_chunk(line: &str) -> Vec<u8> {
    chunk(&format!("{line}\n"))
}

/// Reads the head of a request; none if the connection ends first or the head is too long.
pub async fn read_request_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut buffer) = (Vec::new(), [0; 512]);
    while !head.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 || head.len() > MAX_REQUEST_HEAD {
            return None;
        }
        head.extend_from_slice(&buffer[..count]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
