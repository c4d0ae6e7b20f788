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
fn files_are_valid_or_rejected_with_place_and_reason() {
    let cases = [
        ("", ""),
        ("// nothing\n", ""),
        ("r: {span: 20ms, truth: true,\n count: 3 // three\n texts: [\"a\", \"b\",], size: 64KiB, kind: \"b\"}", ""),
        ("\"r\": {}\n", ""),
        ("x: 1", "f.cue:1:1: there is no field \"x\" here"),
        ("r: {\n  other: 1\n}", "f.cue:2:3: there is no field \"other\" here"),
        ("r: 3", "f.cue:1:4: r is a record in braces"),
        ("r: {span: 20}", "f.cue:1:11: span is a span such as 20ms, 3s or 2m"),
        ("r: {span: 20h}", "f.cue:1:11: span is a span such as 20ms, 3s or 2m"),
        ("r: {span: 9223372036854775807m}", "f.cue:1:11: span is a span"),
        ("r: {count: -1}", "f.cue:1:12: count is a whole number"),
        ("r: {truth: yes}", "f.cue:1:12: a value is expected here"),
        ("r: {truth: trueish}", "f.cue:1:12: a value is expected here"),
        ("r: {texts: [\"a\", 2]}", "f.cue:1:18: texts is a list of texts"),
        ("r: {kind: \"c\"}", "f.cue:1:11: kind is one of \"a\", \"b\", not \"c\""),
        ("r: {count: 1\n count: 1}", "f.cue:2:2: \"count\" is set twice"),
        ("r {", "f.cue:1:3: a colon is expected here"),
        ("r: {count: 1", "f.cue:1:13: a closing brace is expected here"),
        ("r: {kind: \"a\n\"}", "the end of a text is expected here"),
        ("r: {count: int & >=1}", "f.cue:1:12: a value is expected here"),
        ("#Class: {}", "f.cue:1:1: a field is expected here"),
    ];
    for (text, expected) in cases {
        let error = error_of(text);
        let is_as_expected = if expected.is_empty() { error.is_empty() } else { error.contains(expected) };
        assert!(is_as_expected, "{text:?}: {error:?} should contain {expected:?}");
    }
    assert!(error_of(&format!("r: {}", "[".repeat(40))).contains("no further record"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(5), ..Default::default() })]

    #[test]
    fn no_text_makes_the_parser_panic(text in "[a-z{}\\[\\]:,\"0-9 /\n#-]{0,80}") {
        let _ = Record::read("f.cue", &text);
    }
}
