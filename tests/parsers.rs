//! Property tests of the gateway's parsers with randomly fragmented valid input and random garbage, from
//! fixed seeds.

use bytes::Buf;
use petrelgauge::discovery::http_response::ResponseReader;
use petrelgauge::postgres::{self, AnswerAssembler, Framer, Parameter, Severity, MAX_MESSAGE_BYTES};
use petrelgauge::sql::statement::Statement;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SELECT_STATEMENT: &str =
    "SELECT content FROM kv WHERE name = 'it''s /* d=1 */' /* id=9b1f,c=view,d=480,cluster=2 */";

/// Bytes that a buffer may hold unused, beside as many as it uses.
const MAX_SPARE_BYTES: usize = 1024;

fn check<S: Strategy>(inputs: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng).run(&inputs, test).expect("the property holds for every case");
}

/// Checks that the result of `parse` does not depend on how `valid` is fragmented, and that it does not
/// panic on garbage, alone or after a valid prefix. `parse` takes the fragments in order and returns what it
/// found.
fn check_parser<T: PartialEq + std::fmt::Debug>(valid: &[u8], parse: impl Fn(&[&[u8]]) -> T) {
    let complete = parse(&[valid]);
    check(vec(0..=valid.len(), 0..12), |mut cuts| {
        cuts.extend([0, valid.len()]);
        cuts.sort_unstable();
        let fragments: Vec<&[u8]> = cuts.windows(2).map(|cut| &valid[cut[0]..cut[1]]).collect();
        prop_assert_eq!(&parse(&fragments), &complete);
        Ok(())
    });
    check((0..=valid.len(), vec(any::<u8>(), 0..600)), |(keep, garbage)| {
        parse(&[&valid[..keep], &garbage]);
        Ok(())
    });
}

/// Feeds the fragments and collects what is complete after each. Stops at the first malformed one and
/// returns whether there was one. Asserts that the buffer stays bounded.
fn read_frames<T>(
    fragments: &[&[u8]],
    next: impl Fn(&mut Framer) -> Result<Option<T>, postgres::Malformed>,
) -> (Vec<T>, bool) {
    let (mut framer, mut found) = (Framer::default(), Vec::new());
    for fragment in fragments {
        framer.feed(fragment);
        loop {
            match next(&mut framer) {
                Ok(Some(frame)) => found.push(frame),
                Ok(None) => break,
                Err(_) => return (found, true),
            }
        }
        assert!(
            framer.len() <= MAX_MESSAGE_BYTES + fragment.len(),
            "the buffer exceeds one message and one fragment"
        );
    }
    (found, false)
}

/// A RowDescription's body: one column.
const COLUMN: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

fn answers() -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put(&mut out, b'T', |body| body.extend_from_slice(COLUMN));
    postgres::put(&mut out, b'D', |body| body.extend_from_slice(&[0, 1, 0, 0, 0, 2, 159, 3]));
    postgres::put_complete(&mut out, "SELECT 1");
    postgres::put(&mut out, b'S', |body| body.extend_from_slice(b"log_position\x001767225600123\0"));
    postgres::put_ready(&mut out);
    postgres::put_error(&mut out, Severity::Error, "72000", "too far behind", Some("500"));
    postgres::put_ready(&mut out);
    out
}

// Review case 6: a message kept the buffer that it was cut from, and the budget counted its bytes only.
#[test]
fn messages_and_buffers_hold_no_more_than_they_report() {
    check(vec((0..3_000usize, 1..2_000usize), 1..40), |sizes| {
        let (mut framer, mut stream) = (Framer::default(), Vec::new());
        for (body, _) in &sizes {
            postgres::put(&mut stream, b'd', |out| out.resize(out.len() + body, b'x'));
        }
        let mut unread = &stream[..];
        for (_, read) in sizes.iter().cycle() {
            let (piece, rest) = unread.split_at((*read).min(unread.len()));
            unread = rest;
            framer.feed(piece);
            while let Some(message) = framer.message().expect("the messages are valid") {
                let length = message.raw.len();
                let buffer = message.raw.try_into_mut().expect("nothing else shares the message's memory");
                prop_assert_eq!(buffer.capacity(), length);
            }
            prop_assert!(framer.held_bytes() <= 2 * framer.len() + MAX_SPARE_BYTES);
            if unread.is_empty() {
                break;
            }
        }
        prop_assert_eq!(framer.held_bytes(), 0);
        Ok(())
    });
}

