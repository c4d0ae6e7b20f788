//! The parameters of a scale run: the spread of leadership roles, its durations, and the sizes of its fleets.

use std::time::Duration;

/// How leadership roles are spread over the fleet.
pub struct Mode {
    /// The experiment's name.
    pub name: &'static str,
    /// Number of acceptors.
    pub acceptors: usize,
    /// Further settings in the record `ownership` of the operator's file.
    pub record: &'static str,
    /// Number of acceptors that share the lease holders' work.
    pub lease_holders: usize,
    /// Number of leases.
    pub leases: u64,
    /// Maximum number of groups with shared quotas.
    pub quota_groups: f64,
}

/// One lease holder for all groups.
pub const SINGLE_OWNER: Mode = Mode {
    name: "scale-single-owner",
    acceptors: 3,
    record: "duties: [\"scout\", \"shares\"]\n",
    lease_holders: 1,
    leases: 2,
    quota_groups: 256.0,
};

/// Each role in nine shards over nine acceptors.
pub const SHARDED: Mode = Mode {
    name: "scale",
    acceptors: 9,
    record: "duties: [\"scout\", \"shares\"]\nshards: 9\n",
    lease_holders: 9,
    leases: 18,
    quota_groups: f64::MAX,
};

/// Durations of a run.
#[derive(Clone, Copy)]
pub(super) struct RunDurations {
    /// A lease (milliseconds).
    pub(super) lease_ms: u64,
    /// From the first lease holders to the first snapshot.
    pub(super) warm_up: Duration,
    /// From the first to the last snapshot: several times the interval at which a lease holder repeats its
    /// notifications.
    pub(super) window: Duration,
}

const FULL_DURATIONS: RunDurations =
    RunDurations { lease_ms: 2_000, warm_up: Duration::from_secs(2), window: Duration::from_millis(5_250) };
const SHORT_DURATIONS: RunDurations =
    RunDurations { lease_ms: 500, warm_up: Duration::from_millis(300), window: Duration::from_millis(2_200) };

impl RunDurations {
    pub(super) fn new(short: bool) -> RunDurations {
        if short {
            SHORT_DURATIONS
        } else {
            FULL_DURATIONS
        }
    }
}

/// The planned size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSize {
    /// Number of gateways.
    pub gateways: usize,
    /// Entries of the endpoint list.
    pub hosts: usize,
    /// Changes of the endpoint list per minute.
    pub changes_per_minute: f64,
}

/// The sizes of a run, in ascending order on each axis.
pub(super) struct Axes {
    pub(super) base: PlannedSize,
    gateways: [usize; 4],
    hosts: [usize; 4],
    changes_per_minute: [f64; 4],
    /// Gateways of the fleets that exchange watermarks.
    session_gateways: [usize; 3],
    /// Hosts of each of these fleets.
    session_hosts: usize,
}

/// Changes of the list per minute in the fleets that exchange watermarks.
const SESSION_CHANGES_PER_MINUTE: f64 = 60.0;

const FULL_AXES: Axes = Axes {
    base: PlannedSize { gateways: 150, hosts: 600, changes_per_minute: 600.0 },
    gateways: [50, 150, 400, 800],
    hosts: [120, 600, 1_500, 2_900],
    changes_per_minute: [0.0, 600.0, 1_800.0, 3_000.0],
    session_gateways: [12, 20, 36],
    session_hosts: 80,
};
const SHORT_AXES: Axes = Axes {
    base: PlannedSize { gateways: 40, hosts: 240, changes_per_minute: 600.0 },
    gateways: [40, 80, 120, 160],
    hosts: [240, 480, 720, 960],
    changes_per_minute: [0.0, 600.0, 1_800.0, 3_000.0],
    session_gateways: [12, 16, 24],
    session_hosts: 50,
};

impl Axes {
    pub(super) fn new(short: bool) -> Axes {
        if short {
            SHORT_AXES
        } else {
            FULL_AXES
        }
    }

    /// The distinct sizes from which the largest ones are predicted.
    pub(super) fn small_sizes(&self) -> Vec<PlannedSize> {
        let base = self.base;
        let gateways = self.gateways[..3].iter().map(|gateways| PlannedSize { gateways: *gateways, ..base });
        let hosts = self.hosts[..3].iter().map(|hosts| PlannedSize { hosts: *hosts, ..base });
        let changes = self.changes_per_minute[..3]
            .iter()
            .map(|changes| PlannedSize { changes_per_minute: *changes, ..base });
        let mut sizes = vec![base];
        for size in gateways.chain(hosts).chain(changes) {
            if !sizes.contains(&size) {
                sizes.push(size);
            }
        }
        sizes
    }

    /// The largest size of each axis.
    pub(super) fn largest_sizes(&self) -> [PlannedSize; 3] {
        let base = self.base;
        [
            PlannedSize { gateways: self.gateways[3], ..base },
            PlannedSize { hosts: self.hosts[3], ..base },
            PlannedSize { changes_per_minute: self.changes_per_minute[3], ..base },
        ]
    }

    /// The sizes of the fleets that exchange watermarks.
    pub(super) fn session_sizes(&self) -> [PlannedSize; 3] {
        self.session_gateways.map(|gateways| PlannedSize {
            gateways,
            hosts: self.session_hosts,
            changes_per_minute: SESSION_CHANGES_PER_MINUTE,
        })
    }
}
