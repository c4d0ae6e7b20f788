//! Fault schedules that are sampled from a seed. A schedule is plain data: it can be printed, and the same
//! seed samples it again.

use super::classes::{LONGEST_DEADLINE, VARIANTS};
use super::crowds::{self, Form};
use super::hosts::Mode;
use super::orders::{AfterStatement, SLOW_EXECUTION_TIME};
use super::{index_below, uniform, Fleet, Plan};
use petrelgauge_test_support::{ServiceState, SlowStart};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time before the first fault, in which gateways learn the hosts' load (milliseconds).
const WARM_UP: u64 = 3_000;
/// Length of the period in which faults begin (milliseconds).
const FAULTS_SPAN: u64 = 9_000;
/// Time from the last fault to the last request (milliseconds).
const COOL_DOWN: u64 = 4_000;
/// Number of faults in a schedule.
const FAULTS: RangeInclusive<usize> = 4..=8;
/// Number of SIGHUP signals of a reload fault.
const RELOAD_SIGNALS: RangeInclusive<usize> = 2..=4;
/// Time between two signals of a fault (milliseconds).
const SIGNAL_INTERVAL: u64 = 120;
/// Number of changes of the settings in a schedule of changes.
const CHANGES: u64 = 5;
/// Time from one of them to the next (milliseconds).
const CHANGE_INTERVAL: u64 = 4_000;
/// Orders that each gateway gets at a change.
const ORDERS_OF_GATEWAY: usize = 3;
/// Time between two of them (milliseconds).
const ORDER_INTERVAL: u64 = 30;
/// Number of crowds in a schedule of crowds, from one to the next, and how long each stays (milliseconds).
const CROWDS: u64 = 4;
const CROWD_INTERVAL: u64 = 6_000;
const CROWD_SPAN: u64 = 2_000;
/// How long a gateway stays stopped by SIGSTOP (milliseconds).
const STALL_SPAN: u64 = 120;
/// Time from the drain of a host to the start of its replacement (milliseconds).
const REPLACEMENT_DELAY: u64 = 3_000;
/// Idle connections of `Fault::IdleConnections`: more than the third of its descriptors that a gateway
/// reserves for clients.
const IDLE_CONNECTIONS: usize = 250;
/// Time limit for an idle connection: a gateway that accepts no more leaves connection attempts unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// A fault. Times are in milliseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The hosts are down for `down`; the list names their restarts `listed_after` later.
    RestartHosts { hosts: Vec<usize>, down: u64, listed_after: u64 },
    /// The hosts accept connections and requests, but do not answer.
    SilenceHosts { hosts: Vec<usize>, span: u64 },
    /// The hosts drain, and replacements start at their addresses.
    ReplaceHosts { hosts: Vec<usize> },
    /// SIGTERM, SIGKILL at the earliest time at which a platform may send it, and a new process.
    StopGateways { gateways: Vec<usize> },
    /// SIGKILL, and a new process.
    KillGateways { gateways: Vec<usize> },
    /// SIGSTOP, and SIGCONT after `STALL_SPAN`.
    StallGateways { gateways: Vec<usize> },
    /// The settings change `times` times, by SIGHUP.
    ReloadGateways { gateways: Vec<usize>, times: usize },
    /// The settings change to the first variant. After `pause`, clients send orders behind slow statements, and
    /// before the statements end, the settings change to the second variant.
    ChangeSettings { first: usize, pause: u64, second: usize },
    /// An outage of the list service.
    DiscoveryOutage { state: ServiceState, span: u64 },
    /// The offered load is multiplied.
    Burst { factor: f64, span: u64 },
    /// Idle client connections use up the descriptors of a gateway.
    IdleConnections { gateway: usize, span: u64 },
    /// A crowd of misbehaving clients at the first gateway, for `span` after all of them have connected.
    Crowd { form: Form, number: u64, span: u64 },
}

