//! Orders that clients send behind a statement on the same connection, so that they wait for their turn.

use super::classes::{CLASSES, LONG, LONGEST_DEADLINE, ORDER};
use super::clients::{Clients, Outcome, Record, Reply, LATEST_ANSWER};
use super::Time;
use petrelgauge_test_support::{query, Connection};
use std::rc::Rc;
use std::time::Duration;

/// Execution time of a slow statement: longer than clients may use the classes before a reload, and shorter
/// than the deadline of long statements.
pub const SLOW_EXECUTION_TIME: Duration = Duration::from_millis(2_400);
/// First digit of the ids of slow statements.
const SLOW_ID_PREFIX: char = 'f';

/// Whether the statement with this id is a slow one.
pub fn is_slow_statement(id: &str) -> bool {
    id.starts_with(SLOW_ID_PREFIX)
}

/// What the client does when it has the answer to its statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AfterStatement {
    /// Nothing: the statement is not slow.
    Nothing,
    /// The statement is slow, and SIGHUP follows its answer at once.
    SignalReload,
}

impl Clients {
    /// Sends a statement and an order on a new connection, and records both outcomes.
    pub fn issue_order_behind_statement(self: &Rc<Self>, after: AfterStatement) {
        tokio::task::spawn_local(self.clone().run_order(after));
    }

    async fn run_order(self: Rc<Self>, after: AfterStatement) {
        let number = self.request_log.next_number();
        let prefix = if after == AfterStatement::SignalReload { SLOW_ID_PREFIX } else { 'd' };
        let ids = [format!("{prefix}{number:015x}"), format!("e{number:015x}")];
        let mut sent = self.clock.now();
        let mut outcomes = [Outcome::NotAccepted, Outcome::NotAccepted];
        if let Some(mut connection) = self.connection(true).await {
            sent = self.clock.now();
            if connection.send_bytes(&statements(&ids)).await.is_ok() {
                outcomes = self.answers(&mut connection, &ids, after).await;
            }
        }
        for (class, (id, outcome)) in [LONG, ORDER].into_iter().zip(ids.into_iter().zip(outcomes)) {
            let (gateway, ended) = (self.gateway.number, self.clock.now());
            let deadline = CLASSES[class].settings.deadline;
            let record = Record { id, gateway, class, sent, ended, deadline, key: None, outcome };
            self.request_log.records.borrow_mut().push(record);
        }
    }

    /// The outcomes of the statement and of the order behind it.
    async fn answers(
        &self,
        connection: &mut Connection,
        ids: &[String; 2],
        after: AfterStatement,
    ) -> [Outcome; 2] {
        let limit = self.clock.now() + (LONGEST_DEADLINE + LATEST_ANSWER).as_micros() as Time;
        let statement = self.answer(connection, &ids[0], limit).await;
        let is_answered = matches!(statement, Outcome::Served | Outcome::Rejected(_) | Outcome::Failed(_));
        if !is_answered {
            return [statement.clone(), statement];
        }
        if after == AfterStatement::SignalReload {
            self.gateway.signal_reload();
        }
        // The time for which an order waits for the statement does not count.
        let order_limit = limit.max(self.clock.now() + LATEST_ANSWER.as_micros() as Time);
        [statement, self.answer(connection, &ids[1], order_limit).await]
    }

    async fn answer(&self, connection: &mut Connection, id: &str, limit: Time) -> Outcome {
        let left = Duration::from_micros((limit - self.clock.now()).max(0) as u64);
        match self.read_answer(connection, id, left).await {
            Ok(outcome) | Err(Reply::Ended(outcome)) => outcome,
            Err(Reply::Unread) => Outcome::NotAccepted,
        }
    }
}

/// A long statement and an order, as one piece of bytes.
fn statements([statement, order]: &[String; 2]) -> Vec<u8> {
    let wait = LONGEST_DEADLINE.as_millis();
    let read = format!(
        "SELECT content FROM kv WHERE name = '{statement}' /* id={statement},c=report,d={wait},cluster=2 */"
    );
    let write = format!(
        "INSERT INTO kv (name, content) VALUES ('{order}', '\\x9f03') RETURNING content \
         /* id={order},c=order,d={wait},cluster=2 */"
    );
    [query(&read), query(&write)].concat()
}
