//! The gateway: wiring and signals. See the README for what it is and `net` for how it works.
#![forbid(unsafe_code)]

use petrelgauge::facade::Facade;
use petrelgauge::net::budget::Budget;
use petrelgauge::net::cancel::CancelKeys;
use petrelgauge::net::clock::Clock;
use petrelgauge::net::config::Config;
use petrelgauge::net::counters::{Counters, Gauge};
use petrelgauge::net::discovery::Follower;
use petrelgauge::net::duties::{Duties, SCOUT};
use petrelgauge::net::front::Front;
use petrelgauge::net::handover::Handover;
use petrelgauge::net::hosts::Hosts;
use petrelgauge::net::inherited;
use petrelgauge::net::ops::Ops;
use petrelgauge::net::peers::Peers;
use petrelgauge::net::read_buffer::ReadBuffer;
use petrelgauge::net::share_out::{ShareOut, SHARES};
use petrelgauge::net::signals::{Signals, Told};
use petrelgauge::{Class, Need, Settings, Time};
use petrelgauge_handover::company::Held;
use petrelgauge_lifecycle::backoff::Backoff;
use petrelgauge_lifecycle::gateway::{Action, Event, Gateway, ServingState, Stage};
use petrelgauge_lifecycle::ops::{self, Known, MOST_CALLERS};
use petrelgauge_ownership::Office;
use petrelgauge_sessions::{Keeper, SettingsError};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Between two looks for idle connections that are of no more use, for clients that are too many, and at what is
/// still open at the end.
const SWEEP: Time = 500_000;
const THIN_OUT: Time = 50_000;
const LOOK: Time = 10_000;
/// Span after the start in which the staff is told that the list may be old, while discovery has not spoken yet.
const LIST_PATIENCE: Time = 1_500_000;
/// What a query waits here before it is read, the decisions before they are stepped, and a refusal before its client has
/// it (microseconds): the 99th percentile of one of the three with the processor shared. More is no better: a client that
/// is refused sooner has more time left than it is told to stay away, and comes back with nothing of it left.
const WAY: Time = 3_000;
/// Connections that the kernel holds ready.
const BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| format!("cannot start: {cause}"));
    let ran = runtime.and_then(|runtime| {
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let signals = Signals::listen()?;
            let var = |name: &str| std::env::var(name).ok();
            run(Config::read(var)?, inherited::listener(var)?, signals).await
        })
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("petrelgauge: {cause}");
            ExitCode::from(2)
        }
    }
}

