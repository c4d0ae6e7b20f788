//! Parser of the file grammar: turns text into fields and values, each with its byte offset.

use crate::MAX_DEPTH;
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{
    alt, cut_err, delimited, eof, fail, not, opt, peek, preceded, repeat, separated, terminated,
};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_till, take_while};

/// A value and its byte offset in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    pub offset: usize,
    pub value: T,
}

/// The value of a field or list item.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Bool(bool),
    Number(Quantity),
    String(String),
    List(Vec<Located<Value>>),
    Record(Vec<Field>),
}

/// A whole number with its unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Quantity {
    pub count: i64,
    /// Empty for a plain number.
    pub unit: String,
}

/// A named value.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: Located<String>,
    pub value: Located<Value>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Why a text cannot be parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct SyntaxError {
    /// Byte offset of the first unexpected character.
    pub offset: usize,
    /// What was expected there.
    pub reason: String,
}

/// Parses all fields of a file.
///
/// # Errors
///
/// Fails with the offset and the reason if the text is syntactically invalid.
pub fn parse_file(text: &str) -> Result<Vec<Field>, SyntaxError> {
    let all_fields = terminated(|input: &mut Input| fields(input, MAX_DEPTH), skip_blanks);
    let mut file = terminated(all_fields, eof.context(expected("a field")));
    file.parse(LocatingSlice::new(text)).map_err(|error| {
        let expectation = error.inner().context().find_map(|context| match context {
            StrContext::Expected(StrContextValue::Description(what)) => Some(*what),
            _ => None,
        });
        let reason = expectation.map_or("invalid syntax".into(), |what| format!("expected {what}"));
        SyntaxError { offset: error.offset(), reason }
    })
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// Skips white space and comments.
fn skip_blanks(input: &mut Input) -> ModalResult<()> {
    let comment = ("//", take_till(0.., '\n')).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn fields(input: &mut Input, depth: usize) -> ModalResult<Vec<Field>> {
    let one_field = terminated(|input: &mut Input| field(input, depth), (skip_blanks, opt(',')));
    repeat(0.., one_field).parse_next(input)
}

fn field(input: &mut Input, depth: usize) -> ModalResult<Field> {
    let name = preceded(skip_blanks, located(alt((identifier, quoted_string)))).parse_next(input)?;
    cut_err((skip_blanks, ':')).context(expected("a colon")).parse_next(input)?;
    let value = cut_err(preceded(skip_blanks, located(|input: &mut Input| value(input, depth))))
        .context(expected("a value"))
        .parse_next(input)?;
    Ok(Field { name, value })
}

/// Adds the offset at which a parser's input begins to its result.
fn located<'a, T>(
    mut parser: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, Located<T>, ErrMode<ContextError>> {
    move |input: &mut Input<'a>| {
        let offset = input.current_token_start();
        parser.parse_next(input).map(|value| Located { offset, value })
    }
}

fn identifier(input: &mut Input) -> ModalResult<String> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    let rest = take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-');
    (first, rest).map(|(first, rest): (char, &str)| format!("{first}{rest}")).parse_next(input)
}

fn quoted_string(input: &mut Input) -> ModalResult<String> {
    let closing_quote = cut_err('"').context(expected("a closing quotation mark"));
    let content = take_till(0.., |c: char| c == '"' || c == '\\' || c == '\n');
    delimited('"', content, closing_quote).map(str::to_string).parse_next(input)
}

fn value(input: &mut Input, depth: usize) -> ModalResult<Value> {
    if depth == 0 {
        return cut_err(fail).context(expected("a value that is nested less deeply")).parse_next(input);
    }
    alt((
        |input: &mut Input| record(input, depth - 1),
        |input: &mut Input| list(input, depth - 1),
        quoted_string.map(Value::String),
        boolean,
        number,
    ))
    .parse_next(input)
}

fn record(input: &mut Input, depth: usize) -> ModalResult<Value> {
    let closing_brace = (skip_blanks, cut_err('}').context(expected("a closing brace")));
    delimited('{', |input: &mut Input| fields(input, depth), closing_brace)
        .map(Value::Record)
        .parse_next(input)
}

fn list(input: &mut Input, depth: usize) -> ModalResult<Value> {
    let item = preceded(skip_blanks, located(|input: &mut Input| value(input, depth)));
    let items = terminated(separated(0.., item, (skip_blanks, ',')), (skip_blanks, opt(',')));
    let closing_bracket = (skip_blanks, cut_err(']').context(expected("a closing bracket")));
    delimited('[', items, closing_bracket).map(Value::List).parse_next(input)
}

fn boolean(input: &mut Input) -> ModalResult<Value> {
    let literal = alt(("true".value(true), "false".value(false)));
    let longer_word = one_of(|c: char| c.is_ascii_alphanumeric() || c == '_');
    terminated(literal, not(peek(longer_word))).map(Value::Bool).parse_next(input)
}

fn number(input: &mut Input) -> ModalResult<Value> {
    let digits = (opt('-'), digit1).take().try_map(|digits: &str| digits.parse::<i64>());
    let unit = take_while(0..8, |c: char| c.is_ascii_alphabetic());
    let quantity = |(count, unit): (i64, &str)| Value::Number(Quantity { count, unit: unit.to_string() });
    (digits, unit).map(quantity).parse_next(input)
}
