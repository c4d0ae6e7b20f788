//! Queries: a request for the database hosts, or a statement that the gateway answers itself.

use crate::client::client_event::Query;
use crate::client::request_parser::UnusableStatement;
use crate::client::session::ClientSession;
use crate::postgres::{self, sqlstate, Severity};
use crate::sql::set_statement::{self, Setting};
use petrelgauge_lifecycle::client::QueryOutcome;
use petrelgauge_lifecycle::ending::End;

impl ClientSession<'_> {
    /// Answers a query.
    ///
    /// # Errors
    ///
    /// Returns how the connection ended if that was before the answer was written.
    pub(super) async fn answer(&mut self, query: &Query) -> Result<QueryOutcome, End> {
        let mut out = Vec::new();
        let outcome = if is_empty_query(&query.text) {
            self.put_readiness(&mut out);
            QueryOutcome::AnsweredLocally
        } else if let Some(setting) = set_statement::parse(&query.text) {
            match self.apply_setting(&setting) {
                Ok(()) => postgres::put_complete(&mut out, setting.tag()),
                Err(error) => self.put_unusable(&mut out, &error),
            }
            QueryOutcome::AnsweredLocally
        } else {
            match self.context.parse_request(query, &self.session_tokens) {
                Ok(request) => {
                    self.reader.hand_over_message();
                    return self.answer_request(request).await.map(|()| QueryOutcome::Request);
                }
                Err(error) => self.put_unusable(&mut out, &error),
            }
            QueryOutcome::Unusable
        };
        postgres::put_ready(&mut out);
        self.write(&out[..], query.arrived_at).await?;
        Ok(outcome)
    }

    /// Appends the answer to an empty query, which load balancers use as a readiness check.
    fn put_readiness(&self, out: &mut Vec<u8>) {
        if self.serving_state.borrow().reports_ready() {
            postgres::put_empty(out);
        } else {
            let message = "this gateway is being drained";
            postgres::put_error(out, Severity::Error, sqlstate::CANNOT_CONNECT_NOW, message, None);
        }
    }

    fn put_unusable(&self, out: &mut Vec<u8>, error: &UnusableStatement) {
        self.context.counters.bad_statements.add();
        postgres::put_error(out, Severity::Error, error.sqlstate(), &error.to_string(), None);
    }

    /// Applies a SET, RESET or DISCARD statement. Only session tokens have an effect; other settings are
    /// accepted and ignored.
    fn apply_setting(&mut self, setting: &Setting) -> Result<(), UnusableStatement> {
        match setting {
            Setting::SetTokens(text) if self.context.facade.read(|table| table.tracks_sessions()) => {
                self.context.facade.read(|table| table.set_tokens(&mut self.session_tokens, text))?;
            }
            Setting::ResetTokens | Setting::Discard => self.session_tokens.clear(),
            Setting::SetTokens(_) | Setting::Other | Setting::Reset => {}
        }
        Ok(())
    }
}

fn is_empty_query(text: &[u8]) -> bool {
    text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';')
}