#[test]
fn messages_are_parsed_however_they_are_fragmented() {
    check_parser(&answers(), |fragments| read_frames(fragments, Framer::message));
    assert_eq!(read_frames(&[&answers()], Framer::message).0.len(), 7);
}

#[test]
fn replies_are_assembled_however_they_are_fragmented() {
    let parse = |fragments: &[&[u8]]| {
        let (messages, _) = read_frames(fragments, Framer::message);
        let mut assembler = AnswerAssembler::default();
        messages.into_iter().map(|message| assembler.push(message)).collect::<Vec<_>>()
    };
    check_parser(&answers(), parse);
    let replies: Vec<_> = parse(&[&answers()]).into_iter().flatten().flatten().collect();
    assert_eq!(replies.len(), 2);
    assert_eq!(
        replies[0].parameters,
        [Parameter { name: "log_position".to_string(), value: "1767225600123".to_string() }]
    );
    assert_eq!(replies[1].answer, postgres::Answer::Error("72000".into()));
}

#[test]
fn opening_messages_are_parsed_however_they_are_fragmented() {
    let mut out = [0, 0, 0, 8, 4, 210, 22, 47].to_vec();
    postgres::put_startup(&mut out);
    check_parser(&out, |fragments| read_frames(fragments, Framer::opening));
    let found = read_frames(&[&out], Framer::opening);
    assert_eq!(found, (vec![postgres::Opening::Encryption, postgres::Opening::Startup { minor: 0 }], false));
}

#[test]
fn an_invalid_length_is_malformed_at_once() {
    for length in [0u32, 3, MAX_MESSAGE_BYTES as u32 + 1, u32::MAX] {
        let bytes = [&b"Q"[..], &length.to_be_bytes()].concat();
        assert!(read_frames(&[&bytes], Framer::message).1, "{length}");
        assert!(read_frames(&[&bytes[1..]], Framer::opening).1, "{length}");
    }
}

