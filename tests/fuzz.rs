//! Runs each parser on thousands of mutations of valid samples: no input causes a panic, no declared length
//! beyond the input is accepted, and what is accepted survives a round trip. Bounded, with fixed seeds.

use bytes::Bytes;
use petrelgauge::discovery::endpoint_list::EndpointList;
use petrelgauge::postgres::{self, AnswerAssembler, Framer};
use petrelgauge::settings::operator::OperatorConfig;
use petrelgauge::sql::set_statement;
use petrelgauge::sql::statement::Statement;
use petrelgauge_sessions::{
    BroadcastEntry, BroadcastSender, SessionKey, Token, Watermark, WatermarkBroadcast, MAX_DATAGRAM_BYTES,
};

/// Number of mutations per sample.
const MUTATIONS_PER_SAMPLE: u32 = 4_000;

/// A seeded random number generator like SplitMix64, but with a single mixing round.
struct FuzzRng(u64);

impl FuzzRng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed ^ (mixed >> 27)
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }
}

/// Applies one to four changes to a sample: flips a bit, sets a byte that is special to a parser, truncates,
/// duplicates a piece, inserts a piece of another sample, overwrites a length or removes a piece.
fn mutate(rng: &mut FuzzRng, corpus: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = corpus[rng.below(corpus.len())].clone();
    for _ in 0..=rng.below(4) {
        let at = rng.below(bytes.len() + 1).min(bytes.len().saturating_sub(1));
        match rng.below(7) {
            _ if bytes.is_empty() => bytes.push(rng.next() as u8),
            0 => bytes[at] ^= 1 << rng.below(8),
            1 => bytes[at] = [0, 1, 0x7f, 0x80, 0xff, b'\'', b'*', b'/', b',', b'=', b'"'][rng.below(11)],
            2 => bytes.truncate(at),
            3 => {
                let piece = bytes[at..(at + rng.below(16)).min(bytes.len())].to_vec();
                bytes.splice(at..at, piece);
            }
            4 => {
                let other = &corpus[rng.below(corpus.len())];
                let from = rng.below(other.len());
                let piece = other[from..(from + rng.below(24)).min(other.len())].to_vec();
                bytes.splice(at..at, piece);
            }
            5 => {
                let lengths = [0u32, 3, 4, 5, 0x7fff_ffff, 0x8000_0000, u32::MAX];
                let length = lengths[rng.below(7)].to_be_bytes();
                (0..4)
                    .filter_map(|n| bytes.get_mut(at + n).map(|_| n))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| bytes[at + n] = length[n]);
            }
            _ => drop(bytes.drain(at..(at + rng.below(8)).min(bytes.len()))),
        }
    }
    bytes
}

/// Runs `check` on each sample of the corpus and on mutations of them.
fn fuzz(seed: u64, corpus: &[Vec<u8>], mut check: impl FnMut(&[u8])) {
    let mut rng = FuzzRng(seed);
    corpus.iter().for_each(|sample| check(sample));
    for _ in 0..MUTATIONS_PER_SAMPLE * corpus.len() as u32 {
        check(&mutate(&mut rng, corpus));
    }
}

fn text_corpus(samples: &[&str]) -> Vec<Vec<u8>> {
    samples.iter().map(|text| text.as_bytes().to_vec()).collect()
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    postgres::put(&mut out, kind, |to| to.extend_from_slice(body));
    out
}

#[test]
fn messages_from_clients() {
    let mut startup = Vec::new();
    postgres::put_startup(&mut startup);
    let select = b"SELECT content FROM kv WHERE name = 'a' /* id=1,c=view,d=9,cluster=2 */\0";
    let corpus = vec![
        startup.clone(),
        [startup, message(b'Q', select)].concat(),
        message(b'Q', b"SET petrelgauge.mark = 'x'\0"),
        [message(b'P', b"\0SELECT 1\0\0\0"), message(b'S', b"")].concat(),
        vec![0, 0, 0, 8, 4, 210, 22, 47],
    ];
    let mut complete = 0u32;
    fuzz(1, &corpus, |bytes| {
        // Fed in two pieces, as it may arrive; the buffered bytes never exceed the received ones.
        let mut framer = Framer::default();
        let middle = bytes.len() / 2;
        for piece in [&bytes[..middle], &bytes[middle..]] {
            framer.feed(piece);
            let _ = framer.opening();
            while let Ok(Some(message)) = framer.message() {
                complete += 1;
                assert!(message.raw.len() <= bytes.len());
                let _ = message.text();
            }
            assert!(framer.len() <= bytes.len());
        }
    });
    assert!(complete > MUTATIONS_PER_SAMPLE / 10, "too few complete messages: {complete}");
}

