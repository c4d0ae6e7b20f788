//! A discovery watch that breaks, falls silent or sends unusable events loses no update. Each discovery
//! service follows a script, byte by byte.

use petrelgauge_test_support::{
    chunk, gateway_program, kinds, list_line, select, Gateway, Harness, Host, Reply, ScriptedDiscovery, Step,
    RESPONSE_HEAD,
};

const COMPLETE_LIST: &str = "GET /discovery/hosts HTTP/1.1";

/// A gateway with two hosts and scripted discovery. The scripts drain the first host.
struct WatchTest {
    gateway: Gateway,
    source: ScriptedDiscovery,
    hosts: [Host; 2],
}

impl WatchTest {
    fn new(scripts: impl Fn(&HostEntries) -> Vec<Vec<Step>>) -> WatchTest {
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
        WatchTest { gateway, source, hosts }
    }

    /// Waits until this many lists are applied, then checks that the draining host gets no queries.
    fn assert_drained_after(&self, lists: u64) {
        self.gateway.wait_for_counter_value("lists=", |count| count >= lists);
        let mut client = self.gateway.client();
        for _ in 0..30 {
            assert_eq!(client.query(&select("a", "view", 20_000))[1].1[6..], *b"new");
        }
        assert_eq!(self.hosts[0].query_count(), 0);
    }
}

/// The entries of both hosts, before and after the first one drains.
struct HostEntries {
    up: String,
    drained: String,
}

/// A script whose first event is this list, on one line.
fn script_with_list(revision: u64, complete: bool, entries: &str) -> Vec<Step> {
    vec![
        Step::Write(RESPONSE_HEAD.to_vec()),
        Step::Write(chunk(&format!("{}\n", list_line(revision, complete, entries)))),
    ]
}

fn concat_steps(mut script: Vec<Step>, more: Vec<Step>) -> Vec<Step> {
    script.extend(more);
    script
}

/// A list indented over several lines.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    serde_json::to_string_pretty(&value).expect("text") + "\n"
}

// Regression: the unusable line was skipped and the watch went on, so the drain that it announced was lost.
#[test]
fn an_unusable_watch_event_makes_the_gateway_request_the_complete_list() {
    let malformed = [
        "{\"revision\":42,\"complete\":false,\"members\":[{\"id\":\"s-0\",\"phase\":\"drai\n",
        "noise\n",
        "{}\n",
    ];
    for line in malformed {
        let watched = WatchTest::new(|entries| {
            let empty_update = Step::Write(chunk(&format!("{}\n", list_line(43, false, ""))));
            let watch = concat_steps(
                script_with_list(41, true, &entries.up),
                vec![Step::Write(chunk(line)), empty_update, Step::Heartbeat],
            );
            vec![watch, concat_steps(script_with_list(43, true, &entries.drained), vec![Step::Silence])]
        });
        assert!(watched.source.next_request().contains("watch=1&after=41"));
        assert_eq!(watched.source.next_request(), COMPLETE_LIST, "{line}");
        // The configuration's list, the first and the empty update of the watch, and the requested complete
        // list.
        watched.assert_drained_after(4);
        watched.gateway.wait_for_counter("bad_lists=1 ");
        watched.gateway.wait_for_counter("watches=1 ");
    }
}

#[test]
fn a_complete_list_request_without_a_list_in_response_is_repeated() {
    let watched = WatchTest::new(|entries| {
        let watch = concat_steps(
            script_with_list(41, true, &entries.up),
            vec![Step::Write(chunk("noise\n")), Step::Heartbeat],
        );
        let rejected = vec![Step::Write(b"HTTP/1.1 503 Busy\r\n\r\n".to_vec())];
        let malformed =
            vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk("{\"revision\":44,\"comp\n"))];
        vec![
            watch,
            rejected,
            malformed,
            Vec::new(),
            concat_steps(script_with_list(44, true, &entries.drained), vec![Step::Silence]),
        ]
    });
    watched.source.next_request();
    for _ in 0..4 {
        assert_eq!(watched.source.next_request(), COMPLETE_LIST);
    }
    watched.assert_drained_after(3);
}

// The complete list is still needed after the watch with the unusable event has ended.
#[test]
fn a_watch_that_ends_after_an_unusable_event_is_reopened_for_the_complete_list() {
    let watched = WatchTest::new(|entries| {
        let watch =
            concat_steps(script_with_list(41, true, &entries.up), vec![Step::Write(chunk("noise\n"))]);
        vec![watch, concat_steps(script_with_list(44, true, &entries.drained), vec![Step::Heartbeat])]
    });
    watched.source.next_request();
    let second = watched.source.next_request();
    assert!(!second.contains("after="), "{second}");
    watched.assert_drained_after(3);
}