/// A fault and its start time (milliseconds after the start of the schedule).
#[derive(Clone, Debug)]
pub struct Step {
    pub at: u64,
    pub fault: Fault,
}

/// A fleet and its faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub plan: Plan,
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Samples a fleet and its faults from a seed.
    pub fn sample(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let slow_start = SlowStart {
            initial_share: 0.08 + 0.2 * uniform(&mut rng),
            span: Duration::from_secs(16),
            overload_factor: 2.0 + 2.0 * uniform(&mut rng),
            overload_span: Duration::from_millis(500 + 100 * index_below(&mut rng, 11) as u64),
        };
        let plan = Plan {
            gateways: 4 + index_below(&mut rng, 21),
            hosts: 5 + index_below(&mut rng, 3),
            load: 0.45 + 0.4 * uniform(&mut rng),
            long_share: 0.03 + 0.07 * uniform(&mut rng),
            slow_start,
            granularity: Duration::from_millis(5),
            hosts_ahead_ms: [0, 0, 0, 3_600_000, -3_600_000][index_below(&mut rng, 5)],
            memory_mb: 192,
            descriptors: 512,
            seed,
        };
        let count = sample_count(&mut rng, &FAULTS);
        let mut steps: Vec<Step> = (0..count)
            .map(|_| {
                let at = WARM_UP + index_below(&mut rng, FAULTS_SPAN as usize) as u64;
                Step { at, fault: sample_fault(&plan, &mut rng) }
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Schedule { plan, steps }
    }

    /// Samples a small fleet whose settings change under load, and no other faults.
    pub fn sample_changes(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let plan = Plan {
            gateways: 2,
            hosts: 3,
            load: 0.3 + 0.2 * uniform(&mut rng),
            long_share: 0.03,
            slow_start: SlowStart::DEFAULT,
            // Long enough that a SIGHUP right behind an answer comes before the next step.
            granularity: Duration::from_millis(50),
            hosts_ahead_ms: 0,
            memory_mb: 192,
            descriptors: 512,
            seed,
        };
        let mut sample = |change: u64| {
            let pause = [60, 1_300][index_below(&mut rng, 2)];
            let first = index_below(&mut rng, VARIANTS.len());
            let second = index_below(&mut rng, VARIANTS.len());
            // The first change adds classes behind all others, and takes them away again.
            let (first, pause, second) = if change == 0 { (1, 60, 0) } else { (first, pause, second) };
            let at = WARM_UP + change * CHANGE_INTERVAL;
            Step { at, fault: Fault::ChangeSettings { first, pause, second } }
        };
        let steps = (0..CHANGES).map(&mut sample).collect();
        Schedule { plan, steps }
    }

    /// Samples one gateway at the smallest limits, with a crowd of misbehaving clients after another.
    pub fn sample_crowds(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let plan = Plan {
            gateways: 1,
            hosts: 5,
            load: 0.1 + 0.1 * uniform(&mut rng),
            long_share: 0.03,
            slow_start: SlowStart::DEFAULT,
            granularity: Duration::from_millis(5),
            hosts_ahead_ms: 0,
            memory_mb: 32,
            descriptors: 1024,
            seed,
        };
        let mut sample = |number: u64| {
            // Each schedule has the form that holds the most memory.
            let form = if number == 0 { Form::Commands } else { crowds::sample_form(&mut rng) };
            Step {
                at: WARM_UP + number * CROWD_INTERVAL,
                fault: Fault::Crowd { form, number, span: CROWD_SPAN },
            }
        };
        let steps = (0..CROWDS).map(&mut sample).collect();
        Schedule { plan, steps }
    }

    /// Injects the faults at their times.
    pub async fn run(self, fleet: Rc<Fleet>) {
        let started = fleet.clock.now();
        let mut tasks = Vec::new();
        for step in self.steps {
            let elapsed = (fleet.clock.now() - started) as u64 / 1_000;
            fleet.wait(step.at.saturating_sub(elapsed)).await;
            fleet.add_to_history(&format!("{:?}", step.fault));
            tasks.push(tokio::task::spawn_local(inject(fleet.clone(), step.fault)));
        }
        fleet.wait(COOL_DOWN).await;
        for task in tasks {
            task.await.expect("the fault was injected");
        }
    }
}

/// A uniform sample of this range.
fn sample_count(rng: &mut Pcg64Mcg, range: &RangeInclusive<usize>) -> usize {
    range.start() + index_below(rng, range.end() - range.start() + 1)
}

/// Random distinct indices below a count: at least one, and at most this share of them.
fn sample_indices(rng: &mut Pcg64Mcg, count: usize, share: f64) -> Vec<usize> {
    let most = ((count as f64 * share) as usize).max(1);
    let wanted = 1 + index_below(rng, most);
    let mut all: Vec<usize> = (0..count).collect();
    (0..wanted).map(|_| all.swap_remove(index_below(rng, all.len()))).collect()
}

fn sample_fault(plan: &Plan, rng: &mut Pcg64Mcg) -> Fault {
    let span = 500 + index_below(rng, 4_000) as u64;
    match index_below(rng, 13) {
        0..=2 => Fault::RestartHosts {
            hosts: sample_indices(rng, plan.hosts, 0.6),
            down: index_below(rng, 1_500) as u64,
            listed_after: index_below(rng, 1_500) as u64,
        },
        3 | 4 => Fault::SilenceHosts { hosts: sample_indices(rng, plan.hosts, 0.6), span },
        5 | 6 => Fault::ReplaceHosts { hosts: sample_indices(rng, plan.hosts, 0.6) },
        7 => Fault::StopGateways { gateways: sample_indices(rng, plan.gateways, 0.4) },
        8 => Fault::KillGateways { gateways: sample_indices(rng, plan.gateways, 0.7) },
        9 => Fault::StallGateways { gateways: sample_indices(rng, plan.gateways, 0.5) },
        10 => Fault::ReloadGateways {
            gateways: sample_indices(rng, plan.gateways, 1.0),
            times: sample_count(rng, &RELOAD_SIGNALS),
        },
        11 => {
            let state = if index_below(rng, 2) == 0 { ServiceState::Silent } else { ServiceState::Refusing };
            Fault::DiscoveryOutage { state, span }
        }
        _ if index_below(rng, 2) == 0 => Fault::Burst { factor: 1.4 + uniform(rng), span },
        _ => Fault::IdleConnections { gateway: index_below(rng, plan.gateways), span },
    }
}

async fn inject(fleet: Rc<Fleet>, fault: Fault) {
    match fault {
        Fault::RestartHosts { hosts, down, listed_after } => {
            hosts.iter().for_each(|host| fleet.hosts[*host].set_mode(Mode::Down));
            fleet.wait(down).await;
            hosts.iter().for_each(|host| fleet.hosts[*host].restart());
            fleet.wait(listed_after).await;
            hosts.iter().for_each(|host| fleet.list.publish_start(*host));
        }
        Fault::SilenceHosts { hosts, span } => {
            hosts.iter().for_each(|host| fleet.hosts[*host].set_mode(Mode::Silent));
            fleet.wait(span).await;
            // A host that another fault has taken down in the meantime stays down.
            let silent = hosts.iter().filter(|host| fleet.hosts[**host].mode() == Mode::Silent);
            silent.for_each(|host| fleet.hosts[*host].set_mode(Mode::Up));
        }
        Fault::ReplaceHosts { hosts } => {
            fleet.drain_hosts(&hosts);
            fleet.wait(REPLACEMENT_DELAY).await;
            hosts.iter().for_each(|host| fleet.hosts[*host].restart());
            hosts.iter().for_each(|host| fleet.list.publish_start(*host));
        }
        Fault::StopGateways { gateways } => stop_gateways(&fleet, &gateways).await,
        Fault::KillGateways { gateways } => kill_gateways(&fleet, &gateways).await,
        Fault::StallGateways { gateways } => {
            gateways.iter().for_each(|gateway| fleet.gateways[*gateway].process.signal("STOP"));
            fleet.wait(STALL_SPAN).await;
            gateways.iter().for_each(|gateway| fleet.gateways[*gateway].process.signal("CONT"));
        }
        Fault::ReloadGateways { gateways, times } => {
            for time in 1..=times {
                let variant = VARIANTS[time % VARIANTS.len()];
                gateways.iter().for_each(|gateway| fleet.gateways[*gateway].reload(variant));
                let clients = gateways.iter().map(|gateway| &fleet.clients[*gateway]);
                clients.for_each(|clients| clients.issue_order_behind_statement(AfterStatement::Nothing));
                fleet.wait(SIGNAL_INTERVAL).await;
            }
        }
        Fault::ChangeSettings { first, pause, second } => {
            change_settings(&fleet, first, pause, second).await;
        }
        Fault::Crowd { form, number, span } => crowds::run_crowd(fleet, 0, form, number, span).await,
        Fault::DiscoveryOutage { state, span } => {
            fleet.list.set_state(state);
            fleet.wait(span).await;
            fleet.list.set_state(ServiceState::Up);
        }
        Fault::Burst { factor, span } => {
            fleet.load.set(fleet.plan.load * factor);
            fleet.wait(span).await;
            fleet.load.set(fleet.plan.load);
        }
        Fault::IdleConnections { gateway, span } => hold_idle_connections(&fleet, gateway, span).await,
    }
}

/// Holds idle client connections to a gateway for `span` milliseconds.
async fn hold_idle_connections(fleet: &Fleet, gateway: usize, span: u64) {
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let connect = TcpStream::connect(fleet.gateways[gateway].process.listen);
        idle.extend(timeout(CONNECT_TIMEOUT, connect).await.into_iter().flatten());
    }
    fleet.wait(span).await;
}

