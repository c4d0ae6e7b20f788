//! The wire form of endpoint lists, as the emulated list services send them: lines of JSON in chunks of one HTTP response.

use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Head of the response to every request.
pub const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The chunk that ends a response.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Longest head of a request.
const MAX_REQUEST_HEAD: usize = 8_192;

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the host.
    pub name: String,
    /// Where the host listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: char,
    /// The kind of machine, where the list says it.
    pub machine_type: Option<&'static str>,
    /// Its replicated group.
    pub group: u64,
    /// It is draining.
    pub draining: bool,
    /// It is the primary of its group.
    pub primary: bool,
    /// When it was started (milliseconds); 0 for long ago.
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

/// A line of the list: the complete list, or the entries that changed.
pub fn list_line(revision: u64, complete: bool, entries: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{entries}]}}"#)
}

/// A chunk of the response with this text.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A chunk with this line and its end; an empty line is a heartbeat.
pub fn line_chunk(line: &str) -> Vec<u8> {
    chunk(&format!("{line}\n"))
}

/// Reads the head of a request; none if the connection ends before it or the head is too long.
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
