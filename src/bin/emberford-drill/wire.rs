//! The bench's wire in the library's words and back.

use emberford::*;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Deserialize)]
struct Batch {
    wall_us: Time,
    groups: Vec<Bundle>,
}

#[derive(Deserialize)]
struct Bundle {
    i: u64,
    #[serde(rename = "in")]
    events: Vec<Wire>,
}

#[derive(Deserialize)]
#[serde(tag = "what")]
enum Wire {
    Configure {
        prng: u64,
        info: Box<Info>,
    },
    Teardown,
    Page {
        slot: u64,
        rows_in: Vec<Row>,
    },
    Membership {
        mode: String,
        #[serde(default)]
        slot: u64,
    },
    Incoming {
        txn: Arc<str>,
        time_left_us: Time,
        #[serde(default)]
        flags: u64,
        #[serde(default)]
        group_no: f64,
        #[serde(default)]
        token_ms: f64,
        #[serde(default)]
        session: Option<Arc<str>>,
        service: String,
    },
    Begun {},
    Done {
        txn: Arc<str>,
        #[serde(default)]
        no_more: bool,
        node: MemberId,
        #[serde(default)]
        mark: u64,
        status: String,
        #[serde(default)]
        took_us: Time,
        shot: u32,
        #[serde(default)]
        metrics: Option<Vec<f64>>,
    },
    Withdrawn {
        txn: Arc<str>,
    },
    Wakeup {
        handle: u64,
    },
    HealthResult {
        node: MemberId,
        status: String,
        #[serde(default)]
        metrics: Option<Vec<f64>>,
    },
    FromPeer {},
}

#[derive(Deserialize)]
struct Row {
    node: MemberId,
    #[serde(default)]
    ready_at_us: Time,
    stage_state: String,
    #[serde(default)]
    primary: f64,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    group: u64,
    #[serde(default)]
    rack_zone: String,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Info {
    balancers: u32,
    bounds: Bounds,
    classes: Vec<WireClass>,
    family_info: Family,
    granularity_us: Time,
    #[serde(default)]
    membership_mode: String,
    obligations: Obligations,
    #[serde(default)]
    penalties: Penalties,
    #[serde(default)]
    reporting: Reporting,
    #[serde(default)]
    zone: String,
}

#[derive(Deserialize)]
struct Bounds {
    attempts_cap: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: Time,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    aim_us: Time,
    deadline_us: Time,
    #[serde(default)]
    group: String,
    idempotency: String,
    #[serde(default)]
    window_us: Time,
    #[serde(default)]
    late_share: f64,
    points: f64,
}

#[derive(Deserialize)]
struct Family {
    read_level: Vec<String>,
    #[serde(default)]
    staleness_bound_us: Vec<Time>,
    #[serde(default)]
    catch_up_wait_us: Time,
    #[serde(default)]
    origin_time_us: Time,
    #[serde(default)]
    session_marks: String,
    #[serde(default)]
    shows_role: String,
    #[serde(default)]
    when_behind: String,
}

#[derive(Deserialize)]
struct Obligations {
    answer_slack_us: Time,
    #[serde(default)]
    ask_every_us: Time,
    cold_from: f64,
    cold_us: Time,
    drain_grace_us: Time,
    fall_us: Time,
    overload_factor: f64,
    #[serde(default)]
    soft_removal: bool,
}

#[derive(Default, Deserialize)]
struct Penalties {
    #[serde(default)]
    cross_zone: f64,
    #[serde(default)]
    probe: f64,
}

#[derive(Default, Deserialize)]
struct Reporting {
    #[serde(default)]
    names: Vec<String>,
}

struct Instance {
    router: Router,
    classes: BTreeMap<String, usize>,
    origin: Time,
    reports: Vec<String>,
}

/// All routers of this process.
#[derive(Default)]
pub struct Adapter {
    pages: BTreeMap<u64, Arc<[Entry]>>,
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    /// Turns one line of events into the line of actions that answers it.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|cause| format!("not a batch: {cause}"))?;
        let mut groups = Vec::new();
        for bundle in batch.groups {
            let mut events = Vec::new();
            for wire in bundle.events {
                self.event(bundle.i, wire, &mut events).map_err(|c| format!("instance {}: {c}", bundle.i))?;
            }
            let Some(instance) = self.instances.get_mut(&bundle.i) else { continue };
            let mut actions = Vec::new();
            instance.router.step(batch.wall_us, &events, &mut actions);
            if !actions.is_empty() {
                groups
                    .push(json!({"i": bundle.i, "actions": actions.iter().map(action).collect::<Vec<_>>()}));
            }
        }
        Ok(json!({ "groups": groups }).to_string())
    }