async fn run(
    mut config: Config,
    inherited: Option<std::net::TcpListener>,
    mut signals: Signals,
) -> Result<(), String> {
    let mut settings = settings(&config)?;
    let whole = Rc::new(Cell::new(whole(&config, &settings)));
    let (classes, gateways) = (settings.classes.clone(), settings.routers);
    let clock = Clock::start().ahead(config.operator.clock_shift);
    let (sessions, others) = sessions(&config, &classes, clock.now())?;
    let hold = sessions.as_ref().map_or(0, |(keeper, _)| keeper.settings().hold);
    settings.hold = hold;
    let facade = Facade::with_sessions(settings, config.seed, sessions)
        .map_err(|cause| format!("settings: {cause}"))?;
    // Where the platform holds the clients' socket, another process of this gateway may run, or have run a moment ago.
    let shared = inherited.is_some();
    let writer = config.seed ^ std::process::id() as u64;
    let (folder, name) = (std::env::temp_dir(), &config.name);
    let handover = shared.then(|| Rc::new(Handover::new(folder, name, config.listen, writer, config.digest)));
    let inherit = handover.as_ref().and_then(|handover| handover.inherit(clock.now()));
    let given = inherit.map_or_else(Vec::new, |(letter, age)| {
        log::info!("starting from what was learned {} ms ago of {} hosts", age / 1000, letter.numbers.len());
        facade.believe(letter.beliefs);
        letter.numbers
    });
    let counters = Rc::new(Counters::default());
    let budget = Budget::new(config.sockets, config.memory);
    let read_buffer = ReadBuffer::new();
    let (connect, idle) = (config.info.connect_span(), config.info.idle_span());
    let hosts = Hosts::new(clock, budget.clone(), counters.clone(), read_buffer.clone(), connect, idle);
    let backoff = Backoff::new(gateways, config.seed.rotate_left(32));
    let follower = Follower::new(
        facade.clone(),
        hosts.clone(),
        counters.clone(),
        clock,
        config.known.take(),
        backoff,
        given,
    );
    let (told, numbers_of_hosts) = (follower.told(), follower.numbers());
    let heard = told.clone();
    let patience_until = clock.now() + LIST_PATIENCE;
    let mut reread: Result<Config, String> = Err(String::new());
    let (doors, door) = watch::channel(ServingState::Serving);
    let listener = inherited.map_or_else(|| listen(config.listen), TcpListener::from_std);
    let listener = listener.map_err(|cause| format!("cannot listen: {cause}"))?;
    let (desk, mut asked) = mpsc::channel(MOST_CALLERS);
    let (discovery, moved) = watch::channel(config.discovery);

    let mut tasks = JoinSet::new();
    tasks.spawn_local(follower.follow(moved));
    tasks.spawn_local(keep_time(facade.clone(), clock));
    tasks.spawn_local(keep_clean(hosts.clone(), clock));
    let numbers = numbers_of_hosts;
    let duties = duties(&config, &facade, clock, &counters, &numbers)?;
    let me = config.peer_listen.filter(|_| duties.is_some());
    if let Some(listen) = others.or(me) {
        let place = config.place().ok_or("peers: this gateway is none of them")?;
        let peers = Peers::new(listen, place, config.peers.clone()).await?;
        tasks.spawn_local(peers.talk(facade.clone(), clock, counters.clone(), duties.clone()));
    }
    // Held here also where nobody listens: the row of calls must not end.
    let ops = Ops { desk, hosts: hosts.clone(), clock, counters: counters.clone() };
    let _desk = ops.desk.clone();
    if let Some(address) = config.ops {
        let listener =
            listen(address).map_err(|cause| format!("ops: cannot listen at {address}: {cause}"))?;
        tasks.spawn_local(ops.accept(listener));
    }
    let seen = facade.clone();
    if let Some(handover) = &handover {
        let keep = handover.clone().keep(clock, facade.clone(), budget.clone(), numbers, whole.clone());
        tasks.spawn_local(keep);
    }
    let leaving = duties.clone();
    let print = move |counters: &Counters| {
        let sessions = seen.session_counts().map(|(sessions, gaps)| format!(" {sessions} gaps={gaps}"));
        let duties = duties.as_ref().map(|duties| format!(" {}", duties.counts()));
        log::info!("{counters}{}{}", sessions.unwrap_or_default(), duties.unwrap_or_default());
    };
    let front = Rc::new(Front {
        facade: facade.clone(),
        hosts: hosts.clone(),
        clock,
        budget,
        counters: counters.clone(),
        read_buffer,
        door,
        open: Gauge::default(),
        cancel_keys: CancelKeys::new(config.seed.rotate_left(16)),
        ids: RefCell::default(),
        last: Cell::new(Time::MAX),
        last_reads: Cell::default(),
    });
    let accepted = front.clone();
    tasks.spawn_local(async move {
        // Beside a process that still serves, clients are accepted only from when they can be served.
        while shared && hosts_are_missing(&accepted.hosts, &heard, clock, patience_until) {
            clock.sleep_until(clock.now() + LOOK).await;
        }
        accepted.accept(listener, shared).await
    });
    log::info!("{} serves at {}", config.name, config.listen);

    let mut life = Gateway::new(shared);
    loop {
        doors.send_if_modified(|door| std::mem::replace(door, life.door()) != life.door());
        let due = life.due();
        let event = tokio::select! {
            told = signals.next() => match told {
                Told::Count => {
                    print(&counters);
                    continue;
                }
                Told::Reread => {
                    reread = config.reread(|name| std::env::var(name).ok());
                    Event::Reload { usable: reread.is_ok() }
                }
                Told::Stop => Event::Stop,
            },
            Some((call, answer)) = asked.recv() => {
                let known = Known { hosts: hosts.named(), told: told.get(), patience_until, version: facade.version() };
                let (reply, to_do) = ops::call(&mut life, clock.now(), call, known);
                if to_do == Action::Doors {
                    log::info!("{call:?}: {}", reply.reason);
                }
                // A caller that has left needs no answer.
                let _ = answer.send(reply);
                continue;
            }
            () = clock.sleep_until(due.unwrap_or_default()), if due.is_some() => Event::Due,
            () = clock.sleep_until(clock.now() + LOOK), if life.stage() == Stage::Closing => {
                Event::Held { clients: front.open.get(), attempts: hosts.out() }
            }
            // None of them ends by itself. Without one the gateway would go on and serve nobody.
            Some(ended) = tasks.join_next(), if life.stage() == Stage::Serving => {
                return Err(format!("a task ended: {ended:?}"));
            }
        };
        match life.on(clock.now(), event) {
            Action::Doors if event == Event::Stop => {
                log::info!("stopping");
                let longest = facade.longest(clock.now());
                front.last.set(life.answers_by(longest));
                front.last_reads.set(life.last_reads(longest));
                facade.answer_by(front.last.get());
                leaving.iter().for_each(|duties| duties.leave());
            }
            Action::Doors | Action::Wait => {}
            Action::Take | Action::Keep => {
                let new = std::mem::replace(&mut reread, Err(String::new()));
                match new.and_then(|new| reload(new, &config, hold, clock.now(), &facade, &hosts)) {
                    Ok((new, open)) => {
                        counters.reloads.add();
                        let (at, version) = (new.discovery, facade.version());
                        log::info!("configuration read again, discovery is at {at}, settings {version} hold");
                        whole.set(Held { open: open as usize, ..whole.get() });
                        handover.iter().for_each(|handover| handover.follow(new.digest));
                        discovery.send_if_modified(|known| std::mem::replace(known, at) != at);
                        config = new;
                    }
                    Err(cause) => {
                        counters.bad_configs.add();
                        let version = facade.version();
                        log::warn!(
                            "the new configuration cannot be used, settings {version} hold on: {cause}"
                        );
                    }
                }
            }
            Action::End => break,
        }
    }
    handover.into_iter().for_each(|handover| handover.withdraw());
    print(&counters);
    Ok(())
}

