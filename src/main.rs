//! The gateway: wiring and signals. See the README for what it is and `net` for how it works.
#![forbid(unsafe_code)]

mod gateway_error;

use gateway_error::{GatewayError, ReloadError};
use petrelgauge::net::budget::Budget;
use petrelgauge::net::cancel::CancelKeys;
use petrelgauge::net::clock::Clock;
use petrelgauge::net::config::Config;
use petrelgauge::net::control::{bind_datagrams, reload, Control, Decisions, Environment};
use petrelgauge::net::counters::{Counters, Gauge};
use petrelgauge::net::front::Front;
use petrelgauge::net::handover::Handover;
use petrelgauge::net::hosts::Hosts;
use petrelgauge::net::inherited;
use petrelgauge::net::ops::Ops;
use petrelgauge::net::read_buffer::ReadBuffer;
use petrelgauge::net::signals::{Signals, Told};
use petrelgauge::net::socket::{self, SocketError};
use petrelgauge::Time;
use petrelgauge_handover::company::Held;
use petrelgauge_lifecycle::gateway::{Action, Event, Gateway, ServingState, Stage};
use petrelgauge_lifecycle::ops::{self, Known, MOST_CALLERS};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Between two looks at what is still open at the end (microseconds).
const LOOK: Time = 10_000;
/// Span after the start in which the staff is told that the list may be old, while discovery has not spoken yet.
const LIST_PATIENCE: Time = 1_500_000;
/// Times that a start tries to listen while the machine lacks descriptors or memory (count).
const LISTEN_ATTEMPTS: u32 = 500;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime.map_err(GatewayError::Runtime).and_then(|runtime| {
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
) -> Result<(), GatewayError> {
    let clock = Clock::start().ahead(config.operator.clock_shift);
    let decisions = Decisions::new(&config, clock.now())?;
    let (facade, hold) = (decisions.facade.clone(), decisions.hold);
    let whole = Rc::new(Cell::new(whole(&config, decisions.most_open)));
    // Where the platform holds the clients' socket, another process of this gateway may run, or have run a moment ago.
    let shared = inherited.is_some();
    let writer = config.seed ^ std::process::id() as u64;
    let (folder, name) = (std::env::temp_dir(), &config.name);
    let handover = shared.then(|| Rc::new(Handover::new(folder, name, config.listen, writer, config.digest)));
    let inherit = handover.as_ref().and_then(|handover| handover.inherit(clock.now()));
    let given = inherit.map_or_else(Vec::new, |(letter, age)| {
        log::info!("starting from what was learned {} ms ago of {} hosts", age / 1000, letter.numbers.len());
        facade.adopt_learned_state(letter.learned_state);
        letter.numbers
    });
    let counters = Rc::new(Counters::default());
    let budget = Budget::new(config.sockets, config.memory);
    let read_buffer = ReadBuffer::new();
    let asked_for = facade.clone();
    let environment = Environment {
        clock,
        budget: budget.clone(),
        read_buffer: read_buffer.clone(),
        counters: counters.clone(),
        demand: Rc::new(move || asked_for.asked()),
        given,
    };
    let mut control = Control::new(&mut config, decisions, environment, bind_datagrams).await?;
    let (hosts, duties) = (control.hosts.clone(), control.duties.clone());
    let (told, names) = (control.has_spoken.clone(), control.names.clone());
    let heard = told.clone();
    let patience_until = clock.now() + LIST_PATIENCE;
    let mut reread = None;
    let (doors, door) = watch::channel(ServingState::Serving);
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(GatewayError::RegisterListener)?,
        None => listen(config.listen).await.map_err(GatewayError::ListenForClients)?,
    };
    let (desk, mut asked) = mpsc::channel(MOST_CALLERS);
    let (discovery, moved) = watch::channel(config.discovery);

    let mut tasks = JoinSet::new();
    control.start(&mut tasks, moved);
    // Held here also where nobody listens: the row of calls must not end.
    let ops = Ops { desk, hosts: hosts.clone(), clock, counters: counters.clone() };
    let _desk = ops.desk.clone();
    if let Some(address) = config.ops {
        let failed = |source| GatewayError::ListenForOperators { address, source };
        let listener = listen(address).await.map_err(failed)?;
        tasks.spawn_local(ops.accept(listener));
    }
    let seen = facade.clone();
    if let Some(handover) = &handover {
        let keep = handover.clone().keep(clock, facade.clone(), budget.clone(), names, whole.clone());
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
                    let new = config.reread(|name| std::env::var(name).ok());
                    let usable = new.is_ok();
                    reread = Some(new);
                    Event::Reload { usable }
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
                return Err(GatewayError::TaskEnded(ended));
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
                let Some(new) = reread.take() else { continue };
                let followed = new
                    .map_err(ReloadError::from)
                    .and_then(|new| Ok(reload(new, &config, hold, clock.now(), &facade, &hosts)?));
                match followed {
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

async fn listen(address: SocketAddr) -> Result<TcpListener, SocketError> {
    socket::through_shortages(LISTEN_ATTEMPTS, || async { socket::listen(address) }).await
}

/// What this process may hold while it is the gateway's only one.
fn whole(config: &Config, most_open: u32) -> Held {
    Held { sockets: config.sockets, memory: config.memory, open: most_open as usize }
}

/// Whether a gateway that shares its socket should leave clients to the other process for now.
fn hosts_are_missing(hosts: &Hosts, told: &Cell<bool>, clock: Clock, patience_until: Time) -> bool {
    clock.now() < patience_until && (hosts.named() == 0 || !told.get())
}
