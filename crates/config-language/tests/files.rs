//! Valid files, and the errors of invalid ones.

use petrelgauge_config_language::Record;
use proptest::prelude::*;

/// The error of a file with a record `r` of known fields, or the empty string if it is valid.
fn error_of(text: &str) -> String {
    let result = Record::read("f.cue", text).and_then(|mut file| {
        file.record("r")?.map_or(Ok(()), |mut record| {
            record.duration("span")?;
            record.boolean("truth")?;
            record.unsigned("count")?;
            record.strings("texts")?;
            record.size("size")?;
            record.one_of("kind", &["a", "b"])?;
            record.end()
        })?;
        file.end()
    });
    result.err().map(|cause| cause.to_string()).unwrap_or_default()
}

#[test]
fn files_are_valid_or_rejected_with_position_and_reason() {
    let cases = [
        ("", ""),
        ("// nothing\n", ""),
        (
            "r: {span: 20ms, truth: true,\
              \n count: 3 // three\n texts: [\"a\", \"b\",], size: 64KiB, kind: \"b\"}",
            "",
        ),
        ("\"r\": {}\n", ""),
        ("x: 1", "f.cue:1:1: unknown field \"x\""),
        ("r: {\n  other: 1\n}", "f.cue:2:3: unknown field \"other\""),
        ("r: 3", "f.cue:1:4: r must be a record in braces"),
        ("r: {span: 20}", "f.cue:1:11: span must be a duration such as 20ms, 3s or 2m"),
        ("r: {span: 20h}", "f.cue:1:11: span must be a duration such as 20ms, 3s or 2m"),
        ("r: {span: 9223372036854775807m}", "f.cue:1:11: span must be a duration"),
        ("r: {count: -1}", "f.cue:1:12: count must be a whole number"),
        ("r: {truth: yes}", "f.cue:1:12: expected a value"),
        ("r: {truth: trueish}", "f.cue:1:12: expected a value"),
        ("r: {texts: [\"a\", 2]}", "f.cue:1:18: texts must be a list of strings"),
        ("r: {kind: \"c\"}", "f.cue:1:11: kind must be one of \"a\", \"b\", not \"c\""),
        ("r: {count: 1\n count: 1}", "f.cue:2:2: field \"count\" is set twice"),
        ("r {", "f.cue:1:3: expected a colon"),
        ("r: {count: 1", "f.cue:1:13: expected a closing brace"),
        ("r: {kind: \"a\n\"}", "expected a closing quotation mark"),
        ("r: {count: int & >=1}", "f.cue:1:12: expected a value"),
        ("#Class: {}", "f.cue:1:1: expected a field"),
    ];
    for (text, expected) in cases {
        let error = error_of(text);
        let is_as_expected = if expected.is_empty() { error.is_empty() } else { error.contains(expected) };
        assert!(is_as_expected, "{text:?}: {error:?} should contain {expected:?}");
    }
    assert!(
        error_of(&format!("r: {}", "[".repeat(40))).contains("expected a value that is nested less deeply")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    #[test]
    fn no_text_makes_the_parser_panic(text in "[a-z{}\\[\\]:,\"0-9 /\n#-]{0,80}") {
        let _ = Record::read("f.cue", &text);
    }
}
