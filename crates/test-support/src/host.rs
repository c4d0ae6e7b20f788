//! A database host that answers one query after the other from its script. The emulated hosts of the laboratory and of the
//! fault soak answer from their state instead.

use crate::messages::{message, read_message, ready_for_query, row};
use crate::network::ReservedPort;
use crate::reply::Reply;
use crate::time::TEST_TIMEOUT;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A running host.
pub struct Host {
    pub(crate) address: String,
    seen: Receiver<String>,
    ended: Receiver<()>,
    came: Receiver<()>,
    go: Sender<()>,
    count: Cell<usize>,
    /// The port of a host that does not listen.
    _closed_port: Option<ReservedPort>,
}

impl Host {
    /// Starts a host at a free port of this address.
    pub(crate) fn start(ip: Ipv4Addr, script: Vec<Reply>) -> Host {
        Host::slow_from(ip, script, usize::MAX)
    }

    /// The same, but from this connection on, counted from 0, startups are answered only after [`Host::release`].
    pub(crate) fn slow_from(ip: Ipv4Addr, script: Vec<Reply>, slow_from: usize) -> Host {
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

    /// A host that does not listen at its port.
    pub(crate) fn closed(port: ReservedPort) -> Host {
        let address = port.address();
        let (seen, ended, came) = (channel().1, channel().1, channel().1);
        Host { address, seen, ended, came, go: channel().0, count: Cell::new(0), _closed_port: Some(port) }
    }

    /// Waits for the next query and returns it.
    pub fn next_query(&self) -> String {
        self.count.set(self.count.get() + 1);
        self.seen.recv_timeout(TEST_TIMEOUT).expect("a query arrives")
    }

    /// How many queries it has received in all.
    pub fn query_count(&self) -> usize {
        self.count.get() + self.seen.try_iter().count()
    }

    /// The queries that it has received since the last call.
    pub fn new_queries(&self) -> Vec<String> {
        self.seen.try_iter().collect()
    }

    /// Waits for a connection whose startup has to be let go on.
    pub fn next_connection(&self) {
        self.came.recv_timeout(TEST_TIMEOUT).expect("a connection comes");
    }

    /// Waits until a connection to it has ended.
    pub fn wait_for_disconnect(&self) {
        self.ended.recv_timeout(TEST_TIMEOUT).expect("the gateway closes");
    }

    /// Lets what waits for the test go on: a startup of a slow connection, or a reply.
    pub fn release(&self) {
        self.go.send(()).expect("it waits");
    }
}

fn serve(
    mut stream: TcpStream,
    script: &Mutex<impl Iterator<Item = Reply>>,
    saw: &Sender<String>,
    go: &Mutex<Receiver<()>>,
    come: Option<&Sender<()>>,
) {
    if !read_startup(&mut stream) {
        return;
    }
    if let Some(come) = come {
        // One at a time waits, in the order in which the test is notified of them.
        let turn = go.lock().expect("a signal");
        let _ = come.send(());
        turn.recv_timeout(TEST_TIMEOUT).expect("it may go on");
    }
    // The gateway may have closed the connection meanwhile.
    let _ = stream.write_all(&[message(b'R', &[0; 4]), ready_for_query()].concat());
    while let Some((kind, body)) = read_message(&mut stream) {
        assert_eq!(kind, b'Q', "only simple queries");
        let query = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let _ = saw.send(query.clone());
        let Some(reply) = script.lock().expect("a script").next() else { return };
        match send_reply(&mut stream, &query, reply, go) {
            Next::Query => {}
            Next::Close => return,
            Next::Reset => return reset(stream),
        }
    }
}

/// Reads the startup message; false if the connection ends without one.
fn read_startup(stream: &mut TcpStream) -> bool {
    let mut length = [0; 4];
    if stream.read_exact(&mut length).is_err() {
        return false;
    }
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("a startup message");
    true
}

/// What becomes of a connection after a reply.
enum Next {
    Query,
    Close,
    Reset,
}

fn send_reply(stream: &mut TcpStream, query: &str, reply: Reply, go: &Mutex<Receiver<()>>) -> Next {
    let wait_for_go = || go.lock().expect("a signal").recv_timeout(TEST_TIMEOUT).expect("it may go on");
    match reply {
        Reply::NoAnswer => {}
        Reply::NoAnswerTo(text, _) if query.contains(text) => {}
        Reply::Close => return Next::Close,
        Reply::CloseOnRelease => {
            wait_for_go();
            return Next::Close;
        }
        Reply::Bytes(bytes) => {
            let _ = stream.write_all(bytes);
        }
        Reply::BytesThenClose(bytes) => {
            let _ = stream.write_all(bytes);
            return Next::Close;
        }
        Reply::RowThenBytes(value, behind) => {
            let _ = stream.write_all(&[row(value), ready_for_query(), behind.to_vec()].concat());
        }
        Reply::RowInPieces(value, size, apart) => {
            for piece in [row(value), ready_for_query()].concat().chunks(size) {
                let _ = stream.write_all(piece);
                thread::sleep(Duration::from_millis(apart));
            }
        }
        Reply::ResetOnRelease(value) => {
            let _ = stream.write_all(&[row(value), ready_for_query()].concat());
            wait_for_go();
            return Next::Reset;
        }
        complete => {
            if matches!(complete, Reply::WaitForRelease(..) | Reply::RowAtOnRelease(..)) {
                wait_for_go();
            }
            if let Reply::Delayed(delay_ms, _) = complete {
                thread::sleep(Duration::from_millis(delay_ms));
            }
            if stream.write_all(&complete.messages(query)).is_err() {
                return Next::Close;
            }
        }
    }
    Next::Query
}

/// Resets a connection and waits until the reset has arrived. The kernel sends it only when the last copy of the descriptor
/// is closed, and a child process that another thread starts holds one until its `exec`.
fn reset(stream: TcpStream) {
    let (host, gateway) = (stream.local_addr().expect("an address"), stream.peer_addr().expect("an address"));
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(stream);
    let until = Instant::now() + TEST_TIMEOUT;
    while is_connected(gateway, host) {
        assert!(Instant::now() < until, "the reset never arrives");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the kernel's table of TCP sockets has this connection; a reset removes it.
fn is_connected(from: SocketAddr, to: SocketAddr) -> bool {
    let pair = [table_form(from), table_form(to)].join(" ");
    std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&pair)
}

/// An IPv4 address as the kernel's table has it: its four bytes as one number in the machine's byte order.
fn table_form(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("hosts have IPv4 addresses") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
