//! Every decision of a router. The words it is written in (settings, events, actions, endings) stand in
//! `interface.rs`; read that first. What it keeps in mind is plain data in `state.rs`. Order: tuned values,
//! evidence, forecast and trials, pick, primary, requests, health, cold budget, retry and shed, guards.

use crate::interface::*;
use crate::state::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Trials of one forecast (count). Enough to tell a stale share of a tenth; the paper leaves it open.
const TRIALS: u32 = 24;
/// Allowed stale share. A refusal costs little where members refuse by themselves.
const STALE_RATIO: f64 = 0.15;
/// Lag and latency samples kept for a member (count), and for how long (microseconds): a few seconds.
const HISTORY: usize = 12;
const HISTORY_AGE: Time = 3_000_000;
/// Sojourn at a member that admission steers to, as a share of the aim: work is of very unequal length,
/// so the mean must stay well under the aim.
const TARGET: f64 = 0.21;
/// Share of the aim after which a request not yet sent is held to come late: the rest is for the work.
const HOPE: f64 = 1.0 - TARGET;
/// Sojourn, as a share of the aim, that a third of the answers may pass before the members as a whole are
/// crowded. A share of the answers, not a mean: a few bad members are no reason to refuse.
const CROWDED: f64 = 0.5;
/// Mean sojourn under which work given up does not count as a sign of a crowd (share of the aim).
const CALM: f64 = 0.3;
/// Step of the share then refused unsent, for each answer: some tens of answers from nothing to all.
const SHED_STEP: f64 = 0.02;
/// Attempts a member may have out before it has shown what it carries (count).
const FIRST_LIMIT: f64 = 6.0;
/// Share of the primary's room that reads may fill; the rest is kept for what only it can do (fraction).
const READ_ROOM: f64 = 0.6;
/// Part of a cold member's budget that all routers together plan to use, reckoned from what members carry,
/// which is less than they could (fraction). A cold primary gets more: writes have nowhere else to go.
const COLD_SHARE: f64 = 1.3;
const COLD_PRIMARY: f64 = 1.7;
/// The least that a started member is taken to carry: attempts a second of all routers together.
const COLD_LEAST: f64 = 2.0;
/// Span over which a router's own served answers are counted (microseconds): some seconds, to last a lull.
const RATE_SPAN: f64 = 4e6;
/// Times its drawn sojourn that a primary with enough work of its own is ranked at.
const PRIMARY_HANDICAP: f64 = 2.0;
/// Served answers over which the work that only primaries do is compared with reads (count).
const WORK_SEEN: f64 = 100.0;
/// Share of all worth that may be spent on probes (fraction).
const PROBE_SPEND: f64 = 0.002;
/// Longest pause after attempts without service, in doublings of the granularity (count), and the first one
/// after silence. From so many in a row on, a member gets one attempt at a time.
const LONGEST_PAUSE: u32 = 7;
const SILENT_PAUSE: u32 = 4;
const DOUBTFUL: u32 = 4;
/// Wait after which work counts as lost at a member that answers, in aims: sooner, and a crowd looks lost.
const LOST: f64 = 1.25;
/// Silence that a member is allowed, as a share of the shortest aim: so much, and so many of its sojourns.
const QUIET: f64 = 0.3;
const QUIET_LOAD: f64 = 6.0;
/// Span after which a member that is gone is forgotten (microseconds): no list that old may name it again.
const FORGOTTEN: Time = 60_000_000;
/// Share of what clients can hold open that may be held here: the rest is for those yet to come (fraction).
const OPEN_SHARE: f64 = 0.85;

/// One router: feed it events, carry out its actions.
pub struct Router {
    set: Settings,
    rng: Pcg64Mcg,
    now: Time,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<u64, Request>,
    names: BTreeMap<RequestId, u64>,
    outs: BTreeMap<(RequestId, u32), Out>,
    sessions: BTreeMap<Arc<str>, Time>,
    next: u64,
    /// Middle of the time that tries of a class come with.
    typical_try: Vec<Time>,
    ticking: bool,
    asked_at: Time,
    probe_purse: f64,
    noted_at: Time,
    /// Served answers a second, as of when; members that answer.
    rate: f64,
    rated_at: Time,
    alive: usize,
    /// What all members showed lately, as `Member::sojourns`.
    sojourns: Samples<f64>,
    watched_at: Time,
    /// Time that reads and writes lately took at members.
    work: [f64; 2],
    /// Share of the least worthy reads that is refused unsent.
    shed: f64,
    actions: Vec<Action>,
}

