//! Why a statement is rejected without being forwarded to a host.

use thiserror::Error;

/// Why a statement is rejected. The text is sent to the client as the error message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// The statement is neither a SELECT nor an INSERT.
    #[error("only SELECT and INSERT are served")]
    UnsupportedVerb,
    /// The syntax is not supported.
    #[error("the statement has another form than the one that is served")]
    UnsupportedSyntax,
    /// A quoted string is missing.
    #[error("there is no quoted key")]
    MissingQuote,
    /// A quoted string has no closing quote.
    #[error("a quote is not closed")]
    UnclosedQuote,
    /// A quoted string is longer than the longest value.
    #[error("what is quoted is longer than a value of 64 KiB")]
    QuotedTooLong,
    /// The quoted key is not UTF-8.
    #[error("the quoted key is not UTF-8")]
    KeyNotUtf8,
    /// The value lacks its prefix `\x`.
    #[error("the value is not written as \\x and digits")]
    ValueWithoutPrefix,
    /// The value has an odd number of digits, or other characters.
    #[error("the value is not a row of bytes in hexadecimal digits")]
    ValueNotHexadecimal,
    /// The comment is missing.
    #[error("there is no comment where it belongs")]
    MissingComment,
    /// The comment is not closed.
    #[error("the comment is not closed")]
    UnclosedComment,
    /// The comment is not UTF-8.
    #[error("the comment is not UTF-8")]
    CommentNotUtf8,
    /// A field of the comment has no value.
    #[error("the comment holds something without a value")]
    FieldWithoutValue,
    /// A field's value is too long or has characters that are not printable.
    #[error("the comment holds a value that is none")]
    InvalidValue,
    /// A field's value is not a number.
    #[error("the comment holds a number that is none")]
    InvalidNumber,
    /// A field is given twice.
    #[error("the comment says something twice")]
    DuplicateField,
    /// A required field is missing.
    #[error("the comment names no {0}")]
    MissingField(&'static str),
    /// Text follows the comment.
    #[error("something follows the comment")]
    TrailingText,
}