    fn event(&mut self, i: u64, wire: Wire, events: &mut Vec<Event>) -> Result<(), String> {
        match wire {
            Wire::Page { slot, rows_in } => {
                let entries: Result<Vec<Entry>, String> = rows_in.into_iter().map(entry).collect();
                self.pages.insert(slot, entries?.into());
                return Ok(());
            }
            Wire::Configure { prng, info } => {
                events.clear();
                self.instances.insert(i, configure(prng, *info)?);
                return Ok(());
            }
            Wire::Teardown => {
                events.clear();
                self.instances.remove(&i);
                return Ok(());
            }
            _ => {}
        }
        let known = self.instances.get(&i).ok_or("event before its Configure")?;
        events.push(match wire {
            Wire::Membership { mode, slot } => match mode.as_str() {
                "X" => Event::ListFailed,
                "D" | "F" | "C" => {
                    let page = self.pages.get(&slot).ok_or(format!("slot: no Page {slot} was defined"))?;
                    Event::List { whole: mode != "D", entries: page.clone() }
                }
                other => return Err(format!("mode: unknown value {other:?}")),
            },
            Wire::Incoming { txn, time_left_us, flags, group_no, token_ms, session, service } => {
                Event::Request {
                    request: txn,
                    class: *known
                        .classes
                        .get(&service)
                        .ok_or(format!("service: unknown class {service:?}"))?,
                    group: group_no as GroupId,
                    time_left: time_left_us,
                    repeat: flags & 2 != 0,
                    session,
                    session_age: (token_ms > 0.0).then_some((token_ms * 1e3) as Time),
                }
            }
            Wire::Done { txn, no_more, node, mark, status, took_us, shot, metrics } => Event::Outcome {
                request: txn,
                attempt: shot,
                member: node,
                ending: ending(&status)?,
                took: took_us,
                closed: no_more,
                position: (mark >> 2 > 0)
                    .then(|| known.origin.saturating_add(((mark >> 2) as Time).saturating_mul(1000))),
                role: match mark & 3 {
                    1 => Some(Role::Primary),
                    2 => Some(Role::Replica),
                    _ => None,
                },
                report: report(known, metrics),
            },
            Wire::Withdrawn { txn } => Event::Withdrawn { request: txn },
            Wire::Wakeup { handle } => Event::Timer { token: handle },
            Wire::HealthResult { node, status, metrics } => {
                Event::Probed { member: node, ending: ending(&status)?, report: report(known, metrics) }
            }
            _ => return Ok(()),
        });
        Ok(())
    }
}

fn entry(row: Row) -> Result<Entry, String> {
    Ok(Entry {
        member: row.node,
        group: row.group,
        zone: row.rack_zone,
        weight: row.weight,
        started: row.ready_at_us,
        standing: match row.stage_state.as_str() {
            "U" => Standing::Up,
            "L" => Standing::Draining,
            "D" => Standing::Gone,
            other => return Err(format!("stage_state: unknown value {other:?}")),
        },
        primary: row.primary >= 0.5,
    })
}

fn ending(status: &str) -> Result<Ending, String> {
    Ok(match status {
        "S" => Ending::Served,
        "E" => Ending::Error,
        "F" => Ending::Full,
        "T" => Ending::TimedOut,
        "C" => Ending::Unreached,
        "R" => Ending::Broken,
        "X" => Ending::CalledOff,
        "N" => Ending::NotSent,
        "M" => Ending::TurnedAway,
        other => return Err(format!("status: unknown outcome {other:?}")),
    })
}

fn report(known: &Instance, values: Option<Vec<f64>>) -> Report {
    let mut report = Report::default();
    for (name, value) in known.reports.iter().zip(values.unwrap_or_default()) {
        match name.as_str() {
            "x0" if value > 0.0 => report.position = Some(known.origin.saturating_add((value * 1e6) as Time)),
            "x1" => report.role = Some(if value >= 0.5 { Role::Primary } else { Role::Replica }),
            "q" => report.waiting = Some(value),
            "busy" => report.busy = Some(value),
            _ => {}
        }
    }
    report
}

