//! Why a statement is none that a database host could use.

use thiserror::Error;

/// Why a statement cannot be read. Its text is the message that the client gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StatementError {
    /// Neither a SELECT nor an INSERT.
    #[error("only SELECT and INSERT are served")]
    OtherVerb,
    /// Its words are others.
    #[error("the statement has another form than the one that is served")]
    OtherForm,
    /// No quoted text stands where one belongs.
    #[error("there is no quoted key")]
    MissingQuote,
    /// A quoted text does not end.
    #[error("a quote is not closed")]
    UnclosedQuote,
    /// A quoted text is longer than the longest value.
    #[error("what is quoted is longer than a value of 64 KiB")]
    QuotedTooLong,
    /// The quoted key is not UTF-8.
    #[error("the quoted key is not UTF-8")]
    KeyNotUtf8,
    /// The value lacks its prefix.
    #[error("the value is not written as \\x and digits")]
    ValueWithoutPrefix,
    /// The value's digits are none, or an odd number of them.
    #[error("the value is not a row of bytes in hexadecimal digits")]
    ValueNotHexadecimal,
    /// No comment stands where it belongs.
    #[error("there is no comment where it belongs")]
    MissingComment,
    /// The comment does not end.
    #[error("the comment is not closed")]
    UnclosedComment,
    /// The comment is not UTF-8.
    #[error("the comment is not UTF-8")]
    CommentNotUtf8,
    /// A field of the comment has no value.
    #[error("the comment holds something without a value")]
    FieldWithoutValue,
    /// A field's value is too long, or holds what is not printable.
    #[error("the comment holds a value that is none")]
    BadValue,
    /// A field's value is no number.
    #[error("the comment holds a number that is none")]
    BadNumber,
    /// A field stands there twice.
    #[error("the comment says something twice")]
    DuplicateField,
    /// A field that every request needs is not there.
    #[error("the comment names no {0}")]
    MissingField(&'static str),
    /// More follows behind the comment.
    #[error("something follows the comment")]
    TrailingText,
}
