//! A gateway process with an emulated host, usual clients whose answers are recorded, and the highest private
//! memory of the process.

use petrelgauge_test_support::{
    block_on, field, gateway_program, message, ready_for_query, row, Connection, Gateway, Harness,
    HostConnection,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// The smallest limits of the deployment pages: memory (MiB), and the most descriptors.
pub const MEMORY_MB: usize = 32;
pub const DESCRIPTORS: usize = 1024;
/// Clients with requests hold at most a third of the descriptors.
pub const MOST_CLIENTS: usize = DESCRIPTORS / 3;
/// Usual clients beside a crowd.
pub const USUAL_CLIENTS: usize = 10;
/// Clients of a crowd: with the usual ones, as many as may hold connections.
pub const CROWD: usize = MOST_CLIENTS - USUAL_CLIENTS;
/// Clients of a crowd that connect at once, and the time between such waves.
const WAVE: usize = 15;
const WAVE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a usual client waits for an answer, and by when it must have one at the latest.
const USUAL_WAIT: Duration = Duration::from_millis(1_200);
const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// Stages that run at once: each keeps some cores busy.
const MAX_STAGES: usize = 3;
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const BYTES_PER_MIB: usize = 1024 * 1024;

/// What a host does with a query.
#[derive(Clone, Copy)]
pub enum HostAnswer {
    /// Answers with a row of this many bytes, after a delay.
    Row { bytes: usize, after: Duration },
    /// Sends nothing.
    Silence,
    /// Sends a message that is announced and never completed: this many bytes of a notice of the longest
    /// length.
    HalfMessage { bytes: usize },
}

/// Chooses what a host does with a query.
pub type AnswerChoice = fn(&str) -> HostAnswer;

/// Number of stages that run now.
static STAGES: Mutex<usize> = Mutex::new(0);
/// Notified when a stage has ended.
static STAGE_ENDED: Condvar = Condvar::new();

/// One of the [`MAX_STAGES`] places, free again when it is dropped.
struct Place;

impl Place {
    fn wait() -> Place {
        let is_full = |stages: &mut usize| *stages >= MAX_STAGES;
        let stages = STAGES.lock().unwrap_or_else(PoisonError::into_inner);
        let mut stages = STAGE_ENDED.wait_while(stages, is_full).unwrap_or_else(PoisonError::into_inner);
        *stages += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *STAGES.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        STAGE_ENDED.notify_one();
    }
}

/// A gateway at the smallest limits, its host and its clients.
pub struct Stage {
    pub gateway: Rc<Gateway>,
    pub address: SocketAddr,
    pub usual: Rc<UsualClients>,
    /// The ids that reached the host, in order, and when they did.
    pub received: Rc<RefCell<Vec<(String, Instant)>>>,
    peak_memory: Rc<Cell<usize>>,
    tasks: Vec<JoinHandle<()>>,
    crowd: Option<Crowd>,
    _place: Place,
}

/// A crowd, which ends when this is dropped.
struct Crowd {
    _end: oneshot::Sender<()>,
}

/// What the usual clients have seen.
#[derive(Default)]
pub struct UsualClients {
    pub served: Cell<usize>,
    /// Rejections and failures, by SQLSTATE.
    pub refused: RefCell<BTreeMap<String, usize>>,
    /// Requests without a final answer in time.
    pub unanswered: Cell<usize>,
    /// Connections that the gateway closed while a request was on its way or open.
    pub closed_under_request: Cell<usize>,
    longest_wait: Cell<Duration>,
}

impl std::fmt::Display for UsualClients {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "served={} refused={:?} unanswered={} closed_under_request={} longest_wait_ms={}",
            self.served.get(),
            self.refused.borrow(),
            self.unanswered.get(),
            self.closed_under_request.get(),
            self.longest_wait.get().as_millis()
        )
    }
}

impl Stage {
    /// Starts a gateway with a host, and usual clients that pause for each of these times in turn.
    pub async fn start(choose: AnswerChoice, pauses: &'static [Duration]) -> Stage {
        Stage::with_descriptors(DESCRIPTORS, choose, pauses).await
    }

    /// Like [`Stage::start`], with usual clients whose statements are longer by this many bytes.
    pub async fn with_long_statements(
        bytes: usize,
        choose: AnswerChoice,
        pauses: &'static [Duration],
    ) -> Stage {
        Stage::with(DESCRIPTORS, bytes, str::to_string, choose, pauses).await
    }

