//! A client that sends invalid tokens, which must be rejected, and expired tokens of its own, which must not
//! lead to stale reads.

use super::run_state::{InvalidTokenCounts, RunState, GATEWAYS, ROWS};
use super::session_client::{SessionClient, READ_TIMEOUT};
use super::variants::TOKEN_SECRET;
use crate::client::{Answer, SQLSTATE_INVALID_TOKEN};
use crate::statements::{group_of_row, select_row};
use petrelgauge::Time;
use petrelgauge_sessions::{SessionKey, Token};
use std::rc::Rc;

/// Number of writes during which a token expires.
const WRITES_UNTIL_EXPIRED: usize = 11;
/// Pause before each of these writes (microseconds): all together longer than a token's age of two seconds.
const PAUSE_BETWEEN_WRITES: Time = 200_000;
/// A group that does not exist.
const UNKNOWN_GROUP: u64 = 5;

/// Sends its requests until the run is over.
pub(super) async fn run(state: Rc<RunState>, number: u32, seed: u64) {
    let mut client = SessionClient::new(state.clone(), number, seed);
    let row = u64::from(number) % ROWS;
    let mut turn = 0;
    while !state.is_over() {
        client.tokens.clear();
        client.write(turn % GATEWAYS, row).await;
        let Some(token) = client.tokens.pop() else { continue };
        for invalid in invalid_tokens(&token) {
            send_invalid_token(&state, &mut client, (turn + 1) % GATEWAYS, row, &invalid).await;
        }
        // The old token does not cover these writes.
        for _ in 0..WRITES_UNTIL_EXPIRED {
            state.sleep(PAUSE_BETWEEN_WRITES).await;
            client.tokens.clear();
            client.write((turn + 2) % GATEWAYS, row).await;
        }
        client.tokens = vec![token];
        client.read((turn + 1) % GATEWAYS, row).await;
        turn += 1;
    }
}

/// A corrupted token, one of another session and one of another group.
fn invalid_tokens(token: &str) -> [String; 3] {
    let valid = Token::decode(token, TOKEN_SECRET);
    let valid = valid.unwrap_or_else(|cause| unreachable!("a token of its own: {cause}"));
    let SessionKey { group, name_hash } = valid.key;
    let with_key = |key: SessionKey| Token { key, ..valid }.encode(TOKEN_SECRET);
    [
        token.chars().rev().collect(),
        with_key(SessionKey { group, name_hash: name_hash ^ 1 }),
        with_key(SessionKey { group: UNKNOWN_GROUP, name_hash }),
    ]
}

async fn send_invalid_token(
    state: &RunState,
    client: &mut SessionClient,
    gateway: usize,
    row: u64,
    token: &str,
) {
    let (number, request, group) = (client.number, client.next_request(), group_of_row(row));
    let comment =
        format!("id={number}y{request},c=history,d=1200,cluster={group},session=s{number},mark={token}");
    let text = select_row(row, &comment);
    let answer = client.connections.query(&state.cluster.addresses, gateway, &text, READ_TIMEOUT).await;
    let is_rejected = matches!(&answer, Answer::Error { code, .. } if code == SQLSTATE_INVALID_TOKEN);
    let InvalidTokenCounts { answered, rejected } = state.invalid_tokens.get();
    state.invalid_tokens.set(InvalidTokenCounts {
        answered: answered + u64::from(answer != Answer::NoAnswer),
        rejected: rejected + u64::from(is_rejected),
    });
}
