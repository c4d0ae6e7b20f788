//! A discovery that brings lists of hosts as a test has them.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// Serves one watch after the other; the updates go to the first. Gives the heads of the watches, and what ends each.
pub(crate) fn source(
    listener: TcpListener,
    updates: Vec<String>,
    later_updates: Vec<String>,
) -> (Receiver<String>, Sender<()>) {
    let ((saw, watches), (end_watch, ends)) = (channel(), channel());
    let (mut updates, mut later_updates) = (updates, later_updates);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (updates, later_updates) = (std::mem::take(&mut updates), std::mem::take(&mut later_updates));
            watch(stream.expect("a watch"), [updates, later_updates], &saw, &ends);
        }
    });
    (watches, end_watch)
}

/// Serves one watch: its updates at once, more when the test says so, and the empty line that shows that it
/// lives. When the test says so again, it ends.
pub(crate) fn watch(
    mut stream: TcpStream,
    updates: [Vec<String>; 2],
    saw: &Sender<String>,
    ends: &Receiver<()>,
) {
    let mut head = String::new();
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    while !head.ends_with("\r\n\r\n") {
        if lines.read_line(&mut head).unwrap_or(0) == 0 {
            return;
        }
    }
    let _ = saw.send(head);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let [updates, later_updates] = updates;
    write_updates(&mut stream, &updates);
    if !later_updates.is_empty() {
        write_heartbeats(&mut stream, ends);
        write_updates(&mut stream, &later_updates);
    }
    write_heartbeats(&mut stream, ends);
}

fn write_updates(stream: &mut TcpStream, lines: &[String]) {
    for line in lines {
        let _ = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }
}

/// Writes the empty line until the test says that it goes on.
fn write_heartbeats(stream: &mut TcpStream, go_on: &Receiver<()>) {
    while stream.write_all(b"1\r\n\n\r\n").is_ok() && go_on.recv_timeout(Duration::from_secs(1)).is_err() {}
}
