//! A watch of discovery that dies, falls silent or brings what cannot be used: its updates are not lost. Each
//! source follows a script, byte by byte.

use petrelgauge_test_support::{
    chunk, gateway_program, kinds, list, select, Gateway, Harness, Host, Reply, ScriptedDiscovery, Step, HEAD,
};

const COMPLETE_LIST: &str = "GET /discovery/hosts HTTP/1.1";

/// A gateway that knows two hosts, and its discovery. The second host is the one that stays.
struct Watched {
    gateway: Gateway,
    source: ScriptedDiscovery,
    hosts: [Host; 2],
}

impl Watched {
    fn new(scripts: impl Fn(&HostEntries) -> Vec<Vec<Step>>) -> Watched {
        let harness = Harness::new(gateway_program!());
        let rows = |value| (0..40).map(|_| Reply::Row(value)).collect();
        let hosts = [harness.host(rows(b"old")), harness.host(rows(b"new"))];
        let entries =
            |first: &str| harness.entries(&[(&hosts[0], first, "standby"), (&hosts[1], "up", "primary")]);
        let (up, drained) = (entries("up"), entries("draining"));
        let entries = HostEntries { up, drained };
        let scripts = scripts(&entries);
        let harness = harness.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
        let config = harness.config();
        let (gateway, source) = harness.start_scripted(&config, scripts);
        Watched { gateway, source, hosts }
    }

    /// From when so many lists have come, nothing goes to the host that drains.
    fn drained_with(&self, lists: u64) {
        self.gateway.wait_for("lists=", |count| count >= lists);
        let mut client = self.gateway.client();
        for _ in 0..30 {
            assert_eq!(client.ask(&select("a", "view", 20_000))[1].1[6..], *b"new");
        }
        assert_eq!(self.hosts[0].queries(), 0);
    }
}

/// The members of lists.
struct HostEntries {
    up: String,
    drained: String,
}

/// A script that begins with this list, on one line.
fn begins(revision: u64, complete: bool, entries: &str) -> Vec<Step> {
    vec![Step::Write(HEAD.to_vec()), Step::Write(chunk(&format!("{}\n", list(revision, complete, entries))))]
}

fn then(mut script: Vec<Step>, more: Vec<Step>) -> Vec<Step> {
    script.extend(more);
    script
}

/// Indented over several lines, as tools for people write it.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    serde_json::to_string_pretty(&value).expect("text") + "\n"
}

// The line was counted and passed over, and the watch went on behind it: the drain that it carried was never heard of.
#[test]
fn what_a_line_carried_that_cannot_be_used_is_asked_for_anew() {
    let malformed = [
        "{\"revision\":42,\"complete\":false,\"members\":[{\"id\":\"s-0\",\"phase\":\"drai\n",
        "noise\n",
        "{}\n",
    ];
    for line in malformed {
        let watched = Watched::new(|entries| {
            // The change behind it is none that matters.
            let behind = Step::Write(chunk(&format!("{}\n", list(43, false, ""))));
            let watch =
                then(begins(41, true, &entries.up), vec![Step::Write(chunk(line)), behind, Step::Heartbeat]);
            vec![watch, then(begins(43, true, &entries.drained), vec![Step::Silence])]
        });
        assert!(watched.source.next().contains("watch=1&after=41"));
        assert_eq!(watched.source.next(), COMPLETE_LIST, "{line}");
        // The one of the configuration, the first of the watch, the change behind, and the one that was called for.
        watched.drained_with(4);
        watched.gateway.wait_for_counter("bad_lists=1 ");
        watched.gateway.wait_for_counter("watches=1 ");
    }
}

#[test]
fn a_call_that_is_not_answered_with_a_list_is_made_again() {
    let watched = Watched::new(|entries| {
        let watch = then(begins(41, true, &entries.up), vec![Step::Write(chunk("noise\n")), Step::Heartbeat]);
        let refused = vec![Step::Write(b"HTTP/1.1 503 Busy\r\n\r\n".to_vec())];
        let malformed = vec![Step::Write(HEAD.to_vec()), Step::Write(chunk("{\"revision\":44,\"comp\n"))];
        vec![
            watch,
            refused,
            malformed,
            Vec::new(),
            then(begins(44, true, &entries.drained), vec![Step::Silence]),
        ]
    });
    watched.source.next();
    for _ in 0..4 {
        assert_eq!(watched.source.next(), COMPLETE_LIST);
    }
    watched.drained_with(3);
}

// The list is owed still when the watch whose line was malformed has ended.
#[test]
fn a_watch_that_ends_behind_a_line_that_cannot_be_used_is_opened_for_the_complete_list() {
    let watched = Watched::new(|entries| {
        let watch = then(begins(41, true, &entries.up), vec![Step::Write(chunk("noise\n"))]);
        vec![watch, then(begins(44, true, &entries.drained), vec![Step::Heartbeat])]
    });
    watched.source.next();
    let second = watched.source.next();
    assert!(!second.contains("after="), "{second}");
    watched.drained_with(3);
}

