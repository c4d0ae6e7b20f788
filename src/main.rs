//! The gateway: wiring and signals. See the README for what it is and `net` for how it works.
#![forbid(unsafe_code)]

use petrelgauge::facade::Facade;
use petrelgauge::net::budget::Budget;
use petrelgauge::net::clock::Clock;
use petrelgauge::net::config::Config;
use petrelgauge::net::counters::{Counters, Gauge};
use petrelgauge::net::discovery::Follower;
use petrelgauge::net::front::Front;
use petrelgauge::net::hosts::Hosts;
use petrelgauge::net::peers::Peers;
use petrelgauge::net::room::Room;
use petrelgauge::{Class, Need, Time};
use petrelgauge_lifecycle::backoff::Backoff;
use petrelgauge_lifecycle::gateway::{Do, Event, Gateway, Stage};
use petrelgauge_sessions::{Keeper, SettingsError};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Between two looks for idle connections that are of no more use, for clients that are too many, and at what is
/// still open at the end.
const SWEEP: Time = 500_000;
const THIN_OUT: Time = 50_000;
const LOOK: Time = 10_000;
/// Connections that the kernel holds ready.
const BACKLOG: u32 = 1024;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let ran = Config::read(|name| std::env::var(name).ok()).and_then(|config| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|cause| format!("cannot start: {cause}"))?;
        tokio::task::LocalSet::new().block_on(&runtime, run(config))
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("petrelgauge: {cause}");
            ExitCode::from(2)
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let mut settings = config.info.settings().map_err(|cause| format!("settings: {cause}"))?;
    // The protocol has no probes, and the watch of discovery is always open.
    settings.may_probe = false;
    settings.list_on_request = false;
    // Clients hold at most a third of the descriptors.
    settings.most_open = settings.most_open.min(config.sockets as u32 / 3);
    let (classes, gateways) = (settings.classes.clone(), settings.routers);
    let clock = Clock::start().ahead(config.operator.clock_shift);
    let (sessions, others) = sessions(&config, &classes, clock.now())?;
    settings.hold = sessions.as_ref().map_or(0, |(keeper, _)| keeper.settings().hold);
    let facade = Facade::with_sessions(settings, config.seed, sessions)
        .map_err(|cause| format!("settings: {cause}"))?;
    let counters = Rc::new(Counters::default());
    let budget = Budget::new(config.sockets, config.memory);
    let room = Room::new();
    let (connect, idle) = (config.info.connect_span(), config.info.idle_span());
    let hosts = Hosts::new(clock, budget.clone(), counters.clone(), room.clone(), connect, idle);
    let backoff = Backoff::new(gateways, config.seed.rotate_left(32));
    let follower =
        Follower::new(facade.clone(), hosts.clone(), counters.clone(), clock, config.known, backoff);
    let (stop, stopping) = watch::channel(false);
    let listener = listen(config.listen).map_err(|cause| format!("cannot listen: {cause}"))?;
    let (mut term, mut interrupt, mut usr1, mut hangup) = (
        on(SignalKind::terminate())?,
        on(SignalKind::interrupt())?,
        on(SignalKind::user_defined1())?,
        on(SignalKind::hangup())?,
    );
    let (discovery, moved) = watch::channel(config.discovery);

    let mut reloaded: Result<SocketAddr, String> = Err(String::new());
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follower.follow(moved));
    tasks.spawn_local(keep_time(facade.clone(), clock));
    tasks.spawn_local(keep_clean(hosts.clone(), clock));
    if let Some((listen, others)) = others {
        let peers = Peers::new(listen, others).await?;
        tasks.spawn_local(peers.talk(facade.clone(), clock, counters.clone()));
    }
    let seen = facade.clone();
    let print = move |counters: &Counters| match seen.session_counts() {
        Some((sessions, gaps)) => log::info!("{counters} {sessions} gaps={gaps}"),
        None => log::info!("{counters}"),
    };
    let front = Rc::new(Front {
        facade,
        hosts: hosts.clone(),
        clock,
        budget,
        counters: counters.clone(),
        classes,
        room,
        stopping,
        open: Gauge::default(),
        ids: RefCell::default(),
    });
    tasks.spawn_local(front.clone().accept(listener));
    log::info!("{} serves at {}", config.name, config.listen);

    let mut life = Gateway::default();
    loop {
        let due = life.due();
        let event = tokio::select! {
            _ = usr1.recv() => {
                print(&counters);
                continue;
            }
            _ = hangup.recv() => match Config::reread(|name| std::env::var(name).ok()) {
                Ok(config) => {
                    reloaded = Ok(config.discovery);
                    Event::Reload { usable: true }
                }
                Err(cause) => {
                    reloaded = Err(cause);
                    Event::Reload { usable: false }
                }
            },
            _ = term.recv() => Event::Stop,
            _ = interrupt.recv() => Event::Stop,
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
            Do::Wait if event == Event::Stop => log::info!("stopping"),
            Do::Wait => {}
            Do::Take | Do::Keep => reload(&reloaded, &discovery, &counters),
            Do::Close => drop(stop.send(true)),
            Do::End => break,
        }
    }
    print(&counters);
    Ok(())
}

/// A keeper of sessions with the classes that carry them, and where to exchange marks.
type Kept = (Option<(Keeper, Vec<usize>)>, Option<(SocketAddr, Vec<SocketAddr>)>);

/// The sessions that the operator has switched on, or else what the deployment asks for by itself: marks of this
/// instance's own answers, since its start.
fn sessions(config: &Config, classes: &[Class], now: Time) -> Result<Kept, String> {
    let refused = |cause: SettingsError| format!("sessions: {cause}");
    if let Some(set) = &config.operator.sessions {
        let (places, mut settings) = (set.places(classes)?, set.settings.clone());
        let mut exchange = None;
        if set.peers {
            let listen = config.peer_listen.ok_or("sessions: the configuration names no peer_listen")?;
            let me = config.peers.iter().position(|peer| *peer == listen);
            let me = me.ok_or("sessions: peer_listen is none of the peers")?;
            (settings.me, settings.instances) = (me as u16, config.peers.len().min(u16::MAX.into()) as u16);
            exchange = Some((listen, config.peers.iter().copied().filter(|peer| *peer != listen).collect()));
        }
        return Ok((Some((Keeper::new(settings, now).map_err(refused)?, places)), exchange));
    }
    if !classes.iter().any(|class| class.need == Need::Session) || !config.info.remembers_sessions() {
        return Ok((None, None));
    }
    let settings = petrelgauge_sessions::Settings { roams: false, tokens: false, ..Default::default() };
    let carrying = |place: &usize| matches!(classes[*place].need, Need::Write | Need::Session);
    let places = (0..classes.len()).filter(carrying).collect();
    Ok((Some((Keeper::new(settings, 0).map_err(refused)?, places)), None))
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A gateway that starts again finds connections of its last run still winding up.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn on(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|cause| format!("cannot listen to signals: {cause}"))
}

/// The configuration was read again. Only the address of discovery may move while the gateway runs; a file that cannot
/// be used changes nothing.
fn reload(read: &Result<SocketAddr, String>, discovery: &watch::Sender<SocketAddr>, counters: &Counters) {
    match read {
        Ok(address) => {
            counters.reloads.add();
            log::info!("configuration read again, discovery is at {address}");
            discovery.send_if_modified(|known| std::mem::replace(known, *address) != *address);
        }
        Err(cause) => {
            counters.bad_configs.add();
            log::warn!("the new configuration cannot be used, the old one holds: {cause}");
        }
    }
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
