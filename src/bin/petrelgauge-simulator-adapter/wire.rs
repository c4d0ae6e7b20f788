//! The simulator's messages and the decision module's events and actions, translated into each other.

use petrelgauge::settings::{self, Info};
use petrelgauge::*;
use petrelgauge_sessions::{SessionKey, SessionTracker};
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

struct Instance {
    router: Router,
    classes: BTreeMap<String, usize>,
    origin: Time,
    reports: Vec<String>,
    needs: Vec<Need>,
    sessions: Option<Sessions>,
}

/// The watermarks of an instance whose deployment remembers them: of its own answers, since its start.
struct Sessions {
    tracker: SessionTracker,
    /// Keys of the writes that are open.
    writes: BTreeMap<Arc<str>, SessionKey>,
}

impl Sessions {
    fn new(info: &Info, needs: &[Need]) -> Option<Sessions> {
        let kept = info.remembers_sessions() && needs.contains(&Need::Session);
        let settings = petrelgauge_sessions::Settings { roams: false, ..Default::default() };
        let tracker = kept.then(|| SessionTracker::new(settings, 0).ok())??;
        Some(Sessions { tracker, writes: BTreeMap::new() })
    }

    /// What a request must see, if its class reads what its session wrote.
    fn incoming(
        &mut self,
        now: Time,
        txn: &Arc<str>,
        need: Need,
        group: GroupId,
        name: &str,
    ) -> Option<Time> {
        let key = self.tracker.session_key(group, name);
        if need == Need::Write {
            self.writes.insert(txn.clone(), key);
        }
        (need == Need::Session).then(|| self.tracker.begin_read(now, key, None).position())
    }

    fn done(&mut self, now: Time, txn: &Arc<str>, commit: Option<Time>, over: bool) {
        let key = if over { self.writes.remove(txn) } else { self.writes.get(txn).copied() };
        if let (Some(key), Some(commit)) = (key, commit) {
            self.tracker.record_write(now, key, 0, Some(commit));
        }
    }
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
                self.event(batch.wall_us, bundle.i, wire, &mut events)
                    .map_err(|c| format!("instance {}: {c}", bundle.i))?;
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

    #[expect(clippy::too_many_lines, reason = "to be split by its steps")]
    fn event(&mut self, now: Time, i: u64, wire: Wire, events: &mut Vec<Event>) -> Result<(), String> {
        match wire {
            Wire::Page { slot, rows_in } => {
                let entries: Result<Vec<Entry>, String> = rows_in.into_iter().map(entry).collect();
                self.pages.insert(slot, entries?.into());
                return Ok(());
            }
            Wire::Configure { prng, info } => {
                events.clear();
                self.instances.insert(i, configure(prng, &info)?);
                return Ok(());
            }
            Wire::Teardown => {
                events.clear();
                self.instances.remove(&i);
                return Ok(());
            }
            _ => {}
        }
        let known = self.instances.get_mut(&i).ok_or("event before its Configure")?;
        events.push(match wire {
            // A call for the list failed: the last one holds.
            Wire::Membership { mode, .. } if mode == "X" => return Ok(()),
            Wire::Membership { mode, slot } => match mode.as_str() {
                "D" | "F" | "C" => {
                    let page = self.pages.get(&slot).ok_or(format!("slot: no Page {slot} was defined"))?;
                    Event::List { complete: mode != "D", entries: page.clone() }
                }
                other => return Err(format!("mode: unknown value {other:?}")),
            },
            Wire::Incoming { txn, time_left_us, flags, group_no, token_ms, session, service } => {
                let (group, sessions) = (group_no as GroupId, known.sessions.as_mut());
                let class =
                    *known.classes.get(&service).ok_or(format!("service: unknown class {service:?}"))?;
                let need = known.needs[class];
                let kept = sessions
                    .zip(session)
                    .and_then(|(sessions, name)| sessions.incoming(now, &txn, need, group, &name));
                let brought = token_ms > 0.0 && need == Need::Session;
                let brought = brought.then_some(now - (token_ms * 1e3) as Time);
                Event::Request {
                    class,
                    request: txn,
                    group,
                    time_left: time_left_us,
                    is_retry: flags & 2 != 0,
                    minimum_position: kept.or(brought),
                }
            }
            Wire::Done { txn, no_more, node, mark, status, took_us, shot, metrics } => {
                let position = (mark >> 2 > 0)
                    .then(|| known.origin.saturating_add(((mark >> 2) as Time).saturating_mul(1000)));
                let ending = ending(&status)?;
                if let Some(sessions) = &mut known.sessions {
                    sessions.done(now, &txn, position.filter(|_| ending == Ending::Served), no_more);
                }
                Event::Outcome {
                    request: txn,
                    attempt: shot,
                    member: node,
                    ending,
                    took: took_us,
                    closed: no_more,
                    position,
                    role: match mark & 3 {
                        1 => Some(Role::Primary),
                        2 => Some(Role::Replica),
                        _ => None,
                    },
                    report: report(known, metrics),
                }
            }
            Wire::Withdrawn { txn } => Event::Abandoned { request: txn },
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
        status: match row.stage_state.as_str() {
            "U" => MemberStatus::Up,
            "L" => MemberStatus::Draining,
            "D" => MemberStatus::Removed,
            other => return Err(format!("stage_state: unknown value {other:?}")),
        },
        primary: row.primary >= 0.5,
    })
}

fn ending(status: &str) -> Result<Ending, String> {
    Ok(match status {
        "S" => Ending::Served,
        "E" => Ending::Error,
        "F" => Ending::QueueFull,
        "T" => Ending::TimedOut,
        "C" => Ending::ConnectFailed,
        "R" => Ending::ConnectionLost,
        "X" => Ending::Cancelled,
        "N" => Ending::NotSent,
        "M" => Ending::Rejected,
        other => return Err(format!("status: unknown outcome {other:?}")),
    })
}

fn report(known: &Instance, values: Option<Vec<f64>>) -> Report {
    let names = known.reports.iter().map(String::as_str);
    settings::report(known.origin, names.zip(values.unwrap_or_default()))
}

fn configure(seed: u64, info: &Info) -> Result<Instance, String> {
    let settings = info.settings().map_err(|cause| cause.to_string())?;
    let needs: Vec<Need> = settings.classes.iter().map(|class| class.need).collect();
    Ok(Instance {
        sessions: Sessions::new(info, &needs),
        needs,
        classes: settings.classes.iter().enumerate().map(|(place, c)| (c.name.clone(), place)).collect(),
        origin: info.origin(),
        reports: info.report_names().to_vec(),
        router: Router::new(settings, seed).map_err(|cause| format!("info: {cause}"))?,
    })
}

fn action(action: &Action) -> Value {
    match action {
        Action::Send { request, member, until } => {
            json!({"what": "HandOff", "txn": &**request, "stop_at_us": until, "node": member})
        }
        Action::Reject { request, wait } => json!({"what": "Deny", "txn": &**request, "wait_us": wait}),
        Action::Fail { request } => json!({"what": "Surrender", "txn": &**request}),
        Action::Cancel { request, attempt } => {
            json!({"what": "Retract", "txn": &**request, "shot": attempt})
        }
        Action::Probe { member } => json!({"what": "Sample", "node": member}),
        Action::WatchList => json!({"what": "Watch", "want": true}),
        Action::ReadList => json!({"what": "ReadList"}),
        Action::Timer { token, at } => json!({"what": "NotifyMe", "handle": token, "fire_at_us": at}),
        Action::Log { text } => json!({"what": "Trace", "text": text}),
    }
}