#[test]
fn changes_whose_revision_goes_back_are_not_used_and_the_complete_list_is_asked_for() {
    let watched = Watched::new(|entries| {
        let back = Step::Write(chunk(&format!("{}\n", list(40, false, &entries.up))));
        let watch = then(begins(45, true, &entries.drained), vec![back, Step::Heartbeat]);
        vec![watch, then(begins(45, true, &entries.drained), vec![Step::Silence])]
    });
    watched.source.next();
    assert_eq!(watched.source.next(), COMPLETE_LIST);
    watched.drained_with(3);
}

// It was cut at each line end, and no part of it was a list.
#[test]
fn a_list_that_comes_indented_is_taken_as_one_on_a_line_is() {
    let watched = Watched::new(|entries| {
        let first = indented(&list(42, true, &entries.up));
        let second = indented(&list(43, false, &entries.drained));
        let (one, other) = second.split_at(second.len() / 2);
        let says = [&first, one, other].map(|text| Step::Write(chunk(text)));
        vec![then(vec![Step::Write(HEAD.to_vec())], then(says.to_vec(), vec![Step::Heartbeat]))]
    });
    watched.drained_with(3);
    watched.gateway.wait_for_counter("bad_lists=0 ");
}

// The list that its end cut off was never parsed, nor was one whose last line has no end.
#[test]
fn an_answer_with_a_length_or_an_end_is_read_to_its_last_byte() {
    let complete = |entries: &HostEntries| list(42, true, &entries.drained);
    let counted = Watched::new(|entries| {
        let text = complete(entries);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        vec![vec![Step::Write(answer.into_bytes()), Step::Silence]]
    });
    counted.drained_with(2);
    let ended = Watched::new(|entries| {
        vec![vec![Step::Write(format!("HTTP/1.1 200 OK\r\n\r\n{}", complete(entries)).into_bytes())]]
    });
    ended.drained_with(2);
    let chunked = Watched::new(|entries| {
        vec![vec![
            Step::Write(HEAD.to_vec()),
            Step::Write(chunk(&complete(entries))),
            Step::Write(b"0\r\n\r\n".to_vec()),
        ]]
    });
    chunked.drained_with(2);
}

// Bytes that make no line kept a dead watch open for good.
#[test]
fn a_watch_that_brings_no_line_any_more_is_opened_anew_wherever_it_stopped() {
    let half = "{\"revision\":42,\"comp";
    let stops: Vec<Vec<Step>> = vec![
        vec![],
        vec![Step::Write(b"HTTP/1.1 200".to_vec())],
        vec![Step::Write(HEAD.to_vec())],
        vec![Step::Write(HEAD.to_vec()), Step::Write(b"ff\r\n{\"revi".to_vec())],
        vec![Step::Write(HEAD.to_vec()), Step::Write(chunk(half))],
        vec![Step::Write(HEAD.to_vec()), Step::Write(chunk("\n"))],
        vec![Step::Write(HEAD.to_vec()), Step::Write(chunk("\n")), Step::Trickle(chunk(" "))],
        vec![Step::Trickle(b"H".to_vec())],
    ];
    std::thread::scope(|scope| {
        for (place, stop) in stops.into_iter().enumerate() {
            scope.spawn(move || {
                let watched = Watched::new(|entries| {
                    let stop = then(stop.clone(), vec![Step::Silence]);
                    vec![stop, then(begins(42, true, &entries.drained), vec![Step::Heartbeat])]
                });
                watched.source.next();
                let second = watched.source.next();
                assert!(second.contains("watch=1&after=41"), "{place}: {second}");
                watched.drained_with(2);
            });
        }
    });
}

// A list of an earlier run of a host took its address away, while the decisions passed over it.
#[test]
fn an_update_on_an_earlier_run_of_a_host_is_ignored_everywhere() {
    for phase in ["removed", "up"] {
        let harness = Harness::new(gateway_program!());
        let (host, nobody) =
            (harness.host((0..9).map(|_| Reply::Row(b"v")).collect()), harness.closed_host());
        let runs = |host: &Host, phase: &str, since: u64| {
            let entries = harness.entries(&[(host, phase, "primary")]);
            entries.replace("ms\":0", &format!("ms\":{since}"))
        };
        let now = runs(&host, "up", 1_764_000_000_000);
        let old = runs(&nobody, phase, 1_763_000_000_000);
        let (now, old) = (list(42, true, &now), list(43, false, &old));
        let updates = [now, old].map(|text| Step::Write(chunk(&format!("{text}\n"))));
        let script = then(vec![Step::Write(HEAD.to_vec())], then(updates.to_vec(), vec![Step::Heartbeat]));
        let config = harness.config();
        let (gateway, _source) = harness.start_scripted(&config, vec![script]);
        gateway.wait_for("lists=", |count| count >= 3);
        let mut client = gateway.client();
        for _ in 0..5 {
            assert_eq!(kinds(&client.ask(&select("a", "view", 20_000))), "TDCZ", "{phase}");
        }
    }
}