fn configure(seed: u64, info: Info) -> Result<Instance, String> {
    let family = &info.family_info;
    let mut classes = Vec::new();
    for (place, class) in info.classes.iter().enumerate() {
        let level = family.read_level.get(place).map(String::as_str);
        classes.push(Class {
            name: class.name.clone(),
            need: match level {
                Some("mutate") => Need::Write,
                Some("strong") => Need::Strong,
                Some("causal") => Need::Session,
                Some("lag_bound") => {
                    Need::Bounded(family.staleness_bound_us.get(place).copied().unwrap_or(-1))
                }
                Some("eventual") => Need::Eventual,
                other => {
                    return Err(format!("read_level: class {:?} has unknown level {other:?}", class.name))
                }
            },
            effect: match class.idempotency.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed {
                    window: class.window_us,
                    scope: match class.group.as_str() {
                        "all" => Scope::All,
                        "zone" => Scope::Zone,
                        "cell" => Scope::Group,
                        other => {
                            return Err(format!("group: class {:?} has unknown scope {other:?}", class.name))
                        }
                    },
                },
                "unsafe" => Effect::Unsafe,
                other => {
                    return Err(format!("idempotency: class {:?} has unknown effect {other:?}", class.name))
                }
            },
            aim: class.aim_us,
            deadline: class.deadline_us,
            worth: class.points,
            late_share: class.late_share,
        });
    }
    let duties = &info.obligations;
    let settings = Settings {
        routers: info.balancers,
        zone: info.zone.clone(),
        granularity: info.granularity_us,
        attempts: info.bounds.attempts_cap,
        may_call_off: info.bounds.cancel,
        may_overlap: info.bounds.second_copies,
        may_probe: info.bounds.probes,
        list_on_request: info.membership_mode == "on_request",
        max_wait_hint: if info.bounds.retry_after { info.bounds.max_retry_after_us } else { 0 },
        answer_slack: duties.answer_slack_us,
        cold_from: duties.cold_from,
        cold_for: duties.cold_us,
        overload_factor: duties.overload_factor,
        overload_span: duties.fall_us,
        drain_grace: duties.drain_grace_us,
        ask_every: duties.ask_every_us,
        soft_removal: duties.soft_removal,
        behind: match family.when_behind.as_str() {
            "off" => Behind::Serve,
            "bounce" => Behind::Refuse,
            "await" => Behind::Wait(family.catch_up_wait_us),
            other => return Err(format!("when_behind: unknown value {other:?}")),
        },
        list_role: match family.shows_role.as_str() {
            "trailing" => ListRole::Trailing,
            "static" => ListRole::Static,
            _ => ListRole::Absent,
        },
        session_marks_kept: family.session_marks == "kept",
        crossing_price: info.penalties.cross_zone,
        probe_price: info.penalties.probe,
        classes,
    };
    Ok(Instance {
        classes: info.classes.iter().enumerate().map(|(place, c)| (c.name.clone(), place)).collect(),
        origin: family.origin_time_us,
        reports: info.reporting.names.clone(),
        router: Router::new(settings, seed).map_err(|cause| format!("info: {cause}"))?,
    })
}

fn action(action: &Action) -> Value {
    match action {
        Action::Send { request, member, until } => {
            json!({"what": "HandOff", "txn": &**request, "stop_at_us": until, "node": member})
        }
        Action::Refuse { request, wait } => json!({"what": "Deny", "txn": &**request, "wait_us": wait}),
        Action::Fail { request } => json!({"what": "Surrender", "txn": &**request}),
        Action::CallOff { request, attempt } => {
            json!({"what": "Retract", "txn": &**request, "shot": attempt})
        }
        Action::Probe { member } => json!({"what": "Sample", "node": member}),
        Action::WatchList => json!({"what": "Watch", "want": true}),
        Action::ReadList => json!({"what": "ReadList"}),
        Action::Timer { token, at } => json!({"what": "NotifyMe", "handle": token, "fire_at_us": at}),
        Action::Note { text } => json!({"what": "Trace", "text": text}),
    }
}
