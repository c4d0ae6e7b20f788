//! What a client of the laboratory asks over its connection to a gateway, and the answer as it sees it.

use petrelgauge::postgres;
use petrelgauge_test_support::{Connection, Message};
use std::time::Duration;

/// SQLSTATE of a request that was rejected because the gateway or the hosts are overloaded.
pub const SQLSTATE_REJECTED: &str = "53300";
/// SQLSTATE of a request whose session token is not usable.
pub const SQLSTATE_INVALID_TOKEN: &str = "22023";
/// The parameter status message that carries a session's token.
const SESSION_TOKEN_PARAMETER: &str = "petrelgauge.mark";
/// Bytes of a data row before its only value: the count of columns and the value's length.
const DATA_ROW_HEADER: usize = 6;

/// The result of a request, as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A row.
    Row {
        /// The version of the row.
        version: u64,
        /// The session's token, if the gateway sent one.
        token: Option<String>,
    },
    /// An error.
    Error {
        /// Its SQLSTATE.
        code: String,
        /// The session's token, if the gateway sent one.
        token: Option<String>,
    },
    /// No answer: the connection broke or the time limit was reached.
    NoAnswer,
}

/// What has been read of an answer so far.
#[derive(Default)]
struct PartialAnswer {
    version: Option<u64>,
    code: Option<String>,
    token: Option<String>,
    /// A row or an error has come.
    has_result: bool,
}

impl PartialAnswer {
    /// Reads further messages; none if a row is none of the laboratory's.
    fn read(&mut self, messages: &[Message]) -> Option<()> {
        for (kind, body) in messages {
            match kind {
                b'D' => {
                    let value = body.get(DATA_ROW_HEADER..)?;
                    self.version = std::str::from_utf8(value).ok()?.parse().ok();
                    self.has_result = true;
                }
                b'E' => {
                    self.code = postgres::error_field(body, b'C').map(str::to_string);
                    self.has_result = true;
                }
                b'S' => {
                    let parameter = postgres::parse_parameter(body);
                    if let Some(token) =
                        parameter.filter(|parameter| parameter.name == SESSION_TOKEN_PARAMETER)
                    {
                        self.token = Some(token.value);
                    }
                }
                _ => {}
            }
        }
        Some(())
    }

    fn finish(self) -> Answer {
        let token = self.token;
        match (self.version, self.code) {
            (_, Some(code)) => Answer::Error { code, token },
            (Some(version), None) => Answer::Row { version, token },
            (None, None) => Answer::NoAnswer,
        }
    }
}

/// Sends a query and waits for its answer. The connection cannot be used again after [`Answer::NoAnswer`].
pub async fn ask(connection: &mut Connection, text: &str, time_limit: Duration) -> Answer {
    let exchange = async {
        connection.send(text).await.ok()?;
        let mut answer = PartialAnswer::default();
        // The first messages of a connection are the answer to its startup.
        while !answer.has_result {
            answer.read(&connection.read_until_ready().await.ok()?)?;
        }
        Some(answer.finish())
    };
    tokio::time::timeout(time_limit, exchange).await.ok().flatten().unwrap_or(Answer::NoAnswer)
}
