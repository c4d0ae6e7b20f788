//! Parses a query as a request for the database hosts and validates it against the configured classes, groups
//! and sessions.

use crate::client::client_event::Query;
use crate::client::context::ClientContext;
use crate::facade::{Request, SessionRef};
use crate::host::forwarded_statement::ForwardedStatement;
use crate::postgres::sqlstate;
use crate::sql::statement::{Statement, StatementError};
use crate::{Class, Effect, Need, Time};
use petrelgauge_lifecycle::class_table::{ClassSetVersion, IdempotencyKey};
use petrelgauge_lifecycle::request_ids::{IdConflict, Repetition};
use petrelgauge_lifecycle::request_table::ClassLookup;
use petrelgauge_sessions::{SessionKey, SessionTokens, TokenError};
use std::rc::Rc;
use thiserror::Error;

/// Statements and error details carry durations in milliseconds; clock times are in microseconds.
pub(super) const MICROSECONDS_PER_MILLISECOND: Time = 1000;
/// Maximum wait of a request, as a multiple of the longest deadline of its class.
const MAX_WAIT_FACTOR: Time = 2;

/// Why a statement is unusable. The text is the message that is sent to the client.
#[derive(Debug, Error)]
pub(super) enum UnusableStatement {
    #[error(transparent)]
    Malformed(#[from] StatementError),
    #[error(transparent)]
    Token(#[from] TokenError),
    #[error("no such class")]
    UnknownClass,
    #[error("the statement does not fit its class")]
    ClassMismatch,
    #[error("its class asks for a key, and the comment names no k")]
    MissingIdempotencyKey,
    #[error("its class gives no request so long a time")]
    WaitTooLong,
    #[error("no such cluster")]
    UnknownGroup,
    #[error("another open request has this id")]
    DuplicateId,
    #[error("a request with this id may have run")]
    UsedId,
}

impl From<IdConflict> for UnusableStatement {
    fn from(conflict: IdConflict) -> UnusableStatement {
        match conflict {
            IdConflict::Open => UnusableStatement::DuplicateId,
            IdConflict::Used => UnusableStatement::UsedId,
        }
    }
}

impl UnusableStatement {
    /// The SQLSTATE that is sent to the client.
    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            UnusableStatement::Malformed(_) | UnusableStatement::ClassMismatch => sqlstate::SYNTAX_ERROR,
            UnusableStatement::Token(_)
            | UnusableStatement::UnknownClass
            | UnusableStatement::MissingIdempotencyKey
            | UnusableStatement::WaitTooLong
            | UnusableStatement::UnknownGroup
            | UnusableStatement::DuplicateId
            | UnusableStatement::UsedId => sqlstate::INVALID_PARAMETER_VALUE,
        }
    }
}

/// A request that can be admitted, with the statement that is sent to a host.
pub(super) struct ClientRequest {
    pub(super) request: Request,
    pub(super) statement: Rc<ForwardedStatement>,
    /// The settings under which it was received.
    pub(super) received_under: ClassSetVersion,
}

impl ClientRequest {
    /// The session that the request belongs to, if any.
    pub(super) fn session_key(&self) -> Option<SessionKey> {
        self.request.session.as_ref().map(|session| session.key)
    }
}

impl ClientContext {
    /// Parses a query of a connection with these session tokens.
    ///
    /// # Errors
    ///
    /// Returns why the statement is unusable.
    pub(super) fn parse_request(
        self: &Rc<Self>,
        query: &Query,
        connection_tokens: &SessionTokens,
    ) -> Result<ClientRequest, UnusableStatement> {
        let (arrived_at, received_under) = (query.arrived_at, query.settings.version());
        let statement = Statement::parse(&query.text)?;
        let ClassLookup { index: class_index, class } = self
            .facade
            .read(|table| {
                table.find_class(received_under, arrived_at, &statement.class, statement.idempotency_key)
            })
            .ok_or(UnusableStatement::UnknownClass)?;
        let wait = microseconds(statement.wait_ms);
        self.check(&statement, &class, wait, query)?;
        let session = self.session_ref(class_index, &statement, arrived_at, connection_tokens)?;
        let repetition =
            if class.effect == Effect::Safe { Repetition::Harmless } else { Repetition::Forbidden };
        let id = self.request_ids.reserve(self.clock.now(), &statement.id, repetition)?;
        let reads_session = class.need == Need::Session;
        let request = Request {
            class: class_index,
            group: statement.group,
            deadline: arrived_at.saturating_add(wait),
            is_retry: statement.is_retry,
            arrived_at,
            required_position: statement.after_ms.filter(|_| reads_session).map(microseconds),
            session,
        };
        let statement = ForwardedStatement::new(statement, id, self.budget.reserve_client_memory());
        Ok(ClientRequest { request, statement: Rc::new(statement), received_under })
    }

    /// Validates a statement against its class and the groups that are served.
    fn check(
        &self,
        statement: &Statement,
        class: &Class,
        wait: Time,
        query: &Query,
    ) -> Result<(), UnusableStatement> {
        if statement.is_write != (class.need == Need::Write) {
            return Err(UnusableStatement::ClassMismatch);
        }
        if matches!(class.effect, Effect::Keyed { .. }) && statement.idempotency_key == IdempotencyKey::Absent
        {
            return Err(UnusableStatement::MissingIdempotencyKey);
        }
        let longest_deadline = self.facade.read(|table| {
            table.longest_class_deadline(query.settings.version(), query.arrived_at, &class.name)
        });
        if wait > longest_deadline.saturating_mul(MAX_WAIT_FACTOR) {
            return Err(UnusableStatement::WaitTooLong);
        }
        if !self.facade.read(|table| table.may_serve_group(statement.group)) {
            return Err(UnusableStatement::UnknownGroup);
        }
        Ok(())
    }

    /// The session of a request, if its class has sessions, with the tokens from the statement's comment and
    /// from the connection.
    fn session_ref(
        &self,
        class_index: usize,
        statement: &Statement,
        now: Time,
        connection_tokens: &SessionTokens,
    ) -> Result<Option<SessionRef>, TokenError> {
        if !self.facade.read(|table| table.class_has_sessions(class_index)) {
            return Ok(None);
        }
        let name = statement.session.as_ref().unwrap_or(&statement.name);
        let statement_tokens = statement.session_tokens.iter().flat_map(|text| text.split('+'));
        let tokens: Vec<&str> = statement_tokens
            .filter(|token| !token.is_empty())
            .chain(connection_tokens.for_group(statement.group))
            .collect();
        self.facade.read(|table| table.session_ref(now, statement.group, name, &tokens))
    }
}

fn microseconds(milliseconds: u64) -> Time {
    (milliseconds as Time).saturating_mul(MICROSECONDS_PER_MILLISECOND)
}