/// This gateway's part in the fleet's duties, if the operator has switched them on.
fn duties(
    config: &Config,
    facade: &Facade,
    clock: Clock,
    counters: &Rc<Counters>,
    numbers: &Rc<RefCell<BTreeMap<String, u32>>>,
) -> Result<Option<Rc<Duties>>, String> {
    let Some(set) = &config.operator.ownership else { return Ok(None) };
    if config.peer_listen.is_none() {
        return Err("ownership: the configuration names no peer_listen".into());
    }
    let me = config.place().ok_or("ownership: this gateway is none of the peers")?;
    let settings = set.settings(me, config.peers.len())?;
    let elector = settings.electors.contains(&settings.me);
    let now = clock.now();
    let mut office =
        Office::new(settings, now, config.seed).map_err(|cause| format!("ownership: {cause}"))?;
    if elector {
        // Electors are candidates too, and nobody else: so few ask, however many there are.
        let wanted = [(set.scout, SCOUT), (set.shares, SHARES)];
        wanted.iter().filter(|(on, _)| *on).for_each(|(_, duty)| office.want(now, *duty));
    }
    // A process that starts again must not take what was given to the one before it.
    let drawn = Pcg64Mcg::seed_from_u64(config.seed ^ now as u64).next_u32();
    let shares = set.shares.then(|| ShareOut::new(&office, drawn, facade.clone(), clock));
    let (facade, counters, numbers) = (facade.clone(), counters.clone(), numbers.clone());
    Ok(Some(Duties::new(office, shares, set.secret, facade, clock, counters, numbers)))
}

/// A keeper of sessions with the classes that carry them, and where marks of others are heard.
type Kept = (Option<(Keeper, Vec<usize>)>, Option<SocketAddr>);

