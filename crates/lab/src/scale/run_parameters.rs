//! How duties are carried in a run, its spans, and the sizes that it plays.

use std::time::Duration;

/// How duties are carried.
pub struct Mode {
    /// The experiment's name.
    pub name: &'static str,
    /// How many acceptors there are.
    pub acceptors: usize,
    /// More of the record `ownership`.
    pub record: &'static str,
    /// How many of them share the owners' work.
    pub owners: usize,
    /// Duties that there are.
    pub duties: u64,
    /// Groups whose limits are shared out at most.
    pub shared: f64,
}

/// One owner for all groups.
pub const SINGLE_OWNER: Mode = Mode {
    name: "scale-single-owner",
    acceptors: 3,
    record: "duties: [\"scout\", \"shares\"]\n",
    owners: 1,
    duties: 2,
    shared: 256.0,
};

/// Each duty in nine shards over nine acceptors, as many as the operators set machines aside.
pub const SHARDED: Mode = Mode {
    name: "scale",
    acceptors: 9,
    record: "duties: [\"scout\", \"shares\"]\nshards: 9\n",
    owners: 9,
    duties: 18,
    shared: f64::MAX,
};

/// Spans of a run.
#[derive(Clone, Copy)]
pub(super) struct Spans {
    /// The lease (milliseconds).
    pub(super) lease_ms: u64,
    /// From when all duties have owners to the first look.
    pub(super) warm: Duration,
    /// Between two looks: some times the 1.05 s after which a leader is told again.
    pub(super) window: Duration,
}

impl Spans {
    pub(super) fn of(short: bool) -> Spans {
        match short {
            true => Spans {
                lease_ms: 500,
                warm: Duration::from_millis(300),
                window: Duration::from_millis(2_200),
            },
            false => {
                Spans { lease_ms: 2_000, warm: Duration::from_secs(2), window: Duration::from_millis(5_250) }
            }
        }
    }
}

/// A fleet's size: gateways, entries of the list, changes of it a minute.
pub(super) type Played = (usize, usize, f64);

/// Sizes of a run: gateways, hosts and changes of the list a minute. The last of each axis is the largest.
pub(super) struct Axes {
    pub(super) base: Played,
    pub(super) gateways: [usize; 4],
    pub(super) hosts: [usize; 4],
    pub(super) changes: [f64; 4],
    /// Gateways of the fleets that exchange marks, and hosts of all of these.
    pub(super) sessions: ([usize; 3], usize),
}

impl Axes {
    pub(super) fn of(short: bool) -> Axes {
        match short {
            true => Axes {
                base: (40, 240, 600.0),
                gateways: [40, 80, 120, 160],
                hosts: [240, 480, 720, 960],
                changes: [0.0, 600.0, 1_800.0, 3_000.0],
                sessions: ([12, 16, 24], 50),
            },
            false => Axes {
                base: (150, 600, 600.0),
                gateways: [50, 150, 400, 800],
                hosts: [120, 600, 1_500, 2_900],
                changes: [0.0, 600.0, 1_800.0, 3_000.0],
                sessions: ([12, 20, 36], 80),
            },
        }
    }

    /// All sizes: first those from which the others are predicted, then the largest of each axis.
    pub(super) fn sizes(&self) -> (Vec<Played>, Vec<Played>) {
        let (gateways, hosts, changes) = self.base;
        let mut small = vec![self.base];
        small.extend(self.gateways[..3].iter().map(|count| (*count, hosts, changes)));
        small.extend(self.hosts[..3].iter().map(|count| (gateways, *count, changes)));
        small.extend(self.changes[..3].iter().map(|rate| (gateways, hosts, *rate)));
        small.dedup();
        let mut seen = Vec::new();
        small.retain(|size| {
            let new = !seen.contains(size);
            seen.push(*size);
            new
        });
        let largest = vec![
            (self.gateways[3], hosts, changes),
            (gateways, self.hosts[3], changes),
            (gateways, hosts, self.changes[3]),
        ];
        (small, largest)
    }
}