    /// Like [`Stage::start`], with a changed configuration.
    pub async fn with_settings(
        change: impl FnOnce(&str) -> String,
        choose: AnswerChoice,
        pauses: &'static [Duration],
    ) -> Stage {
        Stage::with(DESCRIPTORS, 0, change, choose, pauses).await
    }

    /// Like [`Stage::start`], with this limit on descriptors.
    pub async fn with_descriptors(
        descriptors: usize,
        choose: AnswerChoice,
        pauses: &'static [Duration],
    ) -> Stage {
        Stage::with(descriptors, 0, str::to_string, choose, pauses).await
    }

    async fn with(
        descriptors: usize,
        statement_bytes: usize,
        change: impl FnOnce(&str) -> String,
        choose: AnswerChoice,
        pauses: &'static [Duration],
    ) -> Stage {
        let place = Place::wait();
        let harness = Harness::new(gateway_program!()).sockets(descriptors).memory_mb(MEMORY_MB);
        let listener = harness.network().tcp_listener(1);
        listener.set_nonblocking(true).expect("set a socket option");
        let listener = TcpListener::from_std(listener).expect("register the listener");
        let host = listener.local_addr().expect("the listener has an address");
        let gateway = Rc::new(harness.list_primary_at(host).start_with_changed_config(change));
        let address = gateway.address().parse().expect("valid socket address");
        let (usual, received, peak_memory) = (Rc::default(), Rc::default(), Rc::default());
        let mut stage = Stage {
            gateway,
            address,
            usual,
            received,
            peak_memory,
            tasks: Vec::new(),
            crowd: None,
            _place: place,
        };
        stage.spawn(serve_host(listener, choose, stage.received.clone()));
        stage.spawn(watch_memory(stage.gateway.clone(), stage.peak_memory.clone()));
        for number in 0..USUAL_CLIENTS {
            let pause = pauses[number % pauses.len()];
            let client = UsualClient { address, number, pause, statement_bytes };
            stage.spawn(run_usual_client(client, stage.usual.clone()));
        }
        sleep(Duration::from_millis(300)).await;
        stage
    }

