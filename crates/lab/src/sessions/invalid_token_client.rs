//! A client that sends unusable tokens, which must be rejected, and old tokens of its own, which must not make it see
//! less.

use super::run_state::{InvalidTokenCounts, RunState, GATEWAYS, ROWS};
use super::session_client::{SessionClient, READ_TIME_LIMIT};
use super::variants::TOKEN_SECRET;
use crate::client::{Answer, SQLSTATE_INVALID_TOKEN};
use crate::statements::{group_of_row, select_row};
use petrelgauge::Time;
use petrelgauge_sessions::{SessionKey, Token};
use std::rc::Rc;

/// Writes during which a token grows too old.
const WRITES_UNTIL_TOO_OLD: usize = 11;
/// Pause before each of these writes (microseconds): with eleven of them longer than the two seconds of a token's life.
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
        // Only other answers tell of these writes.
        for _ in 0..WRITES_UNTIL_TOO_OLD {
            state.sleep(PAUSE_BETWEEN_WRITES).await;
            client.tokens.clear();
            client.write((turn + 2) % GATEWAYS, row).await;
        }
        client.tokens = vec![token];
        client.read((turn + 1) % GATEWAYS, row).await;
        turn += 1;
    }
}

/// An altered token, one of another session and one of another group.
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
    let answer = client.connections.query(&state.cluster.addresses, gateway, &text, READ_TIME_LIMIT).await;
    let is_rejected = matches!(&answer, Answer::Error { code, .. } if code == SQLSTATE_INVALID_TOKEN);
    let InvalidTokenCounts { answered, rejected } = state.invalid_tokens.get();
    state.invalid_tokens.set(InvalidTokenCounts {
        answered: answered + u64::from(answer != Answer::NoAnswer),
        rejected: rejected + u64::from(is_rejected),
    });
}