#[test]
fn changes_with_a_decreasing_revision_are_rejected_and_the_complete_list_is_requested() {
    let watched = WatchTest::new(|entries| {
        let older_update = Step::Write(chunk(&format!("{}\n", list_line(40, false, &entries.up))));
        let watch =
            concat_steps(script_with_list(45, true, &entries.drained), vec![older_update, Step::Heartbeat]);
        vec![watch, concat_steps(script_with_list(45, true, &entries.drained), vec![Step::Silence])]
    });
    watched.source.next_request();
    assert_eq!(watched.source.next_request(), COMPLETE_LIST);
    watched.assert_drained_after(3);
}

// Regression: the list was cut at each line end, and no part was a list.
#[test]
fn an_indented_list_is_read_like_one_on_a_single_line() {
    let watched = WatchTest::new(|entries| {
        let first = indented(&list_line(42, true, &entries.up));
        let second = indented(&list_line(43, false, &entries.drained));
        let (one, other) = second.split_at(second.len() / 2);
        let updates = [&first, one, other].map(|text| Step::Write(chunk(text)));
        vec![concat_steps(
            vec![Step::Write(RESPONSE_HEAD.to_vec())],
            concat_steps(updates.to_vec(), vec![Step::Heartbeat]),
        )]
    });
    watched.assert_drained_after(3);
    watched.gateway.wait_for_counter("bad_lists=0 ");
}

// Regression: a list without a line end at the end of the response was never parsed.
#[test]
fn a_response_with_a_length_or_an_end_is_read_to_its_last_byte() {
    let complete = |entries: &HostEntries| list_line(42, true, &entries.drained);
    let fixed_length = WatchTest::new(|entries| {
        let text = complete(entries);
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        vec![vec![Step::Write(response.into_bytes()), Step::Silence]]
    });
    fixed_length.assert_drained_after(2);
    let until_close = WatchTest::new(|entries| {
        vec![vec![Step::Write(format!("HTTP/1.1 200 OK\r\n\r\n{}", complete(entries)).into_bytes())]]
    });
    until_close.assert_drained_after(2);
    let chunked = WatchTest::new(|entries| {
        vec![vec![
            Step::Write(RESPONSE_HEAD.to_vec()),
            Step::Write(chunk(&complete(entries))),
            Step::Write(b"0\r\n\r\n".to_vec()),
        ]]
    });
    chunked.assert_drained_after(2);
}

// Regression: bytes that complete no line kept a dead watch open.
#[test]
fn a_silent_watch_is_reopened_wherever_its_response_stopped() {
    let partial_list = "{\"revision\":42,\"comp";
    let stops: Vec<Vec<Step>> = vec![
        vec![],
        vec![Step::Write(b"HTTP/1.1 200".to_vec())],
        vec![Step::Write(RESPONSE_HEAD.to_vec())],
        vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(b"ff\r\n{\"revi".to_vec())],
        vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk(partial_list))],
        vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk("\n"))],
        vec![Step::Write(RESPONSE_HEAD.to_vec()), Step::Write(chunk("\n")), Step::Trickle(chunk(" "))],
        vec![Step::Trickle(b"H".to_vec())],
    ];
    std::thread::scope(|scope| {
        for (index, stop) in stops.into_iter().enumerate() {
            scope.spawn(move || {
                let watched = WatchTest::new(|entries| {
                    let stop = concat_steps(stop.clone(), vec![Step::Silence]);
                    vec![
                        stop,
                        concat_steps(script_with_list(42, true, &entries.drained), vec![Step::Heartbeat]),
                    ]
                });
                watched.source.next_request();
                let second = watched.source.next_request();
                assert!(second.contains("watch=1&after=41"), "{index}: {second}");
                watched.assert_drained_after(2);
            });
        }
    });
}

// Regression: an entry of an earlier run removed the host's address, although the router ignored the entry.
#[test]
fn an_update_about_an_earlier_run_of_a_host_is_ignored_everywhere() {
    for phase in ["removed", "up"] {
        let harness = Harness::new(gateway_program!());
        let (host, closed_host) =
            (harness.host((0..9).map(|_| Reply::Row(b"v")).collect()), harness.closed_host());
        let entries_of_run = |host: &Host, phase: &str, since: u64| {
            let entries = harness.entries(&[(host, phase, "primary")]);
            entries.replace("ms\":0", &format!("ms\":{since}"))
        };
        let now = entries_of_run(&host, "up", 1_764_000_000_000);
        let old = entries_of_run(&closed_host, phase, 1_763_000_000_000);
        let (now, old) = (list_line(42, true, &now), list_line(43, false, &old));
        let updates = [now, old].map(|text| Step::Write(chunk(&format!("{text}\n"))));
        let script = concat_steps(
            vec![Step::Write(RESPONSE_HEAD.to_vec())],
            concat_steps(updates.to_vec(), vec![Step::Heartbeat]),
        );
        let config = harness.config();
        let (gateway, _source) = harness.start_scripted(&config, vec![script]);
        gateway.wait_for_counter_value("lists=", |count| count >= 3);
        let mut client = gateway.client();
        for _ in 0..5 {
            assert_eq!(kinds(&client.query(&select("a", "view", 20_000))), "TDCZ", "{phase}");
        }
    }
}
