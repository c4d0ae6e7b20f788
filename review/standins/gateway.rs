//! A gateway process: its configuration, its start by the deploy file's command, signals and its end.

use super::client::{Answer, Client};
use super::discovery::Discovery;
use super::record::Record;
use super::sleep_ms;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A class of requests, as the settings give it.
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// `read_level`.
    pub read_level: &'static str,
    /// `staleness_bound_us`.
    pub bound_us: u64,
    /// `idempotency`, with `group` and `window_us` where it is keyed.
    pub effect: &'static str,
    /// `aim_us`.
    pub aim_us: u64,
    /// `deadline_us`.
    pub deadline_us: u64,
    /// `points`.
    pub points: f64,
}

/// `effect` of a class that is safe to repeat.
pub const SAFE: &str = r#""idempotency":"safe","group":"all","window_us":5000000"#;
/// `effect` of a class with a key that its cluster remembers for 5 s.
pub const KEYED: &str = r#""idempotency":"keyed","group":"cell","window_us":5000000"#;
/// `effect` of a class that must not be repeated.
pub const UNSAFE: &str = r#""idempotency":"unsafe","group":"all","window_us":5000000"#;

/// The four classes of the site nl-online-bank.
pub fn bank_classes() -> Vec<Class> {
    let class = |name, read_level, bound_us, effect, aim_us, deadline_us, points| Class {
        name,
        read_level,
        bound_us,
        effect,
        aim_us,
        deadline_us,
        points,
    };
    vec![
        class("balance-view", "lag_bound", 300_000, SAFE, 500_000, 1_200_000, 2.0),
        class("history-browse", "eventual", 0, SAFE, 600_000, 1_500_000, 2.0),
        class("statement-run", "eventual", 0, SAFE, 4_000_000, 8_000_000, 6.0),
        class("payment-post", "mutate", 0, KEYED, 500_000, 5_000_000, 4.0),
    ]
}

/// The settings: the example of WIRE with these classes.
pub fn settings_json(gateways: usize, classes: &[Class]) -> String {
    let list = |text: &dyn Fn(&Class) -> String| classes.iter().map(text).collect::<Vec<_>>().join(",");
    let classes_json = list(&|class| {
        format!(
            r#"{{"aim_us":{},"deadline_us":{},{},"late_share":0.2,"name":"{}","points":{:?},"stream":false}}"#,
            class.aim_us, class.deadline_us, class.effect, class.name, class.points
        )
    });
    let levels = list(&|class| format!("\"{}\"", class.read_level));
    let bounds = list(&|class| class.bound_us.to_string());
    format!(
        r#"{{"balancers":{gateways},"bounds":{{"attempts_cap":8,"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":80000,"max_open":20000,"max_retry_after_us":500000,"peers":true,"probes":false,"retry_after":true,"second_copies":false,"streams_per_conn":1}},"classes":[{classes_json}],"client_habits":{{"marks_retry":false}},"family":"replicas","family_info":{{"catch_up_wait_us":0,"origin_time_us":0,"read_level":[{levels}],"session_marks":"kept","shows_role":"trailing","staleness_bound_us":[{bounds}],"stamps":true,"waits_for_copy":false,"when_behind":"bounce"}},"flavors":["std-5core"],"granularity_us":5000,"membership_mode":"pushed","my_number":0,"obligations":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,"fall_us":1000000,"overload_factor":4.0}},"orgs":[],"penalties":{{"cross_zone":0.01,"probe":0.0,"waste":0.16}},"reporting":{{"names":[],"source":"off"}},"tier":0,"tiers":["ledger-db"],"weights":"nominal","worth_by":"request","zone":"utrecht-dc","zones":["utrecht-dc","zwolle-dc"]}}"#
    )
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound socket has an address")
}

/// The temporary folder of the run.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").expect("WORK names the run's temporary folder"))
}

/// What a gateway is started with.
pub struct Options<'a> {
    /// Name of this process in the record, and of its files.
    pub label: &'a str,
    /// The address for clients.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: &'a Discovery,
    /// The settings.
    pub settings: String,
}

