//! The settings of a gateway, and changes that several tests make to them.

pub(crate) const SETTINGS: &str = r#"{"balancers":1,"zone":"a","granularity_us":5000,"membership_mode":"pushed",
"bounds":{"attempts_cap":8,"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,
"max_retry_after_us":500000,"retry_after":true,"probes":false,"second_copies":false},
"classes":[{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"view","points":2.0,
"late_share":0.2},{"aim_us":4000000,"deadline_us":30000000,"idempotency":"keyed","group":"cell",
"window_us":30000000,"name":"post","points":4.0,"late_share":0.5}],
"family_info":{"read_level":["eventual","mutate"],"staleness_bound_us":[0,0],"when_behind":"bounce",
"shows_role":"trailing","session_marks":"kept","stamps":true},
"obligations":{"answer_slack_us":20000,"cold_from":0.24,"cold_us":16000000,"drain_grace_us":2000000,
"fall_us":1000000,"overload_factor":4.0}}"#;

/// A configuration with the first part of each pair replaced by the second. Each has to be there.
pub fn replace_parts(config: &str, changes: &[(&str, &str)]) -> String {
    changes.iter().fold(config.to_string(), |config, (old, new)| {
        assert!(config.contains(old), "{old}");
        config.replace(old, new)
    })
}

/// Connections may take their time to come up, however busy the machine is.
pub fn with_long_connect_timeout(config: &str) -> String {
    replace_parts(config, &[("\"connect_timeout_us\":250000", "\"connect_timeout_us\":50000000")])
}

/// A class of reads beside those of the settings: its name, and how new its data have to be.
pub struct ReadClass {
    pub name: &'static str,
    pub read_level: &'static str,
    pub staleness_bound_us: u64,
}

/// Hosts do not look at how far behind they are, and there are reads of these classes too.
pub fn with_unchecked_reads(config: &str, classes: &[ReadClass]) -> String {
    let (mut levels, mut bounds, mut records) = (String::new(), String::new(), String::new());
    for ReadClass { name, read_level, staleness_bound_us } in classes {
        levels += &format!(",\"{read_level}\"");
        bounds += &format!(",{staleness_bound_us}");
        records += &format!(
            r#",{{"aim_us":4000000,"deadline_us":30000000,"idempotency":"safe","name":"{name}","points":2.0,"late_share":0.2}}"#
        );
    }
    let changes = [
        ("\"when_behind\":\"bounce\"", "\"when_behind\":\"off\""),
        ("[\"eventual\",\"mutate\"]", &format!("[\"eventual\",\"mutate\"{levels}]")),
        ("\"staleness_bound_us\":[0,0]", &format!("\"staleness_bound_us\":[0,0{bounds}]")),
        ("\"late_share\":0.5}]", &format!("\"late_share\":0.5}}{records}]")),
    ];
    replace_parts(config, &changes)
}