impl Router {
    /// A router that knows nothing yet. The seed is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Router, SettingsError> {
        settings.check()?;
        Ok(Router {
            typical_try: vec![0; settings.classes.len()],
            set: settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 0,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            names: BTreeMap::new(),
            outs: BTreeMap::new(),
            sessions: BTreeMap::new(),
            next: 0,
            ticking: false,
            asked_at: Time::MIN / 2,
            // Some probes in advance, for a router that starts in the middle of trouble.
            probe_purse: 100.0 * PROBE_SPEND,
            noted_at: Time::MIN / 2,
            rate: 0.0,
            rated_at: 0,
            alive: 0,
            sojourns: VecDeque::new(),
            watched_at: Time::MIN / 2,
            work: [0.0; 2],
            shed: 0.0,
            actions: Vec::new(),
        })
    }

    /// Takes one batch of events, all at `now`, and appends what is to be done.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::List { whole, entries } => self.list(*whole, entries),
                Event::ListFailed => {}
                Event::Request { .. } => self.request(event),
                Event::Outcome { .. } => self.outcome(event),
                Event::Withdrawn { request } => {
                    if let Some(seq) = self.names.get(request).copied() {
                        self.call_off_all(seq);
                        self.forget(seq);
                    }
                }
                Event::Probed { member, ending, report } => self.probed(*member, *ending, report),
                Event::Timer { .. } => self.ticking = false,
            }
        }
        self.watch_health();
        self.expire();
        self.give_way();
        let waiting: Vec<GroupId> =
            self.groups.iter().filter(|(_, g)| !g.waiting.is_empty()).map(|(id, _)| *id).collect();
        for group in waiting {
            self.pump(group);
        }
        if !self.ticking && !self.requests.is_empty() {
            self.ticking = true;
            self.actions.push(Action::Timer { token: 0, at: now + 2 * self.set.granularity });
        }
        if self.set.list_on_request && now - self.asked_at > self.set.ask_every / 2 {
            self.asked_at = now;
            self.actions.push(Action::WatchList);
        }
        actions.append(&mut self.actions);
    }

    // ---- the list ----

    fn list(&mut self, whole: bool, entries: &[Entry]) {
        if whole {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            for (id, member) in &mut self.members {
                if !named.contains(id) {
                    member.standing = Standing::Gone;
                }
            }
        }
        for entry in entries {
            match self.members.get_mut(&entry.member) {
                // An old list that comes again wipes nothing that is newer.
                Some(member) if member.started > entry.started => continue,
                Some(member) if member.started == entry.started => {
                    member.standing = entry.standing;
                    member.drained |= entry.standing == Standing::Draining;
                }
                known => {
                    let out = known.map_or(0, |member| member.out);
                    let credit = self.chance();
                    self.members.insert(entry.member, Member { out, credit, ..self.blank(entry) });
                }
            }
            let group = self.groups.entry(entry.group).or_default();
            if !group.members.contains(&entry.member) {
                group.members.push(entry.member);
                group.members.sort_unstable();
            }
        }
    }

    fn blank(&self, entry: &Entry) -> Member {
        let named = entry.primary && self.set.list_role != ListRole::Absent;
        Member {
            group: entry.group,
            weight: if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 },
            standing: entry.standing,
            drained: entry.standing == Standing::Draining,
            started: entry.started,
            // The list is the weakest evidence: anything a member says outweighs it.
            primary_at: named as Time,
            limit: FIRST_LIMIT,
            heard: self.now,
            named: self.now,
            credited_at: self.now,
            ..Member::default()
        }
    }

    // ---- evidence ----

    fn learn(&mut self, id: MemberId, position: Option<Time>, role: Option<Role>, when: Option<Time>) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        match (role, when) {
            (Some(Role::Primary), Some(at)) if at > member.primary_at => member.primary_at = at,
            (Some(Role::Replica), Some(at)) if at > member.replica_at => member.replica_at = at,
            _ => {}
        }
        let Some(position) = position else { return };
        member.position = member.position.max(position);
        if role == Some(Role::Replica) && when == Some(now) {
            keep(&mut member.lags, (now, now.saturating_sub(position).max(0)));
        }
    }

    fn outcome(&mut self, event: &Event) {
        let Event::Outcome { request, attempt, member: id, ending, took, closed, position, role, report } =
            event
        else {
            return;
        };
        let now = self.now;
        let out = self.outs.remove(&(request.clone(), *attempt));
        let spoke = matches!(ending, Ending::Served | Ending::Error | Ending::Full | Ending::TurnedAway);
        let seq = self.names.get(request).copied();
        let class = out.as_ref().map(|o| o.class);
        let write = class.is_some_and(|c| self.set.classes[c].need == Need::Write);
        if spoke {
            let commit = write && *ending == Ending::Served;
            self.learn(*id, if commit { None } else { *position }, *role, Some(now));
            self.learn(*id, report.position, report.role, report.position);
            if let (true, Some(at)) = (commit, *position) {
                self.committed(*id, at, seq);
            }
        }
        if *ending == Ending::Served {
            (self.rate, self.rated_at) = (self.rate_now() + 1e6 / RATE_SPAN, now);
            self.work.iter_mut().for_each(|work| *work *= 1.0 - 1.0 / WORK_SEEN);
            self.work[write as usize] += *took as f64;
        }
        if let (Some(member), Some(out)) = (self.members.get_mut(id), &out) {
            member.out = member.out.saturating_sub(1);
            if spoke {
                member.heard = now;
                if std::mem::take(&mut member.suspect) {
                    member.barred_until = now;
                }
            }
            let aims = *took as f64 / self.set.classes[out.class].aim as f64;
            let sample = (now, aims / (1.0 + out.beside));
            // One attempt out at a member is the least a limit can ask for, and hundreds of routers with one
            // each crowd it all the same. So each also sheds reads by the sojourns it sees at all members.
            // Work given up or full counts only where served answers are slow too: else few members did it.
            let all = &self.sojourns;
            let usual = || all.iter().map(|s| s.1).sum::<f64>() / all.len().max(1) as f64;
            let crowded = match ending {
                Ending::Served if sample.1 > CROWDED => 2.0,
                Ending::Served => -1.0,
                Ending::CalledOff | Ending::Full => 2.0 * (usual() / CALM - 1.0).clamp(0.0, 1.0),
                _ => 0.0,
            };
            self.shed = (self.shed + SHED_STEP * crowded).clamp(0.0, 0.95);
            match ending {
                Ending::Served => {
                    member.strikes = 0;
                    keep(&mut member.sojourns, sample);
                    keep(&mut self.sojourns, sample);
                    steer(member, aims);
                }
                // Silent for all of an attempt's time; a probe would have told before.
                Ending::TimedOut if member.heard <= out.sent && !self.set.may_probe => {
                    (member.suspect, member.strikes) = (true, member.strikes.max(SILENT_PAUSE));
                }
                // Work given up unanswered took at least this long. Without it only the quick answers count
                // and a crowded member looks fine. Harms little: a member freed meanwhile regains its limit.
                Ending::TimedOut | Ending::CalledOff => {
                    keep(&mut member.sojourns, sample);
                    steer(member, aims.min(1.0));
                }
                Ending::Full => member.limit = (member.limit * 0.8).max(1.0),
                // Once may be chance or a lossy path; twice in a row is looked into.
                Ending::Unreached | Ending::Broken => member.suspect |= member.strikes > 0,
                _ => {}
            }
            // A member that turns work back fast (full, draining, its connections broken) looks idle and
            // quick, and would draw ever more: each attempt without service doubles a pause. Covers any
            // fault that answers probes and fails requests; harms a member hit by chance, for one pause.
            if !matches!(ending, Ending::Served | Ending::TurnedAway | Ending::CalledOff | Ending::NotSent) {
                member.strikes = (member.strikes + 1).min(LONGEST_PAUSE);
                member.barred_until = now + (self.set.granularity << member.strikes);
            }
        }
        let Some(seq) = seq else { return };
        let Some(req) = self.requests.get_mut(&seq) else { return };
        let never_ran =
            matches!(ending, Ending::Full | Ending::Unreached | Ending::NotSent | Ending::TurnedAway);
        if let Some(tried) = req.attempts.get_mut(*attempt as usize) {
            tried.out = false;
            tried.may_have_run = !never_ran;
            tried.reached = !matches!(ending, Ending::Unreached | Ending::NotSent);
        }
        if *closed || *ending == Ending::Served {
            self.call_off_all(seq);
            self.forget(seq);
            return;
        }
        if *ending != Ending::CalledOff {
            req.refused.push((*id, now));
        }
        if req.attempts.iter().any(|a| a.out) {
            return;
        }
        let effect = self.set.classes[req.class].effect;
        if effect == Effect::Unsafe && !never_ran {
            return self.finish(seq);
        }
        let group = req.group;
        self.groups.entry(group).or_default().waiting.insert(seq);
    }

    fn committed(&mut self, id: MemberId, at: Time, seq: Option<u64>) {
        let Some(member) = self.members.get(&id) else { return };
        let group = self.groups.entry(member.group).or_default();
        let place = group.commits.partition_point(|&c| c <= at);
        group.commits.insert(place, at);
        if group.commits.len() > 4 * HISTORY {
            group.commits.pop_front();
        }
        let session = seq.and_then(|s| self.requests.get(&s)).and_then(|r| r.session.clone());
        if let (true, Some(session)) = (self.set.session_marks_kept, session) {
            let mark = self.sessions.entry(session).or_insert(at);
            *mark = at.max(*mark);
        }
    }

    // ---- forecast, trials and pick (Ye and Hu, section 4, as the design page adapts it) ----

    /// The newest commit a read must see, or none where any data will do.
    fn forecast(&mut self, seq: u64) -> Option<Time> {
        let req = self.requests.get(&seq)?;
        match self.set.classes[req.class].need {
            Need::Session => req.mark,
            Need::Bounded(bound) => {
                let horizon = self.now - bound;
                let commits = &self.groups.get(&req.group)?.commits;
                let place = commits.partition_point(|&c| c <= horizon);
                if place < commits.len() || commits.len() < 2 {
                    return Some(if place > 0 { commits[place - 1] } else { horizon });
                }
                let (mut at, count) = (commits[place - 1], commits.len() - 1);
                let gaps: Vec<Time> = (0..count).map(|i| (commits[i + 1] - commits[i]).max(1)).collect();
                for _ in 0..8 * HISTORY {
                    let gap = gaps[(self.rng.next_u64() % count as u64) as usize];
                    if at + gap > horizon {
                        return Some(at);
                    }
                    at += gap;
                }
                Some(horizon)
            }
            _ => None,
        }
    }

    fn chance(&mut self) -> f64 {
        self.rng.next_u64() as f64 / u64::MAX as f64
    }

    fn live<'a, T>(&self, samples: &'a Samples<T>) -> impl Iterator<Item = &'a (Time, T)> + Clone {
        let now = self.now;
        samples.iter().filter(move |sample| now - sample.0 < HISTORY_AGE)
    }

    /// A drawn lag: a recent sample, moved on by the trend of the member's samples. Unheard ones are tried.
    fn draw_lag(&mut self, id: MemberId) -> Time {
        let dice = self.rng.next_u64() as usize;
        let Some(member) = self.members.get(&id).filter(|m| !m.leads()) else { return 0 };
        let live = self.live(&member.lags);
        let count = live.clone().count();
        let (Some(first), Some(last)) = (live.clone().next(), live.clone().last()) else { return 0 };
        let slope = (last.1 - first.1) as f64 / (last.0 - first.0).max(1) as f64;
        let trend = if count < 3 { 0.0 } else { slope.clamp(-4.0, 1.0) };
        let (at, lag) = live.clone().nth(dice % count).unwrap_or(last);
        (lag + (trend * (self.now - at) as f64) as Time).max(0)
    }

    /// A drawn sojourn in aims: a recent sample, scaled to what is out now. The fewer a member has, the
    /// more often one of what all members showed stands in: a router with little traffic hears most of them
    /// seldom, and hundreds of routers must not all take the same unheard member.
    fn draw_sojourn(&mut self, id: MemberId, lent: bool) -> f64 {
        let (dice, order) = (self.rng.next_u64() as usize, self.chance());
        let Some(member) = self.members.get(&id) else { return TARGET };
        let handicap = if member.leads() && !lent { PRIMARY_HANDICAP } else { 1.0 };
        let (own, all) = (self.live(&member.sojourns), self.live(&self.sojourns));
        let count = own.clone().count();
        let drawn = match dice % (count + 1) {
            place if place < count => own.clone().nth(place),
            _ => all.clone().nth((order * all.clone().count() as f64) as usize),
        };
        drawn.map_or(TARGET * order, |sample| sample.1) * (1.0 + member.out as f64) * handicap
    }

    /// One read: trials over the usable members, the smallest R that passes, and the pick.
    fn pick(&mut self, need: Option<Time>, usable: &[MemberId], lent: bool) -> Option<MemberId> {
        if usable.is_empty() {
            return None;
        }
        let count = usable.len();
        let mut own = vec![0u32; count];
        let mut first_fresh = vec![0u32; count];
        for _ in 0..TRIALS {
            let mut draws: Vec<(f64, usize, bool)> = Vec::with_capacity(count);
            for (place, id) in usable.iter().enumerate() {
                let lag = self.draw_lag(*id);
                let fresh = need.is_none_or(|commit| lag < self.now - commit);
                own[place] += fresh as u32;
                draws.push((self.draw_sojourn(*id, lent), place, fresh));
            }
            draws.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some(rank) = draws.iter().position(|d| d.2) {
                first_fresh[rank] += 1;
            }
        }
        let wanted = (1.0 - STALE_RATIO) * TRIALS as f64;
        let fresh_within = |readers: usize| first_fresh[..readers].iter().sum::<u32>() as f64;
        let readers = (1..=count).find(|r| fresh_within(*r) >= wanted).unwrap_or(count);
        let mut ranked: Vec<(f64, usize)> =
            (0..count).map(|place| (self.draw_sojourn(usable[place], lent), place)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = own.iter().copied().max().filter(|best| *best > 0)?;
        let passing = ranked.iter().take(readers).find(|(_, place)| own[*place] as f64 >= wanted);
        let (_, place) = passing.or_else(|| ranked.iter().find(|(_, place)| own[*place] == best))?;
        Some(usable[*place])
    }

    // ---- the primary ----

    /// The member with the newest evidence of being primary that it has not itself denied since.
    fn primary(&self, group: GroupId) -> Option<MemberId> {
        self.peers(group)
            .iter()
            .filter_map(|id| self.members.get(id).map(|m| (m, *id)))
            .filter(|(m, _)| m.leads())
            .max_by_key(|(m, id)| (m.primary_at, *id))
            .map(|(_, id)| id)
    }

    fn peers(&self, group: GroupId) -> &[MemberId] {
        self.groups.get(&group).map_or(&[], |g| &g.members)
    }

    /// Does the list leave it in service? With `soft_removal` a member called gone is only claimed to be: its
    /// own answers, its silence and its probes decide, as for any other. Covers lists that are empty, old or
    /// short of running members; harms by an attempt or two at each member that has truly gone.
    fn standing(&self, member: &Member) -> bool {
        !member.drained && (member.standing == Standing::Up || self.set.soft_removal)
    }

    fn well(&self, id: MemberId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|m| self.standing(m) && !m.down && !m.suspect && self.now >= m.barred_until)
    }

    // ---- requests ----

    fn request(&mut self, event: &Event) {
        let Event::Request { request, class, group, time_left, repeat, session, session_age } = event else {
            return;
        };
        let chance = self.chance();
        let Some(spec) = self.set.classes.get(*class) else {
            return self.actions.push(Action::Refuse { request: request.clone(), wait: 0 });
        };
        let (kept, now) = (self.set.session_marks_kept, self.now);
        // Most requests are first tries with one span: well less time than the middle means a later try,
        // whose first is so much older. A middle, for some later tries come with more time than that.
        let typical = &mut self.typical_try[*class];
        let step = if *typical == 0 { *time_left } else { *typical / 64 };
        if !repeat {
            *typical += if *time_left > *typical { step } else { -step };
        }
        let age = if *time_left < *typical - *typical / 16 { spec.deadline - time_left } else { 0 };
        // A marked repeat was most likely refused by a router that had held it while there was hope.
        let age = if *repeat { age.max(share_of(spec.aim, HOPE)) } else { age };
        // The least worth for its work goes first; what is worth k times as much is shed with the k-th power.
        let reads = self.set.classes.iter().filter(|c| c.need != Need::Write);
        let least = reads.map(worth_for_work).fold(f64::INFINITY, f64::min).max(1e-12);
        let shed = if spec.need == Need::Write { 0.0 } else { self.shed };
        if chance < shed.powf(worth_for_work(spec) / least) {
            let wait = self.set.max_wait_hint;
            return self.actions.push(Action::Refuse { request: request.clone(), wait });
        }
        let mark = match (spec.need, session) {
            (Need::Session, Some(session)) if kept => self.sessions.get(session).copied(),
            (Need::Session, _) => session_age.map(|age| now - age),
            _ => None,
        };
        let seq = self.next;
        self.next += 1;
        self.probe_purse += PROBE_SPEND;
        self.names.insert(request.clone(), seq);
        let state = Request {
            id: request.clone(),
            class: *class,
            group: *group,
            born: now - age.max(0),
            end: now + time_left,
            half: now + time_left / 2,
            session: session.clone(),
            mark,
            attempts: Vec::new(),
            refused: Vec::new(),
        };
        self.requests.insert(seq, state);
        self.groups.entry(*group).or_default().waiting.insert(seq);
    }

    /// Worth for each unit of work, judged now.
    fn density(&self, req: &Request) -> f64 {
        let class = &self.set.classes[req.class];
        let late = self.now - req.born >= share_of(class.aim, HOPE);
        // What only the primary can do goes first: other members may yet take the reads.
        let bound = matches!(class.need, Need::Write | Need::Strong) as u8 as f64;
        (1.0 + bound) * worth_for_work(class) * if late { class.late_share } else { 1.0 }
    }

    fn pump(&mut self, group: GroupId) {
        let Some(state) = self.groups.get(&group) else { return };
        let mut order: Vec<(f64, u64)> = state
            .waiting
            .iter()
            .filter_map(|seq| self.requests.get(seq).map(|r| (self.density(r), *seq)))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut stuck: BTreeSet<usize> = BTreeSet::new();
        for (_, seq) in order {
            let Some(req) = self.requests.get(&seq) else { continue };
            let (class, calm) = (req.class, req.refused.is_empty() && req.mark.is_none());
            if calm && stuck.contains(&class) {
                continue;
            }
            let choice = match self.set.classes[class].need {
                Need::Write | Need::Strong => self.place_at_primary(seq),
                _ => self.place_read(seq),
            };
            if let Some(member) = choice {
                self.send(seq, member);
            } else if calm {
                stuck.insert(class);
            }
        }
    }

    fn room(&self, id: MemberId, share: f64) -> bool {
        let limit = |m: &Member| if m.strikes >= DOUBTFUL { 1.0 } else { (m.limit * share).max(1.0) };
        self.members.get(&id).is_some_and(|m| (m.out.saturating_sub(m.lost) as f64) < limit(m))
    }

    /// May a suspect be tried again? One attempt at a time finds out, a short one for choice.
    fn due(&self, id: MemberId) -> bool {
        let able = |m: &Member| self.standing(m) && !m.down && m.suspect && self.now >= m.barred_until;
        !self.set.may_probe && self.members.get(&id).is_some_and(able) && self.cold_room(id)
    }

    fn lately_refused(&self, req: &Request, id: MemberId) -> bool {
        let pause = self.set.classes[req.class].aim / 8;
        req.refused.iter().any(|(m, at)| *m == id && self.now - at < pause)
    }

    fn place_at_primary(&mut self, seq: u64) -> Option<MemberId> {
        let req = self.requests.get(&seq)?;
        let group = req.group;
        let write = self.set.classes[req.class].need == Need::Write;
        let pause = self.set.classes[req.class].aim / 8;
        if let Some(primary) = self.primary(group) {
            if self.well(primary) {
                let free = self.room(primary, if write { 1.0 } else { READ_ROOM });
                return (free && !self.lately_refused(req, primary)).then_some(primary);
            }
            // Reads try it again first: of a write nobody knows then whether it ran.
            let silent = self.members.get(&primary).is_some_and(|m| self.now - m.heard > 2 * self.silence());
            if silent && self.due(primary) {
                return Some(primary);
            }
        }
        // No primary that answers: one request at a time scouts another member; the rest wait.
        if !write && self.set.behind == Behind::Serve {
            return None;
        }
        let spent = req.attempts.len() + 2 > self.set.attempts as usize;
        if spent || self.now - self.groups.get(&group)?.scout_at < pause / 2 {
            return None;
        }
        let options = self.peers(group).iter().copied().filter(|id| self.well(*id));
        let oldest = options
            .filter(|id| Some(*id) != self.primary(group) && !self.lately_refused(req, *id))
            .min_by_key(|id| self.members[id].replica_at)?;
        self.groups.get_mut(&group)?.scout_at = self.now;
        Some(oldest)
    }

    fn place_read(&mut self, seq: u64) -> Option<MemberId> {
        let req = self.requests.get(&seq)?;
        let primary = self.primary(req.group);
        let last = req.attempts.len() + 1 >= self.set.attempts as usize;
        let class = &self.set.classes[req.class];
        if req.attempts.is_empty() && class.effect == Effect::Safe && class.aim <= 2 * self.brief() {
            if let Some(id) = self.peers(req.group).iter().copied().find(|id| self.due(*id)) {
                return Some(id);
            }
        }
        let share = |id: &MemberId| if Some(*id) == primary { READ_ROOM } else { 1.0 };
        let able = |id: &MemberId| self.well(*id) && self.room(*id, share(id)) && self.cold_room(*id);
        let mut usable: Vec<MemberId> = self.peers(req.group).iter().copied().filter(able).collect();
        usable.retain(|id| !self.lately_refused(req, *id) && (!last || Some(*id) == primary));
        // What a cold primary's budget holds is for writes, so long as reads have another member.
        if usable.iter().any(|id| Some(*id) != primary) {
            let cold = |id: MemberId| self.present_share(&self.members[&id]) < 1.0;
            usable.retain(|id| Some(*id) != primary || !cold(*id));
        }
        let need = self.forecast(seq);
        // The primary has work of its own. It ranks later for reads, but for so many as bring it to an even
        // share of all work seen: more would crowd it, fewer crowd the replicas.
        let bound = self.work[1] / (self.work[0] + self.work[1]).max(1.0);
        let lent = self.chance() * (1.0 - bound) < 1.0 - bound * usable.len() as f64;
        self.pick(need, &usable, lent)
    }

    // ---- health ----

    /// Half the longest aim, and the shortest aim.
    fn silence(&self) -> Time {
        self.set.classes.iter().map(|c| c.aim).max().unwrap_or(0) / 2
    }

    fn brief(&self) -> Time {
        self.set.classes.iter().map(|c| c.aim).min().unwrap_or(0)
    }

    fn watch_health(&mut self) {
        let (now, silence, brief) = (self.now, self.silence(), self.brief());
        if now - self.watched_at < brief / 8 {
            return;
        }
        self.watched_at = now;
        // A member that drops some of its work and answers the rest must not have its room held by what is
        // lost. Covers lossy paths and hung requests of any kind; harms a crowded member by some more work.
        for member in self.members.values_mut() {
            (member.lost, member.quiet) = (0, (0.0, 0));
            if member.standing != Standing::Gone || member.out > 0 || self.set.soft_removal {
                member.named = now;
            }
        }
        // Members are replaced for as long as a router runs.
        self.members.retain(|_, member| now - member.named < FORGOTTEN);
        let members = &self.members;
        self.groups.values_mut().for_each(|group| group.members.retain(|id| members.contains_key(id)));
        for out in self.outs.values() {
            let Some(member) = self.members.get_mut(&out.member) else { continue };
            let (waited, aim) = (now - out.sent, self.set.classes[out.class].aim);
            if member.heard > out.sent {
                member.lost += (waited > share_of(aim, LOST)) as u32;
            } else {
                member.quiet = (member.quiet.0 + waited as f64 / aim as f64, member.quiet.1.max(waited));
            }
        }
        self.alive = self.members.values().filter(|m| self.standing(m) && !m.down).count();
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        for id in ids {
            let Some(member) = self.members.get_mut(&id) else { continue };
            // Nothing heard since several were sent says soon what one alone says after its aim; a crowded
            // member is given longer. Covers what hangs or is cut off; harms one that pauses, for a moment.
            let usual = share_of(brief, QUIET + QUIET_LOAD * member.load);
            let (waits, longest) = member.quiet;
            if self.set.may_probe {
                member.suspect |= longest > silence;
            } else if waits >= 1.0 && longest > usual && !member.suspect {
                member.suspect = true;
                member.strikes = member.strikes.max(SILENT_PAUSE);
                member.barred_until = now + (self.set.granularity << member.strikes);
                self.note(format!("member {id} is silent: {waits:.1} aims, {longest} us at the longest"));
                self.abandon(id, |effect| effect == Effect::Safe);
            }
            let Some(member) = self.members.get(&id) else { continue };
            let pause = if member.down { 2 * silence } else { silence / 4 };
            if member.suspect || member.down {
                self.probe(id, pause);
            }
        }
        let leaderless = |(id, g): &(&GroupId, &Group)| {
            !g.waiting.is_empty() && self.primary(**id).is_none_or(|p| !self.well(p))
        };
        let asked: Vec<MemberId> =
            self.groups.iter().filter(leaderless).flat_map(|(_, g)| g.members.clone()).collect();
        for id in asked {
            self.probe(id, 2 * silence);
        }
    }

    /// Probes a member that is not being probed, at most once in `pause`, while the purse lasts.
    fn probe(&mut self, id: MemberId, pause: Time) -> bool {
        let price = self.set.probe_price;
        let Some(member) = self.members.get_mut(&id) else { return false };
        let gone = member.standing == Standing::Gone;
        // What is called gone and does not answer is asked ever more rarely.
        let pause = if gone { pause.max((member.probed_at - member.heard) / 4) } else { pause };
        let listed = !gone || self.set.soft_removal;
        let due = listed && !member.probe_out && self.now - member.probed_at > pause;
        if !due || !self.set.may_probe || self.probe_purse < price {
            return false;
        }
        self.probe_purse -= price;
        member.probe_out = true;
        member.probed_at = self.now;
        self.actions.push(Action::Probe { member: id });
        true
    }

    fn probed(&mut self, id: MemberId, ending: Ending, report: &Report) {
        self.learn(id, report.position, report.role, report.position);
        let (now, chance) = (self.now, self.chance());
        let Some(member) = self.members.get_mut(&id) else { return };
        member.probe_out = false;
        if ending == Ending::Served {
            member.heard = now;
            member.suspect = false;
            if member.down {
                member.down = false;
                // It may have restarted unannounced: it counts as cold from now.
                member.revived = now;
                (member.credit, member.credited_at) = (chance, now);
                member.limit = FIRST_LIMIT.min(member.limit);
                self.note(format!("member {id} answers again"));
            }
        } else if matches!(ending, Ending::TimedOut | Ending::Unreached | Ending::Broken) && !member.down {
            member.down = true;
            member.lags.clear();
            member.sojourns.clear();
            self.note(format!("member {id} does not answer, nothing new goes there"));
            self.abandon(id, |effect| effect != Effect::Unsafe);
        }
    }

    /// Calls work off a member that does not answer, so that it can go elsewhere.
    fn abandon(&mut self, id: MemberId, repeatable: impl Fn(Effect) -> bool) {
        let lost_at = |req: &Request| req.attempts.iter().position(|a| a.out && a.member == id);
        let open = self.requests.iter().filter(|(_, req)| repeatable(self.set.classes[req.class].effect));
        let off: Vec<(u64, usize)> = open.filter_map(|(seq, r)| lost_at(r).map(|p| (*seq, p))).collect();
        for (seq, place) in off {
            self.call_off(seq, place);
        }
    }

    // ---- the cold budget ----

    fn present_share(&self, member: &Member) -> f64 {
        let started = member.started.max(member.revived);
        let age = self.now - started;
        if started <= 0 || age >= self.set.cold_for {
            return 1.0;
        }
        let grown = age.max(0) as f64 / self.set.cold_for.max(1) as f64;
        self.set.cold_from + (1.0 - self.set.cold_from) * grown
    }

    /// Served answers a second, as of now: a mean over some seconds.
    fn rate_now(&self) -> f64 {
        self.rate * (-((self.now - self.rated_at) as f64) / RATE_SPAN).exp()
    }

    /// Attempts that a cold member may be sent now. It gets its share of what this router sees members carry,
    /// so that the routers together stay inside the budget without a word between them. Each starts from a
    /// drawn part of one attempt: with hundreds of routers even one from each at once would push it over.
    fn cold_credit(&self, member: &Member, share: f64) -> f64 {
        let carried = self.rate_now() / self.alive.max(1) as f64 * member.weight.min(1.0);
        let least = COLD_LEAST / self.set.routers as f64;
        let part = if member.leads() { COLD_PRIMARY } else { COLD_SHARE };
        let rate = part * self.set.overload_factor * share * carried.max(least);
        let most = (rate * self.set.overload_span as f64 / 2e6).max(1.0);
        (member.credit + rate * (self.now - member.credited_at) as f64 / 1e6).min(most)
    }

    fn cold_room(&self, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let share = self.present_share(member);
        share >= 1.0 || self.cold_credit(member, share) >= 1.0
    }

    // ---- retry and shed ----

    fn expire(&mut self) {
        let now = self.now;
        let margin = 2 * self.set.granularity;
        let mut ended = Vec::new();
        for (seq, req) in &self.requests {
            let class = &self.set.classes[req.class];
            let out = req.attempts.iter().any(|a| a.out);
            let hope = share_of(class.aim, if out { 1.0 } else { HOPE });
            let late = now >= req.born + hope;
            let worthless = class.effect == Effect::Safe && class.late_share <= 0.0 && late;
            // Never sent by half its time, it has little hope here; its client still has time to retry.
            let unsent = req.attempts.iter().all(|a| !a.out && !a.reached);
            let end = if unsent { req.half } else { req.end };
            if now + margin >= end || worthless {
                ended.push(*seq);
            }
        }
        for seq in ended {
            self.finish(seq);
        }
    }

    /// Clients hold only so many connections: with all of them in use the next request reaches nobody. What
    /// waits with the least to gain gives way, and then late reads that are out.
    fn give_way(&mut self) {
        let excess = self.requests.len().saturating_sub((self.set.most_open as f64 * OPEN_SHARE) as usize);
        if excess == 0 {
            return;
        }
        let mut least: Vec<(f64, u64)> = Vec::new();
        for (seq, req) in &self.requests {
            let class = &self.set.classes[req.class];
            let out = req.attempts.iter().any(|a| a.out);
            let late = self.now - req.born >= class.aim;
            let ran = req.attempts.iter().any(|a| a.may_have_run);
            let spare = if class.effect == Effect::Safe { !out || late } else { !out && !ran };
            let led = self.primary(req.group).is_some_and(|id| self.well(id));
            let hope = if class.need == Need::Write && !led { 0.1 } else { 1.0 };
            if spare {
                least.push((self.density(req) * hope, *seq));
            }
        }
        least.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.iter().take(excess).for_each(|(_, seq)| self.finish(*seq));
    }

    /// The one final answer of a request this router ends itself.
    fn finish(&mut self, seq: u64) {
        let Some(req) = self.requests.get(&seq) else { return };
        let id = req.id.clone();
        let class = &self.set.classes[req.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed { scope: Scope::All, .. } => true,
            _ => req.attempts.iter().all(|a| !a.out && !a.may_have_run),
        };
        if class.effect == Effect::Safe {
            self.call_off_all(seq);
        }
        let refuse = Action::Refuse { request: id.clone(), wait: self.set.max_wait_hint };
        self.actions.push(if harmless { refuse } else { Action::Fail { request: id } });
        self.forget(seq);
    }

    fn forget(&mut self, seq: u64) {
        let Some(req) = self.requests.remove(&seq) else { return };
        self.names.remove(&req.id);
        self.groups.entry(req.group).or_default().waiting.remove(&seq);
    }

    fn call_off(&mut self, seq: u64, place: usize) {
        let Some(req) = self.requests.get(&seq) else { return };
        if self.set.may_call_off && req.attempts.get(place).is_some_and(|a| a.out) {
            self.actions.push(Action::CallOff { request: req.id.clone(), attempt: place as u32 });
        }
    }

    fn call_off_all(&mut self, seq: u64) {
        let count = self.requests.get(&seq).map_or(0, |r| r.attempts.len());
        for place in 0..count {
            self.call_off(seq, place);
        }
    }

    fn note(&mut self, text: String) {
        if self.now - self.noted_at > 200_000 {
            self.noted_at = self.now;
            self.actions.push(Action::Note { text });
        }
    }

    // ---- guards ----

    /// May this attempt go out at all? Asked for every send, whatever path wants it.
    fn allowed(&self, req: &Request, id: MemberId) -> bool {
        let Some(member) = self.members.get(&id) else { return false };
        let class = &self.set.classes[req.class];
        // Rule 1: only an open request, and only while its client waits.
        let in_time = self.now < req.end && req.attempts.len() < self.set.attempts as usize;
        // Rule 2: no second effect, no second copy where there may be none.
        let alone = self.set.may_overlap || !req.attempts.iter().any(|a| a.out);
        let first_run = req.attempts.iter().find(|a| a.out || a.may_have_run);
        let repeatable = match (class.effect, first_run) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed { window, scope }, Some(first)) => {
                let same = match scope {
                    Scope::All => true,
                    Scope::Group => self.members.get(&first.member).is_some_and(|m| m.group == member.group),
                    Scope::Zone => first.member == id,
                };
                same && self.now + self.set.granularity < first.sent + window
            }
        };
        // Rule 3: nothing new to a member known to drain or be gone (the grace is not used).
        let standing = self.standing(member) && member.group == req.group;
        // Rule 5: where members do not check for themselves, the data must be known to be fresh enough.
        let fresh = self.set.behind != Behind::Serve
            || member.leads()
            || match class.need {
                Need::Write | Need::Eventual => true,
                Need::Strong => false,
                Need::Session => req.mark.is_none_or(|mark| member.position >= mark),
                Need::Bounded(bound) => member.position >= self.now - bound,
            };
        // Rule 4: the cold budget.
        in_time && alone && repeatable && standing && fresh && self.cold_room(id)
    }

    fn send(&mut self, seq: u64, id: MemberId) {
        let Some(req) = self.requests.get(&seq).filter(|req| self.allowed(req, id)) else { return };
        let (now, request, class, end) = (self.now, req.id.clone(), req.class, req.end);
        let place = req.attempts.len() as u32;
        let Some(member) = self.members.get(&id) else { return };
        let credit = self.cold_credit(member, self.present_share(member)) - 1.0;
        let Some(member) = self.members.get_mut(&id) else { return };
        (member.credit, member.credited_at) = (credit, now);
        // A suspect is tried for a short while, so that its request has time left for another.
        let trial = now + self.set.classes[class].aim / 2;
        let until = if member.suspect { end.min(trial) } else { end };
        if member.suspect {
            member.barred_until = trial;
        }
        let out = Out { member: id, sent: now, class, beside: member.out as f64 };
        self.outs.insert((request.clone(), place), out);
        member.out += 1;
        if let Some(req) = self.requests.get_mut(&seq) {
            req.attempts.push(Attempt {
                member: id,
                sent: now,
                out: true,
                may_have_run: false,
                reached: false,
            });
            self.groups.entry(req.group).or_default().waiting.remove(&seq);
        }
        self.actions.push(Action::Send { request, member: id, until });
    }
}

impl Member {
    fn leads(&self) -> bool {
        self.primary_at > self.replica_at
    }
}

/// Worth for each unit of work. Aims stand for work: they are set by it.
fn worth_for_work(class: &Class) -> f64 {
    class.worth / class.aim as f64
}

fn share_of(span: Time, share: f64) -> Time {
    (span as f64 * share) as Time
}

fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > HISTORY {
        samples.pop_front();
    }
}

/// Moves the number of attempts a member may have out towards the sojourn aimed at.
fn steer(member: &mut Member, aims: f64) {
    member.load += (aims - member.load) * 0.15;
    // The root keeps small limits growing, so that many routers share a member evenly and none starves.
    let push = 0.5 * ((TARGET / member.load.max(1e-6)).clamp(0.5, 1.0) - 1.0 + 0.5 / member.limit.sqrt());
    if push < 0.0 || member.out as f64 + 1.0 >= 0.7 * member.limit {
        member.limit = (member.limit + push).clamp(1.0, 512.0);
    }
}
