//! Compatibility tests of encodings that are shared between versions of the program: tokens held by clients,
//! and datagrams between instances. The fixtures were recorded at commit a97f0e8.

use petrelgauge_policy::Time;
use petrelgauge_sessions::*;
use std::collections::BTreeMap;

const MS: Time = 1_000;
const SECRET: u64 = 0x5EED;
/// A whole number of milliseconds, which is encoded exactly. Adding microseconds shows how a field is
/// rounded.
const NOW: Time = 1_767_225_600_123_000;

const TOKENS: &str = include_str!("fixtures/tokens.txt");
const DATAGRAMS: &str = include_str!("fixtures/datagrams.txt");

/// Parses the `name value` lines of a fixture file.
fn fixtures(text: &'static str) -> BTreeMap<&'static str, &'static str> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(|line| line.split_once(' ').expect("a name and a value")).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&hex[start..start + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn key(name: u64) -> SessionKey {
    SessionKey { group: 0x0102_0304_0506_0708, name_hash: name }
}

fn watermark(written: Time, read: Time) -> Watermark {
    Watermark { written, read }
}

/// Names of the fixtures, each with the token to encode and the token that the fixture decodes to.
fn tokens() -> Vec<(&'static str, Token, Token)> {
    let token = |watermark, issued_at| Token { key: key(0xFE_DCBA_9876), watermark, issued_at };
    vec![
        ("nothing-seen", token(Watermark::NONE, NOW), token(Watermark::NONE, NOW)),
        ("written", token(watermark(NOW - 5 * MS, 0), NOW), token(watermark(NOW - 5 * MS, 0), NOW)),
        ("read", token(watermark(0, NOW - 7 * MS), NOW), token(watermark(0, NOW - 7 * MS), NOW)),
        (
            "watermarks-round-up-issue-rounds-down",
            token(watermark(NOW - 5 * MS + 1, NOW - 7 * MS + 999), NOW + 999),
            token(watermark(NOW - 4 * MS, NOW - 6 * MS), NOW),
        ),
        (
            "largest",
            token(watermark(Time::MAX, Time::MAX), Time::MAX),
            token(watermark(((1 << 48) - 1) * MS, ((1 << 48) - 1) * MS), ((1 << 48) - 1) * MS),
        ),
    ]
}

fn entry(name_hash: u64, watermark: Watermark) -> BroadcastEntry {
    BroadcastEntry { name_hash, watermark }
}

fn sender(epoch: Time) -> BroadcastSender {
    BroadcastSender { instance: 513, group: 0x0102_0304_0506_0708, epoch }
}

fn datagram(entries: Vec<BroadcastEntry>) -> WatermarkBroadcast {
    WatermarkBroadcast {
        sender: sender(NOW - 60_000 * MS),
        from: NOW - 200 * MS,
        until: NOW,
        omitted_bound: 0,
        entries,
    }
}

/// Names of the fixtures, each with the broadcast to encode and the broadcast that the fixture decodes to.
fn datagrams() -> Vec<(&'static str, WatermarkBroadcast, WatermarkBroadcast)> {
    let full: Vec<BroadcastEntry> =
        (0..MAX_ENTRIES as u64).map(|n| entry(n << 32 | n, watermark(NOW - n as Time * MS, 0))).collect();
    let three = vec![
        entry(7, watermark(NOW - 5 * MS, 0)),
        entry(8, watermark(0, NOW - 7 * MS)),
        entry(0xFF_FFFF_FFFF, watermark(NOW, NOW + 2_000 * MS)),
    ];
    // The oldest watermark that can be encoded; older ones are raised to it.
    let oldest = NOW + 2_000 * MS - (Time::from(u16::MAX) - 1) * MS;
    vec![
        ("empty", datagram(Vec::new()), datagram(Vec::new())),
        ("three-sessions", datagram(three.clone()), datagram(three)),
        ("full", datagram(full.clone()), datagram(full)),
        (
            "bound-and-watermarks-round-up",
            WatermarkBroadcast {
                sender: sender(NOW - 60_000 * MS + 999),
                omitted_bound: NOW - 90 * MS + 1,
                ..datagram(vec![entry(7, watermark(NOW - 5 * MS + 1, NOW - 600_000 * MS))])
            },
            WatermarkBroadcast {
                omitted_bound: NOW - 89 * MS,
                ..datagram(vec![entry(7, watermark(NOW - 4 * MS, oldest))])
            },
        ),
        (
            "first-interval-of-a-run",
            WatermarkBroadcast { sender: sender(NOW), from: NOW, ..datagram(Vec::new()) },
            WatermarkBroadcast { sender: sender(NOW), from: NOW, ..datagram(Vec::new()) },
        ),
    ]
}

#[test]
fn tokens_are_encoded_as_recorded() {
    let fixtures = fixtures(TOKENS);
    assert_eq!(fixtures.len(), tokens().len());
    for (name, token, _) in tokens() {
        assert_eq!(Some(&token.encode(SECRET).as_str()), fixtures.get(name), "{name}");
    }
}

#[test]
fn recorded_tokens_are_decoded() {
    let fixtures = fixtures(TOKENS);
    for (name, _, expected) in tokens() {
        assert_eq!(Token::decode(fixtures[name], SECRET), Ok(expected), "{name}");
    }
    assert_eq!(NEW_SESSION, "new", "what clients send without a token");
}

#[test]
fn datagrams_are_encoded_as_recorded() {
    let fixtures = fixtures(DATAGRAMS);
    assert_eq!(fixtures.len(), datagrams().len());
    for (name, datagram, _) in datagrams() {
        assert_eq!(Some(&encode_hex(&datagram.encode(SECRET)).as_str()), fixtures.get(name), "{name}");
    }
}

#[test]
fn recorded_datagrams_are_decoded() {
    let fixtures = fixtures(DATAGRAMS);
    for (name, _, expected) in datagrams() {
        assert_eq!(WatermarkBroadcast::decode(&decode_hex(fixtures[name]), SECRET), Ok(expected), "{name}");
    }
}

// Checksums depend on the secret.
#[test]
fn fixtures_of_another_secret_are_rejected() {
    for text in fixtures(TOKENS).values() {
        assert_eq!(Token::decode(text, SECRET + 1), Err(TokenError::InvalidChecksum));
    }
    for text in fixtures(DATAGRAMS).values() {
        assert_eq!(
            WatermarkBroadcast::decode(&decode_hex(text), SECRET + 1),
            Err(BroadcastError::InvalidChecksum)
        );
    }
}

// Tokens and datagrams contain hashes of session names: with a different hash function, known watermarks
// would be assigned to other sessions.
#[test]
fn session_names_hash_as_recorded() {
    let names = ["", "member-17", "9b1f6e2c-2f3d-4c55-9d0c-0a4f6a1f0d11"];
    let hashes = names.map(|name| SessionKey::new(SECRET, 2, name).name_hash);
    assert_eq!(hashes, [354919028394, 495073452570, 366701853798]);
}
