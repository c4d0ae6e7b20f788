//! A watch of discovery that dies, falls silent or brings what cannot be used: what it had to tell is not lost. Each
//! source follows a script, byte by byte.

mod stage;
use stage::*;

const WHOLE: &str = "GET /discovery/hosts HTTP/1.1";

/// A gateway that knows two hosts, and its discovery. The second host is the one that stays.
struct Watched {
    gateway: Gateway,
    source: WatchScripts,
    hosts: [Host; 2],
}

impl Watched {
    fn new(number: u8, scripts: impl Fn(&Told) -> Vec<Vec<Act>>) -> Watched {
        let stage = Stage::new(number);
        let rows = |value| (0..40).map(|_| Say::Row(value)).collect();
        let hosts = [stage.host(rows(b"old")), stage.host(rows(b"new"))];
        let entries =
            |first: &str| stage.entries(&[(&hosts[0], first, "standby"), (&hosts[1], "up", "primary")]);
        let (up, drained) = (entries("up"), entries("draining"));
        let told = Told { up, drained };
        let scripts = scripts(&told);
        let stage = stage.list(&[(&hosts[0], "up", "standby"), (&hosts[1], "up", "primary")]);
        let config = stage.config();
        let (gateway, source) = stage.start_scripted(&config, scripts);
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
struct Told {
    up: String,
    drained: String,
}

/// A script that begins with this list, on one line.
fn begins(revision: u64, complete: bool, entries: &str) -> Vec<Act> {
    vec![Act::Say(HEAD.to_vec()), Act::Say(chunk(&format!("{}\n", list(revision, complete, entries))))]
}

fn then(mut script: Vec<Act>, more: Vec<Act>) -> Vec<Act> {
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
    let spoilt = [
        "{\"revision\":42,\"complete\":false,\"members\":[{\"id\":\"s-0\",\"phase\":\"drai\n",
        "noise\n",
        "{}\n",
    ];
    for (number, line) in (170..).zip(spoilt) {
        let watched = Watched::new(number, |told| {
            // The change behind it is none that matters.
            let behind = Act::Say(chunk(&format!("{}\n", list(43, false, ""))));
            let watch = then(begins(41, true, &told.up), vec![Act::Say(chunk(line)), behind, Act::Beat]);
            vec![watch, then(begins(43, true, &told.drained), vec![Act::Silence])]
        });
        assert!(watched.source.next().contains("watch=1&after=41"));
        assert_eq!(watched.source.next(), WHOLE, "{line}");
        // The one of the configuration, the first of the watch, the change behind, and the one that was called for.
        watched.drained_with(4);
        watched.gateway.wait_for_counter("bad_lists=1 ");
        watched.gateway.wait_for_counter("watches=1 ");
    }
}

#[test]
fn a_call_that_is_not_answered_with_a_list_is_made_again() {
    let watched = Watched::new(173, |told| {
        let watch = then(begins(41, true, &told.up), vec![Act::Say(chunk("noise\n")), Act::Beat]);
        let refused = vec![Act::Say(b"HTTP/1.1 503 Busy\r\n\r\n".to_vec())];
        let spoilt = vec![Act::Say(HEAD.to_vec()), Act::Say(chunk("{\"revision\":44,\"comp\n"))];
        vec![watch, refused, spoilt, Vec::new(), then(begins(44, true, &told.drained), vec![Act::Silence])]
    });
    watched.source.next();
    for _ in 0..4 {
        assert_eq!(watched.source.next(), WHOLE);
    }
    watched.drained_with(3);
}

// The list is owed still when the watch that spoilt it has ended.
#[test]
fn a_watch_that_ends_behind_a_line_that_cannot_be_used_is_opened_for_the_whole_list() {
    let watched = Watched::new(174, |told| {
        let watch = then(begins(41, true, &told.up), vec![Act::Say(chunk("noise\n"))]);
        vec![watch, then(begins(44, true, &told.drained), vec![Act::Beat])]
    });
    watched.source.next();
    let second = watched.source.next();
    assert!(!second.contains("after="), "{second}");
    watched.drained_with(3);
}

#[test]
fn changes_whose_revision_goes_back_are_not_used_and_the_whole_list_is_asked_for() {
    let watched = Watched::new(175, |told| {
        let back = Act::Say(chunk(&format!("{}\n", list(40, false, &told.up))));
        let watch = then(begins(45, true, &told.drained), vec![back, Act::Beat]);
        vec![watch, then(begins(45, true, &told.drained), vec![Act::Silence])]
    });
    watched.source.next();
    assert_eq!(watched.source.next(), WHOLE);
    watched.drained_with(3);
}

// It was cut at each line end, and no part of it was a list.
#[test]
fn a_list_that_comes_indented_is_taken_as_one_on_a_line_is() {
    let watched = Watched::new(176, |told| {
        let first = indented(&list(42, true, &told.up));
        let second = indented(&list(43, false, &told.drained));
        let (one, other) = second.split_at(second.len() / 2);
        let says = [&first, one, other].map(|text| Act::Say(chunk(text)));
        vec![then(vec![Act::Say(HEAD.to_vec())], then(says.to_vec(), vec![Act::Beat]))]
    });
    watched.drained_with(3);
    watched.gateway.wait_for_counter("bad_lists=0 ");
}

// The list that its end cut off was never parsed, nor was one whose last line has no end.
#[test]
fn an_answer_with_a_length_or_an_end_is_read_to_its_last_byte() {
    let whole = |told: &Told| list(42, true, &told.drained);
    let counted = Watched::new(177, |told| {
        let text = whole(told);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        vec![vec![Act::Say(answer.into_bytes()), Act::Silence]]
    });
    counted.drained_with(2);
    let ended = Watched::new(178, |told| {
        vec![vec![Act::Say(format!("HTTP/1.1 200 OK\r\n\r\n{}", whole(told)).into_bytes())]]
    });
    ended.drained_with(2);
    let chunked = Watched::new(179, |told| {
        vec![vec![Act::Say(HEAD.to_vec()), Act::Say(chunk(&whole(told))), Act::Say(b"0\r\n\r\n".to_vec())]]
    });
    chunked.drained_with(2);
}

// Bytes that make no line kept a dead watch open for good.
#[test]
fn a_watch_that_brings_no_line_any_more_is_opened_anew_wherever_it_stopped() {
    let half = "{\"revision\":42,\"comp";
    let stops: Vec<(u8, Vec<Act>)> = vec![
        (180, vec![]),
        (181, vec![Act::Say(b"HTTP/1.1 200".to_vec())]),
        (182, vec![Act::Say(HEAD.to_vec())]),
        (183, vec![Act::Say(HEAD.to_vec()), Act::Say(b"ff\r\n{\"revi".to_vec())]),
        (184, vec![Act::Say(HEAD.to_vec()), Act::Say(chunk(half))]),
        (185, vec![Act::Say(HEAD.to_vec()), Act::Say(chunk("\n"))]),
        (186, vec![Act::Say(HEAD.to_vec()), Act::Say(chunk("\n")), Act::Trickle(chunk(" "))]),
        (187, vec![Act::Trickle(b"H".to_vec())]),
    ];
    std::thread::scope(|scope| {
        for (number, stop) in stops {
            scope.spawn(move || {
                let watched = Watched::new(number, |told| {
                    let stop = then(stop.clone(), vec![Act::Silence]);
                    vec![stop, then(begins(42, true, &told.drained), vec![Act::Beat])]
                });
                watched.source.next();
                let second = watched.source.next();
                assert!(second.contains("watch=1&after=41"), "{number}: {second}");
                watched.drained_with(2);
            });
        }
    });
}

// A list of an earlier run of a host took its address away, while the decisions passed over it.
#[test]
fn what_is_told_of_an_earlier_run_of_a_host_is_passed_over_everywhere() {
    for (number, phase) in [(188, "removed"), (189, "up")] {
        let stage = Stage::new(number);
        let (host, nobody) = (stage.host((0..9).map(|_| Say::Row(b"v")).collect()), stage.closed_host());
        let runs = |host: &Host, phase: &str, since: u64| {
            let entries = stage.entries(&[(host, phase, "primary")]);
            entries.replace("ms\":0", &format!("ms\":{since}"))
        };
        let now = runs(&host, "up", 1_764_000_000_000);
        let old = runs(&nobody, phase, 1_763_000_000_000);
        let (now, old) = (list(42, true, &now), list(43, false, &old));
        let news = [now, old].map(|text| Act::Say(chunk(&format!("{text}\n"))));
        let script = then(vec![Act::Say(HEAD.to_vec())], then(news.to_vec(), vec![Act::Beat]));
        let config = stage.config();
        let (gateway, _source) = stage.start_scripted(&config, vec![script]);
        gateway.wait_for("lists=", |count| count >= 3);
        let mut client = gateway.client();
        for _ in 0..5 {
            assert_eq!(kinds(&client.ask(&select("a", "view", 20_000))), "TDCZ", "{phase}");
        }
    }
}
