//! A database host that takes one query after the other from its script.

use super::{message, read_message, ReservedPort, NEVER};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a scripted host does with a query.
pub enum Reply {
    Row(&'static [u8]),
    /// A row at this position, in Unix milliseconds.
    RowAt(&'static [u8], u64),
    /// The same from a replica.
    ReplicaAt(&'static [u8], u64),
    /// A row of a host whose clock shows `ahead` milliseconds more than the machine's, at the position of this moment.
    RowByClock(&'static [u8], i64),
    /// The same from a replica that is so many milliseconds behind, in the second place.
    ReplicaByClock(&'static [u8], i64, i64),
    /// A row, and these bytes right behind it.
    Surplus(&'static [u8], &'static [u8]),
    /// These bytes and no more.
    Bytes(&'static [u8]),
    /// These bytes, and the connection's end.
    Cut(&'static [u8]),
    /// A row, in so many bytes at a time and so many milliseconds apart.
    Pieces(&'static [u8], usize, u64),
    /// A row, and the connection reset when the test says so.
    ResetOnGo(&'static [u8]),
    WaitForGo(&'static [u8]),
    /// The same, at this position.
    RowAtOnGo(&'static [u8], u64),
    /// No answer, and the connection closed when the test says so.
    CloseOnGo,
    Error(&'static str),
    /// The same from a replica at this position.
    ErrorAt(&'static str, u64),
    Close,
    Nothing,
    /// No answer to a query that holds this text, and a row to another.
    NothingTo(&'static str, &'static [u8]),
    /// A row with the query's own text, from a host in this role.
    Echo(&'static str),
}

/// A database host that takes one query after the other from its script.
pub struct Host {
    pub(super) address: String,
    pub(super) seen: Receiver<String>,
    pub(super) ended: Receiver<()>,
    pub(super) came: Receiver<()>,
    pub(super) go: Sender<()>,
    pub(super) count: Cell<usize>,
    /// Of a host that does not listen: its port.
    pub(super) _closed_port: Option<ReservedPort>,
}

impl Host {
    pub(super) fn start(ip: &str, script: Vec<Reply>) -> Host {
        Host::slow_from(ip, script, usize::MAX)
    }

    /// From this connection on, counted from 0, it welcomes none before the test says so.
    pub(super) fn slow_from(ip: &str, script: Vec<Reply>, slow_from: usize) -> Host {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let ((saw, seen), (end, ended), (go, gone), (come, came)) =
            (channel(), channel(), channel(), channel());
        // Its connections share the script: whichever gets a query takes the next line.
        let (script, gone) = (Arc::new(Mutex::new(script.into_iter())), Arc::new(Mutex::new(gone)));
        thread::spawn(move || {
            for (place, stream) in listener.incoming().enumerate() {
                let (script, saw, gone, end) = (script.clone(), saw.clone(), gone.clone(), end.clone());
                let come = (place >= slow_from).then(|| come.clone());
                thread::spawn(move || {
                    serve(stream.expect("a connection"), &script, &saw, &gone, come.as_ref());
                    let _ = end.send(());
                });
            }
        });
        Host { address, seen, ended, came, go, count: Cell::new(0), _closed_port: None }
    }

    /// The next query that it got.
    pub fn next_query(&self) -> String {
        self.count.set(self.count.get() + 1);
        self.seen.recv_timeout(NEVER).expect("a query arrives")
    }

    /// How many it got in all.
    pub fn queries(&self) -> usize {
        self.count.get() + self.seen.try_iter().count()
    }

    /// The queries that it got and nobody has taken.
    pub fn queries_by_now(&self) -> Vec<String> {
        self.seen.try_iter().collect()
    }

    /// A connection waits to be welcomed.
    pub fn next_connection(&self) {
        self.came.recv_timeout(NEVER).expect("a connection comes");
    }

    /// A connection to it has ended.
    pub fn wait_for_disconnect(&self) {
        self.ended.recv_timeout(NEVER).expect("the gateway closes");
    }

    pub fn go(&self) {
        self.go.send(()).expect("it waits");
    }
}

#[expect(clippy::too_many_lines, reason = "to be split by its steps")]
fn serve(
    mut stream: TcpStream,
    script: &Mutex<impl Iterator<Item = Reply>>,
    saw: &Sender<String>,
    go: &Mutex<Receiver<()>>,
    come: Option<&Sender<()>>,
) {
    let mut length = [0; 4];
    if stream.read_exact(&mut length).is_err() {
        return;
    }
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("a startup message");
    let ready = message(b'Z', b"I");
    let welcome = [message(b'R', &[0; 4]), ready.clone()].concat();
    if let Some(come) = come {
        // One at a time waits to be let go on, in the order in which the test hears of them.
        let turn = go.lock().expect("a signal");
        let _ = come.send(());
        turn.recv_timeout(NEVER).expect("it may go on");
    }
    // The gateway may have left meanwhile.
    let _ = stream.write_all(&welcome);
    while let Some((kind, body)) = read_message(&mut stream) {
        assert_eq!(kind, b'Q', "only simple queries");
        let query = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let _ = saw.send(query.clone());
        let reply = script.lock().expect("a script").next();
        let role = match reply {
            Some(Reply::ReplicaAt(..) | Reply::ReplicaByClock(..) | Reply::ErrorAt(..)) => "standby",
            Some(Reply::Echo(role)) => role,
            _ => "primary",
        };
        let answer = match reply {
            Some(Reply::Row(value)) => row(value),
            Some(Reply::RowAt(value, at) | Reply::ReplicaAt(value, at)) => {
                [row(value), message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Reply::RowByClock(value, ahead)) => row_by_clock(value, ahead),
            Some(Reply::ReplicaByClock(value, ahead, behind)) => row_by_clock(value, ahead - behind),
            Some(Reply::Bytes(bytes)) => {
                let _ = stream.write_all(bytes);
                continue;
            }
            Some(Reply::Surplus(value, behind)) => {
                let _ = stream.write_all(&[row(value), ready.clone(), behind.to_vec()].concat());
                continue;
            }
            Some(Reply::Cut(bytes)) => {
                let _ = stream.write_all(bytes);
                return;
            }
            Some(Reply::Pieces(value, size, apart)) => {
                let complete = [row(value), ready.clone()].concat();
                for piece in complete.chunks(size) {
                    let _ = stream.write_all(piece);
                    thread::sleep(Duration::from_millis(apart));
                }
                continue;
            }
            Some(Reply::ResetOnGo(value)) => {
                let _ = stream.write_all(&[row(value), ready.clone()].concat());
                go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
                return reset(stream);
            }
            Some(Reply::WaitForGo(value)) => {
                go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
                row(value)
            }
            Some(Reply::RowAtOnGo(value, at)) => {
                go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
                [row(value), message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Reply::CloseOnGo) => {
                return go.lock().expect("a signal").recv_timeout(NEVER).expect("it may go on");
            }
            Some(Reply::Error(code)) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
            Some(Reply::ErrorAt(code, at)) => {
                let error = message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
                [error, message(b'S', format!("log_position\0{at}\0").as_bytes())].concat()
            }
            Some(Reply::Nothing) => continue,
            Some(Reply::NothingTo(text, _)) if query.contains(text) => continue,
            Some(Reply::NothingTo(_, value)) => row(value),
            Some(Reply::Echo(_)) => row(query.as_bytes()),
            Some(Reply::Close) | None => return,
        };
        let role_status = message(b'S', format!("replication_role\0{role}\0").as_bytes());
        if stream.write_all(&[answer, role_status, ready.clone()].concat()).is_err() {
            return;
        }
    }
}

/// Resets a connection, and waits until the reset has reached the gateway's socket. It is sent only when the last copy
/// of the descriptor is closed, and a child process that another thread of the tests starts has one until its `exec`.
fn reset(stream: TcpStream) {
    let (host, gateway) = (stream.local_addr().expect("an address"), stream.peer_addr().expect("an address"));
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(stream);
    let until = Instant::now() + NEVER;
    while is_connected(gateway, host) {
        assert!(Instant::now() < until, "the reset never arrives");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the kernel's table of TCP sockets has one from here to there. One that was reset is taken out of it.
fn is_connected(from: SocketAddr, to: SocketAddr) -> bool {
    let pair = [table_form(from), table_form(to)].join(" ");
    std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&pair)
}

/// An IPv4 address as the kernel's table has it: its four bytes as a number of the machine's byte order.
fn table_form(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("hosts have IPv4 addresses") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}

/// A row at the machine's time, this much later (milliseconds).
fn row_by_clock(value: &[u8], later: i64) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as i64;
    [row(value), message(b'S', format!("log_position\0{}\0", now + later).as_bytes())].concat()
}

pub fn row(value: &[u8]) -> Vec<u8> {
    let description = message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [description, message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}