    /// Runs a task until the stage is dropped.
    pub fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.push(tokio::task::spawn_local(task));
    }

    /// Connects the clients of a crowd in waves, and lets each one run until the stage is dropped. The crowd
    /// has a thread of its own, so that the usual clients are not delayed by it.
    pub async fn crowd<F>(&mut self, count: usize, client: impl Fn(SocketAddr, usize) -> F + Send + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let (end, mut ended) = oneshot::channel();
        let address = self.address;
        self.crowd = Some(Crowd { _end: end });
        std::thread::spawn(move || {
            let connect_all = async {
                for number in 0..count {
                    tokio::task::spawn_local(client(address, number));
                    if number % WAVE == WAVE - 1 {
                        sleep(WAVE_INTERVAL).await;
                    }
                }
                let _: Result<(), _> = (&mut ended).await;
                std::io::Result::Ok(())
            };
            block_on(connect_all).expect("the crowd runs");
        });
        sleep(WAVE_INTERVAL * u32::try_from(count / WAVE).expect("a small number")).await;
    }

    /// The highest private memory so far (bytes).
    pub fn peak_memory(&self) -> usize {
        self.peak_memory.get()
    }

    /// Prints the figures of a run, and checks that the process stayed within its limit on memory.
    pub fn check_memory(&self, form: &str) {
        let peak = self.peak_memory();
        println!("{form}: private memory {} KiB at most; usual clients: {}", peak / 1024, self.usual);
        assert!(peak <= MEMORY_MB * BYTES_PER_MIB, "{form}: {peak} bytes of private memory");
    }

    /// Checks that the usual clients got final answers in time, and kept their connections.
    pub fn check_usual_clients(&self, form: &str) {
        assert!(self.usual.served.get() > 0, "{form}: no usual client was served");
        assert_eq!(self.usual.unanswered.get(), 0, "{form}: {}", self.usual);
        assert_eq!(self.usual.closed_under_request.get(), 0, "{form}: {}", self.usual);
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn watch_memory(gateway: Rc<Gateway>, peak: Rc<Cell<usize>>) {
    loop {
        peak.set(peak.get().max(gateway.private_memory()));
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}

async fn serve_host(
    listener: TcpListener,
    choose: AnswerChoice,
    received: Rc<RefCell<Vec<(String, Instant)>>>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let received = received.clone();
        tokio::task::spawn_local(async move {
            let _ = serve_connection(stream, choose, &received).await;
        });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    choose: AnswerChoice,
    received: &RefCell<Vec<(String, Instant)>>,
) -> Option<()> {
    let mut connection = HostConnection::new(&mut stream);
    connection.startup().await?;
    connection.write(&[message(b'R', &[0; 4]), ready_for_query()].concat()).await?;
    loop {
        let query = connection.next_query().await?;
        received.borrow_mut().push((id_of(&query).to_string(), Instant::now()));
        match choose(&query) {
            HostAnswer::Row { bytes, after } => {
                sleep(after).await;
                connection.write(&[row(&vec![b'v'; bytes]), ready_for_query()].concat()).await?;
            }
            HostAnswer::Silence => std::future::pending().await,
            HostAnswer::HalfMessage { bytes } => {
                let longest = u32::try_from(petrelgauge::postgres::MAX_MESSAGE_BYTES).expect("a length");
                connection
                    .write(&[&b"N"[..], &longest.to_be_bytes()[..], &vec![b'n'; bytes]].concat())
                    .await?;
                std::future::pending().await
            }
        }
    }
}

/// The id in a statement's comment.
pub fn id_of(query: &str) -> &str {
    let id = query.split_once("id=").map_or("", |(_, rest)| rest);
    id.split(',').next().unwrap_or_default()
}

/// A read with this id.
pub fn read(id: &str, name: &str, wait: Duration) -> String {
    format!(
        "SELECT content FROM kv WHERE name = '{name}' /* id={id},c=view,d={},cluster=2 */",
        wait.as_millis()
    )
}

/// A keyed write with this id and key.
pub fn write(id: &str, key: &str, value: &str, wait: Duration) -> String {
    let comment = format!("/* id={id},c=post,d={},k={key},cluster=2 */", wait.as_millis());
    format!("INSERT INTO kv (name, content) VALUES ('row', '\\x{value}') RETURNING content {comment}")
}

/// A usual client: how long it pauses after an answer, and by how much its statements are longer.
struct UsualClient {
    address: SocketAddr,
    number: usize,
    pause: Duration,
    statement_bytes: usize,
}

/// Sends requests over one connection at a time, with a pause after each answer.
async fn run_usual_client(client: UsualClient, usual: Rc<UsualClients>) {
    let UsualClient { address, number, pause, statement_bytes } = client;
    let name = "n".repeat(statement_bytes);
    let mut sent = 0;
    loop {
        let Ok(mut connection) = Connection::open(address).await else {
            sleep(pause).await;
            continue;
        };
        if connection.read_until_ready().await.is_err() {
            sleep(pause).await;
            continue;
        }
        loop {
            sent += 1;
            if !request(&mut connection, &format!("usual-{number}-{sent}"), &name, &usual).await {
                break;
            }
            sleep(pause).await;
        }
    }
}

/// Sends one request and records its end. Returns whether the connection is still usable.
async fn request(connection: &mut Connection, id: &str, name: &str, usual: &UsualClients) -> bool {
    let begun = Instant::now();
    let is_sent = connection.send(&read(id, &format!("{id}{name}"), USUAL_WAIT)).await.is_ok();
    let answer = timeout(USUAL_WAIT + LATEST_ANSWER, connection.read_until_ready()).await;
    usual.longest_wait.set(usual.longest_wait.get().max(begun.elapsed()));
    match answer {
        Ok(Ok(messages)) if is_sent && messages[0].0 == b'T' => usual.served.set(usual.served.get() + 1),
        Ok(Ok(messages)) => {
            *usual.refused.borrow_mut().entry(field(&messages[0].1, b'C')).or_default() += 1;
        }
        Ok(Err(_)) => {
            usual.closed_under_request.set(usual.closed_under_request.get() + 1);
            return false;
        }
        Err(_) => {
            usual.unanswered.set(usual.unanswered.get() + 1);
            return false;
        }
    }
    true
}
