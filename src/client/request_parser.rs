//! Reads a client's statement as a request: what the statement says is checked against the classes, groups and sessions
//! that are served.

use crate::client::context::{ClientContext, ReservedRequestId};
use crate::facade::{Request, SessionRef};
use crate::postgres::sqlstate;
use crate::sql::statement::{Statement, StatementError};
use crate::{Class, Effect, Need, Time};
use bytes::Bytes;
use petrelgauge_lifecycle::class_table::IdempotencyKey;
use petrelgauge_lifecycle::request_table::ClassLookup;
use petrelgauge_sessions::{SessionKey, SessionTokens, TokenError};
use std::rc::Rc;
use thiserror::Error;

/// Statements and error details carry spans in milliseconds, times here are in microseconds.
pub(super) const MICROSECONDS_PER_MILLISECOND: Time = 1000;
/// How many times the longest wait of its class a request may ask for. Two attempts' time would be generous; no client
/// of the class waits longer than its deadline.
const MAX_WAIT_FACTOR: Time = 2;

/// Why a statement cannot be used. Its text is the message that the client gets.
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
}

impl UnusableStatement {
    /// The error's SQLSTATE.
    pub(super) fn sqlstate(&self) -> &'static str {
        match self {
            UnusableStatement::Malformed(_) | UnusableStatement::ClassMismatch => sqlstate::SYNTAX_ERROR,
            UnusableStatement::Token(_)
            | UnusableStatement::UnknownClass
            | UnusableStatement::MissingIdempotencyKey
            | UnusableStatement::WaitTooLong
            | UnusableStatement::UnknownGroup
            | UnusableStatement::DuplicateId => sqlstate::INVALID_PARAMETER_VALUE,
        }
    }
}

/// A request that can be admitted, with the statement that is sent for it. Its id is reserved for as long as it lives.
pub(super) struct ClientRequest {
    pub(super) request: Request,
    pub(super) statement: Rc<Statement>,
    _id: ReservedRequestId,
}

impl ClientRequest {
    /// The session that it belongs to, if any.
    pub(super) fn session_key(&self) -> Option<SessionKey> {
        self.request.session.as_ref().map(|session| session.key)
    }
}

impl ClientContext {
    /// Reads a statement that came at this time, on a connection that holds these tokens.
    ///
    /// # Errors
    ///
    /// Why the statement cannot be used.
    pub(super) fn parse_request(
        self: &Rc<Self>,
        text: &Bytes,
        at: Time,
        connection_tokens: &SessionTokens,
    ) -> Result<ClientRequest, UnusableStatement> {
        let statement = Statement::parse(text)?;
        let ClassLookup { index: class_index, class } = self
            .facade
            .read(|table| table.find_class(at, &statement.class, statement.idempotency_key))
            .ok_or(UnusableStatement::UnknownClass)?;
        let wait = microseconds(statement.wait_ms);
        self.check(&statement, &class, wait, at)?;
        let session = self.session_of(class_index, &statement, at, connection_tokens)?;
        let id = self.reserve_request_id(&statement.id).ok_or(UnusableStatement::DuplicateId)?;
        let reads_session = class.need == Need::Session;
        let request = Request {
            class: class_index,
            group: statement.group,
            deadline: at.saturating_add(wait),
            is_retry: statement.is_retry,
            arrived_at: at,
            required_position: statement.after_ms.filter(|_| reads_session).map(microseconds),
            session,
        };
        Ok(ClientRequest { request, statement: Rc::new(statement), _id: id })
    }

    /// Checks what a statement asks for against its class and the groups that are served.
    fn check(
        &self,
        statement: &Statement,
        class: &Class,
        wait: Time,
        at: Time,
    ) -> Result<(), UnusableStatement> {
        if statement.is_write != (class.need == Need::Write) {
            return Err(UnusableStatement::ClassMismatch);
        }
        if matches!(class.effect, Effect::Keyed { .. }) && statement.idempotency_key == IdempotencyKey::Absent
        {
            return Err(UnusableStatement::MissingIdempotencyKey);
        }
        if wait
            > self.facade.read(|table| table.longest_wait(at, &class.name)).saturating_mul(MAX_WAIT_FACTOR)
        {
            return Err(UnusableStatement::WaitTooLong);
        }
        if !self.facade.read(|table| table.may_serve_group(statement.group)) {
            return Err(UnusableStatement::UnknownGroup);
        }
        Ok(())
    }

    /// The session of a request, if its class carries sessions, with the tokens that its comment or its connection
    /// brought.
    fn session_of(
        &self,
        class_index: usize,
        statement: &Statement,
        at: Time,
        connection_tokens: &SessionTokens,
    ) -> Result<Option<SessionRef>, TokenError> {
        if !self.facade.read(|table| table.class_has_sessions(class_index)) {
            return Ok(None);
        }
        let name = statement.session.as_ref().unwrap_or(&statement.name);
        let of_statement = statement.session_tokens.iter().flat_map(|text| text.split('+'));
        let tokens: Vec<&str> = of_statement
            .filter(|token| !token.is_empty())
            .chain(connection_tokens.for_group(statement.group))
            .collect();
        self.facade.read(|table| table.session_ref(at, statement.group, name, &tokens))
    }
}

fn microseconds(milliseconds: u64) -> Time {
    (milliseconds as Time).saturating_mul(MICROSECONDS_PER_MILLISECOND)
}