#[test]
fn lines_of_a_chunked_response_are_parsed_however_they_are_fragmented() {
    let valid = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7;x=y\r\n{\"a\":1}\r\n1\r\n\n\r\n\
        A\r\n\n{\"b\":2}\n\n\r\n";
    let parse = |fragments: &[&[u8]]| {
        let (mut reader, mut lines) = (ResponseReader::default(), Vec::new());
        let ends: Vec<_> = fragments.iter().map(|fragment| reader.feed(fragment, &mut lines)).collect();
        (lines, ends.into_iter().find(Result::is_err))
    };
    check_parser(valid, parse);
    assert_eq!(parse(&[valid]), (vec![b"{\"a\":1}".to_vec(), vec![], b"{\"b\":2}".to_vec(), vec![]], None));
    assert!(parse(&[b"HTTP/1.1 503 Busy\r\n\r\n"]).1.is_some());
    assert!(parse(&[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfoo\r\n"]).1.is_some());
}

#[test]
fn a_statement_is_forwarded_unaltered_except_for_its_wait() {
    check_parser(SELECT_STATEMENT.as_bytes(), |fragments| Statement::parse(&fragments.concat().into()));
    let statement = Statement::parse(&SELECT_STATEMENT.into()).expect("a valid statement");
    assert_eq!((statement.class.as_str(), statement.wait_ms, statement.group), ("view", 480, 2));
    assert_eq!(statement.name, "it''s /* d=1 */");
    check(any::<u64>(), |wait| {
        let mut query = statement.query(wait);
        let length = query.remaining();
        let bytes = query.copy_to_bytes(length);
        let (messages, malformed) = read_frames(&[&bytes], Framer::message);
        prop_assert!(!malformed && messages.len() == 1);
        let text = messages[0].text().map_err(|error| TestCaseError::fail(error.0))?;
        prop_assert_eq!(text, SELECT_STATEMENT.replace("d=480", &format!("d={wait}")));
        Ok(())
    });
}

// Hosts accept only the statement forms of the protocol. Forwarding any other form breaks the host's
// connection.
#[test]
fn statements_of_another_form_are_rejected_with_the_reason() {
    let write =
        "INSERT INTO kv (name, content) VALUES ('a', '\\x9f03') RETURNING content /* id=1,c=post,d=9,\
        k=2,cluster=2 */";
    let read = "SELECT content FROM kv WHERE name = 'a' /* id=1,c=view,d=9,cluster=2 */";
    for text in [read, write, "select content from kv where name='a'/*id=1,c=view,d=9,cluster=2,x=y*/ ; "] {
        Statement::parse(&text.into()).expect(text);
    }
    let long = "9f".repeat(65537);
    let cases = [
        (read, "SELECT", "DELETE", "only SELECT"),
        (read, "content FROM", "FROM", "another form"),
        (read, " FROM kv", " FROM kv2", "another form"),
        (read, "'a'", "a", "quoted key"),
        (read, "'a' /* id=1,c=view,d=9,cluster=2 */", "'a'", "no comment"),
        (read, "'a'", "'a", "not closed"),
        (read, " */", "", "not closed"),
        (read, "*/", "*/ /* */", "something follows"),
        (read, "*/", "*/ OR 1=1", "something follows"),
        (read, "'a'", "'a' AND true", "no comment"),
        (read, "*/", "*/; SELECT 1", "something follows"),
        (read, "id=1,", "", "no id"),
        (read, "id=1,", "id=,", "no id"),
        (read, "c=view,", "", "no c"),
        (read, ",d=9", "", "no d"),
        (read, ",cluster=2", "", "no cluster"),
        (read, "d=9", "d=-9", "number"),
        (read, "d=9", "d=9.5", "number"),
        (read, "d=9", "d=99999999999999999999", "number"),
        (read, "d=9", "d=9,d=9", "twice"),
        (read, "d=9", "d", "without a value"),
        (read, "id=1", "id=1 2", "value that is none"),
        (write, "9f03", "9f0", "hexadecimal"),
        (write, "9f03", "9f0g", "hexadecimal"),
        (write, "\\x9f03", "9f03", "written as"),
        (write, "9f03", &long, "longer than"),
        (write, " RETURNING content", "", "another form"),
    ];
    for (text, from, to, cause) in cases {
        let text = text.replacen(from, to, 1);
        let error = Statement::parse(&text.clone().into()).expect_err(&text);
        assert!(error.to_string().contains(cause), "{:.200}: {error}", text);
    }
}

// An answer that does not fit its types must be malformed: if it were forwarded, the client would use it as
// the value.
#[test]
fn answers_that_do_not_fit_their_types_are_malformed() {
    let answer = |column: &[u8], row: &[u8], tag: &[u8], status: &[u8]| {
        let mut out = Vec::new();
        for (kind, part) in [(b'T', column), (b'D', row), (b'C', tag), (b'Z', status)] {
            postgres::put(&mut out, kind, |body| body.extend_from_slice(part));
        }
        let (messages, _) = read_frames(&[&out], Framer::message);
        let mut assembler = AnswerAssembler::default();
        messages.into_iter().map(|message| assembler.push(message)).find(|result| !matches!(result, Ok(None)))
    };
    let row = b"\0\x01\0\0\0\x02\x9f\x03";
    assert!(matches!(answer(COLUMN, row, b"SELECT 1\0", b"I"), Some(Ok(Some(_)))));
    let cases: [[&[u8]; 4]; 10] = [
        [&COLUMN[1..], row, b"SELECT 1\0", b"I"],
        [&[COLUMN, b"x"].concat(), row, b"SELECT 1\0", b"I"],
        [b"\0\x02a\0", row, b"SELECT 1\0", b"I"],
        [COLUMN, b"\0\x01\0\0\0\x03\x9f\x03", b"SELECT 1\0", b"I"],
        [COLUMN, b"\0\x01\xff\xff\xff\xff", b"SELECT 1\0", b"I"],
        [COLUMN, b"\0\x02\0\0\0\x02\x9f\x03", b"SELECT 1\0", b"I"],
        [COLUMN, row, b"SELECT 1", b"I"],
        [COLUMN, row, b"\x01\x02\0", b"I"],
        [COLUMN, row, b"SELECT 1\0", b"?"],
        [COLUMN, row, b"SELECT 1\0", b"II"],
    ];
    for [column, row, tag, status] in cases {
        let result = answer(column, row, tag, status);
        assert!(matches!(result, Some(Err(_))), "{column:?} {row:?} {tag:?} {status:?}");
    }
}