/// Changes the settings before and after orders are sent behind slow statements. Each answer to a statement is
/// followed by another SIGHUP at once.
async fn change_settings(fleet: &Fleet, first: usize, pause: u64, second: usize) {
    fleet.gateways.iter().for_each(|gateway| gateway.reload(VARIANTS[first]));
    fleet.wait(pause).await;
    for _ in 0..ORDERS_OF_GATEWAY {
        let clients = fleet.clients.iter();
        clients.for_each(|clients| clients.issue_order_behind_statement(AfterStatement::SignalReload));
        fleet.wait(ORDER_INTERVAL).await;
    }
    fleet.gateways.iter().for_each(|gateway| gateway.reload(VARIANTS[second]));
    fleet.clock.sleep(SLOW_EXECUTION_TIME + LONGEST_DEADLINE).await;
}

/// Stops gateways at intervals of `SIGNAL_INTERVAL`, and starts the new process of each when the old one has
/// ended.
async fn stop_gateways(fleet: &Fleet, gateways: &[usize]) {
    let mut stops = Vec::new();
    for gateway in gateways {
        let gateway = fleet.gateways[*gateway].clone();
        if gateway.begin_replacement() {
            stops.push(tokio::task::spawn_local(async move {
                gateway.stop().await;
                gateway.end_replacement();
            }));
        }
        fleet.wait(SIGNAL_INTERVAL).await;
    }
    for stop in stops {
        stop.await.expect("the gateway was replaced");
    }
}

/// Kills gateways together, and starts a new process of each after five signal intervals.
async fn kill_gateways(fleet: &Fleet, gateways: &[usize]) {
    let mut killed: Vec<usize> = gateways.to_vec();
    killed.retain(|gateway| fleet.gateways[*gateway].begin_replacement());
    killed.iter().for_each(|gateway| fleet.gateways[*gateway].kill());
    fleet.wait(5 * SIGNAL_INTERVAL).await;
    killed.iter().for_each(|gateway| fleet.gateways[*gateway].end_replacement());
}