/// The sessions that the operator has switched on, or else what the deployment asks for by itself: marks of this
/// instance's own answers, since its start.
fn sessions(config: &Config, classes: &[Class], now: Time) -> Result<Kept, String> {
    let refused = |cause: SettingsError| format!("sessions: {cause}");
    if let Some(set) = &config.operator.sessions {
        let (places, mut settings) = (carrying(config, classes)?, set.settings.clone());
        let mut exchange = None;
        if set.peers {
            let listen = config.peer_listen.ok_or("sessions: the configuration names no peer_listen")?;
            let me = config.place().ok_or("sessions: this gateway is none of the peers")?;
            (settings.me, settings.instances) = (me as u16, config.peers.len().min(u16::MAX.into()) as u16);
            exchange = Some(listen);
        }
        return Ok((Some((Keeper::new(settings, now).map_err(refused)?, places)), exchange));
    }
    let places = carrying(config, classes)?;
    if places.is_empty() {
        return Ok((None, None));
    }
    let (positions, checks) = (config.info.tells_positions(), config.info.checks());
    let told = petrelgauge_sessions::Settings { positions, checks, ..Default::default() };
    let settings = petrelgauge_sessions::Settings { roams: false, tokens: false, ..told };
    Ok((Some((Keeper::new(settings, 0).map_err(refused)?, places)), None))
}

/// Places of the classes that carry sessions: those that the operator names, or else those that the deployment asks
/// for by itself.
fn carrying(config: &Config, classes: &[Class]) -> Result<Vec<usize>, String> {
    if let Some(set) = &config.operator.sessions {
        return set.places(classes);
    }
    if !classes.iter().any(|class| class.need == Need::Session) || !config.info.remembers_sessions() {
        return Ok(Vec::new());
    }
    let carrying = |place: &usize| matches!(classes[*place].need, Need::Write | Need::Session);
    Ok((0..classes.len()).filter(carrying).collect())
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A gateway that starts again finds connections of its last run still winding up.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The settings of a configuration, as this gateway keeps them.
fn settings(config: &Config) -> Result<Settings, String> {
    let mut settings = config.info.settings().map_err(|cause| format!("settings: {cause}"))?;
    // The protocol has no probes, and the watch of discovery is always open.
    settings.may_probe = false;
    settings.list_on_request = false;
    settings.way = WAY;
    // Clients hold at most a third of the descriptors.
    settings.most_open = settings.most_open.min(config.sockets as u32 / 3);
    Ok(settings)
}

/// What this process may hold while it is the gateway's only one.
fn whole(config: &Config, settings: &Settings) -> Held {
    Held { sockets: config.sockets, memory: config.memory, open: settings.most_open as usize }
}

/// The configuration was read again: its settings hold from now on, or nothing has changed. Gives what is in force, and
/// how many requests clients can hold open by it.
fn reload(
    new: Config,
    old: &Config,
    hold: Time,
    now: Time,
    facade: &Facade,
    hosts: &Hosts,
) -> Result<(Config, u32), String> {
    let mut settings = settings(&new)?;
    let carrying = carrying(&new, &settings.classes)?;
    (settings.hold, settings.most_open) = (hold, settings.most_open.min(old.sockets as u32 / 3));
    let open = settings.most_open;
    let (connect, idle) = (new.info.connect_span(), new.info.idle_span());
    facade.follow(now, settings, &carrying).map_err(|cause| format!("settings: {cause}"))?;
    hosts.follow(connect, idle);
    let unmoved = old.unmoved(&new);
    if !unmoved.is_empty() {
        log::warn!("only a start can follow the new {}", unmoved.join(", "));
    }
    // What only a start can follow stays as it was, to be named again by the next file.
    Ok((old.with(new), open))
}

/// Whether a gateway that shares its socket should leave clients to the other process for now.
fn hosts_are_missing(hosts: &Hosts, told: &Cell<bool>, clock: Clock, patience_until: Time) -> bool {
    clock.now() < patience_until && (hosts.named() == 0 || !told.get())
}

/// Steps the decisions when something came in or a timer is due.
async fn keep_time(facade: Facade, clock: Clock) {
    loop {
        match facade.tick(clock.now()) {
            Some(at) => tokio::select! {
                () = clock.sleep_until(at) => {}
                () = facade.woken() => {}
            },
            None => facade.woken().await,
        }
    }
}

async fn keep_clean(hosts: Rc<Hosts>, clock: Clock) {
    loop {
        let by = clock.now() + SWEEP;
        while clock.now() < by {
            clock.sleep_until(clock.now() + THIN_OUT).await;
            hosts.thin_out();
        }
        hosts.sweep();
    }
}
