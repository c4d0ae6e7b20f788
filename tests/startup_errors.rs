//! Startup errors: exit code 2 and one sentence with the file, the place and the reason. The tests compare
//! the whole text, so that changes to the error types cannot alter it unnoticed.

use std::path::PathBuf;
use std::process::{Command, Output};

/// A usable configuration.
const VALID_CONFIG: &str = r#"{"name":"n1","listen":"127.79.1.1:0","discovery":"127.79.1.2:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.79.1.1:7946","peers":["127.79.1.1:7946"],
"settings":{"balancers":1,"zone":"a","granularity_us":5000,"membership_mode":"pushed",
"bounds":{"attempts_cap":8,"cancel":true,"probes":false,"second_copies":false},
"classes":[{"aim_us":400000,"deadline_us":3000000,"idempotency":"safe","name":"view","points":2.0},
{"aim_us":400000,"deadline_us":3000000,"idempotency":"keyed","group":"cell","window_us":5000000,"name":"post","points":4.0}],
"family_info":{"read_level":["lag_bound","mutate"],"staleness_bound_us":[300000,0],"when_behind":"bounce"},
"obligations":{"answer_slack_us":20000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,
"fall_us":1000000,"overload_factor":4.0}}}"#;

/// The working folder of one test, removed on drop. It holds the files that the program reads.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("startup-errors-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
        TestFolder(path)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("the file can be written");
    }

    /// Starts the program in the folder, so that the paths in its messages are the same on every machine.
    fn start(&self, variables: &[(&str, &str)]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_petrelgauge"));
        command.current_dir(&self.0).env("RUST_LOG", "error");
        for name in [
            "GW_CONFIG",
            "GW_NAME",
            "GW_LISTEN",
            "GW_DISCOVERY",
            "GW_OPS",
            "GW_ACCEPT_FD",
            "PETRELGAUGE_FILE",
        ] {
            command.env_remove(name);
        }
        command.envs(variables.iter().copied());
        command.output().expect("the program runs")
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn startup_error(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    String::from_utf8(output.stderr.clone()).expect("stderr is UTF-8").trim_end().to_string()
}

/// Starts the program with a configuration in which `old` is replaced by `new`, and returns its error
/// message.
fn error_with_changed_config(name: &str, old: &str, new: &str) -> String {
    assert!(VALID_CONFIG.contains(old), "{old}");
    let folder = TestFolder::new(name);
    folder.write("config.json", &VALID_CONFIG.replacen(old, new, 1));
    startup_error(&folder.start(&[("GW_CONFIG", "config.json")]))
}

#[test]
fn a_missing_configuration_is_named_in_one_sentence() {
    let folder = TestFolder::new("none");
    assert_eq!(
        startup_error(&folder.start(&[])),
        "petrelgauge: GW_CONFIG is not set: it names the configuration file"
    );
    assert_eq!(
        startup_error(&folder.start(&[("GW_CONFIG", "missing.json")])),
        "petrelgauge: cannot read missing.json: No such file or directory (os error 2)"
    );
}

#[test]
fn an_unusable_configuration_is_reported_in_one_sentence() {
    let cases = [
        (r#"{"name""#, r#"{"name"#, "config.json: expected `:` at line 1 column 9"),
        (r#""seed":"8c1f30d27a5be964","#, "", "config.json: missing field `seed` at line 9 column 42"),
        ("8c1f30d27a5be964", "xyz", r#"config.json: seed: "xyz" is not a hexadecimal number"#),
        (r#""name":"n1","#, "", "config.json: neither GW_NAME nor the file sets it"),
        (r#""listen":"127.79.1.1:0","#, "", "config.json: neither GW_LISTEN nor the file sets it"),
        ("127.79.1.1:0", "nowhere", r#"config.json: GW_LISTEN: "nowhere" is not an address with a port"#),
        (r#""discovery":"127.79.1.2:8500""#, r#""discovery":"127.79.1.2""#, r#"config.json: GW_DISCOVERY: "127.79.1.2" is not an address with a port"#),
        (r#""settings":{"#, r#""ops":"here","settings":{"#, r#"config.json: ops: "here" is not an address with a port"#),
        (r#""peer_listen":"127.79.1.1:7946""#, r#""peer_listen":"127""#, r#"config.json: peer_listen: "127" is not an address with a port"#),
        (r#""peers":["127.79.1.1:7946"]"#, r#""peers":["x:1"]"#, r#"config.json: peers: "x:1" is not an address with a port"#),
        (r#""settings":{"#, r#""settings":5,"other":{"#, "config.json: settings: invalid type: integer `5`, expected struct Info"),
        (r#""settings":{"#, r#""known":5,"settings":{"#, "config.json: invalid type: integer `5`, expected struct List at line 3 column 9"),
        (r#""settings":{"#, r#""known":{"revision":1,"complete":true,"members":[5]},"settings":{"#, "config.json: invalid type: integer `5`, expected struct Row at line 3 column 50"),
        (r#""balancers":1,"#, "", "config.json: settings: missing field `balancers`"),
        (r#""balancers":1"#, r#""balancers":0"#, "settings: the number of routers is out of range"),
        (r#""balancers":1"#, r#""balancers":10001"#, "settings: the number of routers is out of range"),
        (r#""attempts_cap":8"#, r#""attempts_cap":0"#, "settings: the maximum number of attempts is out of range"),
        (r#""idempotency":"safe""#, r#""idempotency":"often""#, r#"settings: idempotency: class "view" has unknown effect "often""#),
        (r#""group":"cell""#, r#""group":"ring""#, r#"settings: group: class "post" has unknown scope "ring""#),
        (r#""window_us":5000000,"#, "", r#"settings: class "post" is keyed but has no window_us"#),
        (r#""window_us":5000000"#, r#""window_us":-1"#, "settings: class number 1 has a value that is out of range"),
        (r#""mutate""#, r#""scribble""#, r#"settings: read_level: class "post" has unknown level Some("scribble")"#),
        (r#"["lag_bound","mutate"]"#, r#"["lag_bound"]"#, r#"settings: read_level: class "post" has unknown level None"#),
        (r#""staleness_bound_us":[300000,0]"#, r#""staleness_bound_us":[]"#, "settings: class number 0 has a value that is out of range"),
        (r#""when_behind":"bounce""#, r#""when_behind":"sulk""#, r#"settings: when_behind: unknown value "sulk""#),
        (r#""granularity_us":5000"#, r#""granularity_us":0"#, "settings: the granularity is out of range"),
        (r#""cold_from":0.24"#, r#""cold_from":1.5"#, "settings: the initial slow start share is out of range"),
        (r#""overload_factor":4.0"#, r#""overload_factor":0"#, "settings: the overload factor is out of range"),
        (r#""points":2.0"#, r#""points":"two""#, r#"config.json: settings: invalid type: string "two", expected f64"#),
        (r#""aim_us":400000"#, r#""aim_us":0"#, "settings: class number 0 has a value that is out of range"),
        ("\"classes\":[{\"aim_us\":400000,\"deadline_us\":3000000,\"idempotency\":\"safe\",\"name\":\"view\",\"points\":2.0},\n{\"aim_us\":400000,\"deadline_us\":3000000,\"idempotency\":\"keyed\",\"group\":\"cell\",\"window_us\":5000000,\"name\":\"post\",\"points\":4.0}]", r#""classes":[]"#, "settings: no request classes are defined"),
    ];
    for (index, (old, new, expected)) in cases.into_iter().enumerate() {
        assert_eq!(
            error_with_changed_config(&format!("config-{index}"), old, new),
            format!("petrelgauge: {expected}")
        );
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn an_unusable_operators_file_is_reported_in_one_sentence() {
    let cases = [
        ("sessions: {", "gateway.cue:1:12: expected a closing brace"),
        (
            "sessions: { classes: [] }\n",
            "gateway.cue:1:11: sessions: classes must name the classes that carry sessions",
        ),
        (
            "sessions: { classes: [\"view\"] secret: \"zz\" }\n",
            "gateway.cue:1:11: secret must be 1 to 16 hexadecimal digits",
        ),
        (
            "sessions: { classes: [\"view\"] }\n",
            "gateway.cue:1:11: sessions: secret is missing; it must be the same at all gateways",
        ),
        (
            "sessions: { classes: [\"view\", \"post\"] secret: \"1\" sources: [\"rumour\"] }\n",
            r#"gateway.cue:1:11: sources must be "token" or "peers", not "rumour""#,
        ),
        (
            "sessions: { classes: [\"none\", \"post\"] secret: \"1\" }\n",
            r#"sessions: classes: the deployment has no class "none""#,
        ),
        (
            "sessions: { classes: [\"view\"] secret: \"1\" }\n",
            "sessions: classes must include at least one class that writes and one that reads",
        ),
        (
            "sessions: { classes: [\"view\", \"post\"] secret: \"1\" promise: \"all\" }\n",
            r#"gateway.cue:1:60: promise must be one of "writes", "writes-and-reads", not "all""#,
        ),
        (
            "sessions: { classes: [\"view\", \"post\"] secret: \"1\" token_age: \"soon\" }\n",
            "gateway.cue:1:62: token_age must be a duration such as 20ms, 3s or 2m",
        ),
        (
            "sessions: { classes: [\"view\", \"post\"] secret: \"1\" hold: 0s unknown_key: 1 }\n",
            r#"gateway.cue:1:60: unknown field "unknown_key""#,
        ),
        (
            "ownership: { electors: 3 }\n",
            "gateway.cue:1:12: ownership: secret must be 1 to 16 hexadecimal digits, the same at all gateways",
        ),
        (
            "ownership: { secret: \"1\" electors: 0 }\n",
            "gateway.cue:1:12: ownership: there are 0 electors; an odd number up to 9 is needed",
        ),
        ("ownership: { secret: \"1\" shards: 0 }\n", "gateway.cue:1:12: ownership: shards must be from 1 to 32"),
        (
            "ownership: { secret: \"1\" duties: [\"cook\"] }\n",
            r#"gateway.cue:1:12: duties must be "scout" or "shares", not "cook""#,
        ),
        (
            "ownership: { secret: \"1\" lease: 1ms }\n",
            "gateway.cue:1:12: ownership: the lease must be at least 8 times the datagrams' delay",
        ),
        (
            "ownership: { secret: \"1\" drift_percent: 60 }\n",
            "gateway.cue:1:12: ownership: the drift must be from 0 up to 0.2",
        ),
        ("other: 1\n", r#"gateway.cue:1:1: unknown field "other""#),
        ("clock_shift: \"x\"\n", "gateway.cue:1:14: clock_shift must be a duration such as 20ms, 3s or 2m"),
    ];
    for (index, (text, expected)) in cases.into_iter().enumerate() {
        let folder = TestFolder::new(&format!("operator-{index}"));
        folder.write("config.json", VALID_CONFIG);
        folder.write("gateway.cue", text);
        let output = folder.start(&[("GW_CONFIG", "config.json"), ("PETRELGAUGE_FILE", "gateway.cue")]);
        assert_eq!(startup_error(&output), format!("petrelgauge: {expected}"));
    }
}

#[test]
fn an_unusable_inherited_socket_is_reported_in_one_sentence() {
    let cases = [
        ("x", r#"GW_ACCEPT_FD: "x" is not the number of a descriptor"#),
        ("2", r#"GW_ACCEPT_FD: "2" is not the number of a descriptor"#),
        ("-1", r#"GW_ACCEPT_FD: "-1" is not the number of a descriptor"#),
        ("77", "GW_ACCEPT_FD: fd 77 is not a socket"),
    ];
    for (value, expected) in cases {
        let folder = TestFolder::new(&format!("descriptor-{value}"));
        folder.write("config.json", VALID_CONFIG);
        let output = folder.start(&[("GW_CONFIG", "config.json"), ("GW_ACCEPT_FD", value)]);
        assert_eq!(startup_error(&output), format!("petrelgauge: {expected}"));
    }
}