#[test]
fn answers_from_hosts() {
    let row = [
        message(b'T', b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"),
        message(b'D', b"\0\x01\0\0\0\x03abc"),
        message(b'C', b"SELECT 1\0"),
        message(b'S', b"log_position\x001767225600123\0"),
        message(b'S', b"pressure\0inflight=7,util=0.61\0"),
        message(b'Z', b"I"),
    ];
    let error = [message(b'E', b"SERROR\0C72000\0Mbehind\0\0"), message(b'Z', b"I")].concat();
    let corpus = vec![row.concat(), error, message(b'R', &[0; 4])];
    let (mut replies, mut rejected) = (0u32, 0u32);
    fuzz(2, &corpus, |bytes| {
        let (mut framer, mut assembler) = (Framer::default(), AnswerAssembler::default());
        framer.feed(bytes);
        while let Ok(Some(message)) = framer.message() {
            match assembler.push(message) {
                Ok(Some(_)) => replies += 1,
                Ok(None) => {}
                Err(_) => {
                    rejected += 1;
                    break;
                }
            }
        }
        let _ = assembler.finish();
    });
    assert!(
        replies > MUTATIONS_PER_SAMPLE / 10 && rejected > MUTATIONS_PER_SAMPLE / 10,
        "too few inputs: {replies} replies, {rejected} rejected"
    );
}

#[test]
fn statements_and_settings() {
    let corpus = text_corpus(&[
        "SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2 */",
        "SELECT content FROM kv WHERE name = 'it''s' /* id=1,c=a,d=1,cluster=0,after=17,r=1,session=s,mark=AQ+AQ */;",
        "INSERT INTO kv (name, content) VALUES ('a', '\\x9f03') RETURNING content /* id=1,c=o,d=4,k=5c,cluster=2 */",
        "SET petrelgauge.mark = 'AQ'",
        "SET SESSION petrelgauge.mark TO 'AQ+AQ';",
        "RESET petrelgauge.mark",
    ]);
    let mut accepted = 0u32;
    fuzz(3, &corpus, |bytes| {
        let _ = set_statement::parse(bytes);
        let text = Bytes::copy_from_slice(bytes);
        if let Ok(statement) = Statement::parse(&text) {
            accepted += 1;
            assert!(!statement.id.is_empty() && statement.name.len() <= bytes.len());
            // The statement sent to a host differs only in the remaining time and can be parsed again.
            let mut query = statement.query(statement.wait_ms);
            let length = bytes::Buf::remaining(&query);
            let sent = bytes::Buf::copy_to_bytes(&mut query, length);
            let reparsed = Statement::parse(&sent.slice(5..sent.len() - 1))
                .expect("an accepted statement is accepted again");
            assert_eq!(
                (reparsed.id, reparsed.class, reparsed.group),
                (statement.id, statement.class, statement.group)
            );
        }
    });
    assert!(accepted > MUTATIONS_PER_SAMPLE / 10, "too few inputs were accepted: {accepted}");
}

#[test]
fn endpoint_lists() {
    let corpus = text_corpus(&[
        r#"{"revision":41,"complete":true,"members":[{"id":"s-5","host_port":"127.0.0.1:5433","locality":"a","cell":3,"phase":"up","size":1.0,"up_since_ms":0}]}"#,
        r#"{"revision":43,"complete":false,"members":[{"id":"s-5","phase":"removed"},{"id":"t","host_port":"[::1]:1","phase":"draining","replication":"primary"}]}"#,
        "",
    ]);
    let mut accepted = 0u32;
    fuzz(4, &corpus, |bytes| accepted += u32::from(serde_json::from_slice::<EndpointList>(bytes).is_ok()));
    assert!(accepted > MUTATIONS_PER_SAMPLE / 10, "too few inputs were accepted: {accepted}");
}

#[test]
fn tokens_and_watermark_broadcasts() {
    let key = SessionKey { group: 2, name_hash: 77 };
    let watermark = Watermark { written: 1_767_225_600_123_000, read: 1_767_225_600_150_000 };
    let token = Token { key, watermark, issued_at: 1_767_225_600_200_000 }.encode(9);
    let broadcast = WatermarkBroadcast {
        sender: BroadcastSender { instance: 1, group: 2, epoch: 1_767_225_000_000_000 },
        from: 1_767_225_600_000_000,
        until: 1_767_225_600_100_000,
        omitted_bound: 0,
        entries: vec![
            BroadcastEntry { name_hash: 77, watermark },
            BroadcastEntry { name_hash: 78, watermark: Watermark::NONE },
        ],
    }
    .encode(9);
    assert!(broadcast.len() <= MAX_DATAGRAM_BYTES);
    // The checksum makes decoding accept only the original bytes.
    fuzz(5, &[token.clone().into_bytes()], |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(Token::decode(&text, 9).is_ok(), *text == *token);
    });
    fuzz(6, std::slice::from_ref(&broadcast), |bytes| {
        assert_eq!(WatermarkBroadcast::decode(bytes, 9).is_ok(), *bytes == *broadcast)
    });
}

#[test]
fn operator_file() {
    let corpus = text_corpus(&[
        "sessions: {classes: [\"view\", \"post\"], secret: \"77\"}\n",
        "// c\nsessions: {\n  classes: [\"a\",]\n  secret: \"1\", pace: 100ms\n  hold: 0\n}\nclock_shift: 5ms\n",
        "\"sessions\": {}",
    ]);
    let mut accepted = 0u32;
    fuzz(7, &corpus, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        match OperatorConfig::parse("f.cue", &text) {
            Ok(_) => accepted += 1,
            Err(cause) => assert!(cause.line >= 1 && cause.line <= text.lines().count() + 1, "{cause}"),
        }
    });
    assert!(accepted > MUTATIONS_PER_SAMPLE / 10, "too few inputs were accepted: {accepted}");
}