/// A running gateway. Dropping it kills it.
pub struct Gateway {
    /// The address for clients.
    pub listen: SocketAddr,
    label: String,
    config_path: PathBuf,
    config: String,
    child: Child,
    record: Record,
}

impl Gateway {
    /// Starts a gateway.
    pub fn start(record: &Record, options: Options) -> Gateway {
        let Options { label, listen, discovery, settings } = options;
        let known = discovery.list();
        let seed = super::unix_ms() ^ 0x8c1f_30d2_7a5b_e964;
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":SETTINGS}}"#,
            discovery.address
        );
        let config_path = folder().join(format!("{label}.json"));
        fs::write(&config_path, config.replace("SETTINGS", &settings)).expect("the configuration is written");
        let log = File::create(folder().join(format!("{label}.log"))).expect("the log can be created");
        let run = std::env::var("RUN").expect("RUN is the deploy file's run");
        let mut command = Command::new("/bin/sh");
        let unset = [
            "PETRELGAUGE_FILE",
            "GW_ACCEPT_FD",
            "GW_NAME",
            "GW_LISTEN",
            "GW_DISCOVERY",
            "GW_OPS",
            "RUST_LOG",
        ];
        for name in unset {
            command.env_remove(name);
        }
        command.env("GW_CONFIG", &config_path).env("TMPDIR", folder());
        command.stdin(Stdio::null()).arg("-c").arg(&run);
        command.stdout(Stdio::null()).stderr(Stdio::from(log));
        let child = command.spawn().expect("the gateway starts");
        let mut pids =
            OpenOptions::new().append(true).create(true).open(folder().join("pids")).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        record.line(format!("gateway {label} started"));
        Gateway { listen, label: label.to_string(), config_path, config, child, record: record.clone() }
    }

    /// Waits until it answers an empty query. Returns whether it does so within 10 s.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            let answer = Client::connect(self.listen).and_then(|mut client| client.ask(""));
            if matches!(answer, Ok(Answer::Empty)) {
                self.record.line(format!("gateway {} is ready", self.label));
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        self.record.line(format!("SIG{name} to gateway {}", self.label));
        let kill = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
    }

    /// Prepares a signal, so that it can be sent without the delay of starting a process.
    pub fn prepare_signal(&self, name: &str) -> PreparedSignal {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("read -r line && kill -{name} {}", self.child.id()));
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().expect("a shell starts");
        PreparedSignal {
            child,
            text: format!("SIG{name} to gateway {}", self.label),
            record: self.record.clone(),
        }
    }

    /// Replaces the settings in the configuration and sends SIGHUP.
    pub fn reload(&self, settings: &str) {
        self.replace_settings(settings);
        self.signal("HUP");
    }

    /// Replaces the settings in the configuration.
    pub fn replace_settings(&self, settings: &str) {
        let new = self.config_path.with_extension("new");
        fs::write(&new, self.config.replace("SETTINGS", settings)).expect("the configuration is written");
        fs::rename(&new, &self.config_path).expect("the configuration is replaced");
    }

    /// Its exit code once it has ended; -1 if a signal ended it.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// What it has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(folder().join(format!("{}.log", self.label))).unwrap_or_default()
    }
}

/// A signal that is ready to be sent. Dropping it sends nothing.
pub struct PreparedSignal {
    child: Child,
    text: String,
    record: Record,
}

impl PreparedSignal {
    /// Sends it.
    pub fn send(mut self) {
        let _ = self.child.stdin.take().map(|mut input| input.write_all(b"now\n"));
        self.record.line(&self.text);
    }
}

impl Drop for PreparedSignal {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let path = folder().join("pids");
        let pids = fs::read_to_string(&path).unwrap_or_default();
        let others = pids.lines().filter(|pid| *pid != self.child.id().to_string());
        let _ = fs::write(&path, others.map(|pid| format!("{pid}\n")).collect::<String>());
    }
}
