//! The grammar: from text to fields and values, each with the byte offset at which it stands.

use crate::MAX_DEPTH;
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{
    alt, cut_err, delimited, fail, not, opt, peek, preceded, repeat, separated, terminated,
};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_till, take_while};

/// A value and the byte offset at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    pub offset: usize,
    pub value: T,
}

/// What a field holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Bool(bool),
    /// A whole number and its unit, empty where it has none.
    Number(i64, String),
    String(String),
    List(Vec<Located<Value>>),
    Record(Vec<Field>),
}

/// A named value.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: Located<String>,
    pub value: Located<Value>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// Text that the grammar does not cover.
#[derive(Clone, Debug, PartialEq)]
pub struct SyntaxError {
    /// Byte offset at which it stops being understood.
    pub offset: usize,
    /// What would have to stand there.
    pub reason: String,
}

/// Parses all fields of a file.
pub fn file(text: &str) -> Result<Vec<Field>, SyntaxError> {
    let all_fields = terminated(|input: &mut Input| fields(input, MAX_DEPTH), blank);
    let mut file = terminated(all_fields, winnow::combinator::eof.context(expected("a field")));
    file.parse(LocatingSlice::new(text)).map_err(|error| {
        let wanted = error.inner().context().find_map(|context| match context {
            StrContext::Expected(StrContextValue::Description(what)) => Some(*what),
            _ => None,
        });
        let reason =
            wanted.map_or("this is not understood".into(), |what| format!("{what} is expected here"));
        SyntaxError { offset: error.offset(), reason }
    })
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn blank(input: &mut Input) -> ModalResult<()> {
    let comment = ("//", take_till(0.., '\n')).void();
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn fields(input: &mut Input, depth: usize) -> ModalResult<Vec<Field>> {
    let one = terminated(|input: &mut Input| field(input, depth), (blank, opt(',')));
    repeat(0.., one).parse_next(input)
}

fn field(input: &mut Input, depth: usize) -> ModalResult<Field> {
    let name = preceded(blank, located(alt((plain_name, quoted)))).parse_next(input)?;
    cut_err((blank, ':')).context(expected("a colon")).parse_next(input)?;
    let value = cut_err(preceded(blank, located(|input: &mut Input| value(input, depth))))
        .context(expected("a value"))
        .parse_next(input)?;
    Ok(Field { name, value })
}

fn located<'a, T>(
    mut parser: impl Parser<Input<'a>, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<Input<'a>, Located<T>, winnow::error::ErrMode<winnow::error::ContextError>> {
    move |input: &mut Input<'a>| {
        let offset = input.current_token_start();
        parser.parse_next(input).map(|value| Located { offset, value })
    }
}

fn plain_name(input: &mut Input) -> ModalResult<String> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    let rest = take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-');
    (first, rest).map(|(first, rest): (char, &str)| format!("{first}{rest}")).parse_next(input)
}

fn quoted(input: &mut Input) -> ModalResult<String> {
    let end = cut_err('"').context(expected("the end of a text"));
    let inside = take_till(0.., |c: char| c == '"' || c == '\\' || c == '\n');
    delimited('"', inside, end).map(str::to_string).parse_next(input)
}

fn value(input: &mut Input, depth: usize) -> ModalResult<Value> {
    if depth == 0 {
        return cut_err(fail).context(expected("no further record inside this one")).parse_next(input);
    }
    let end = (blank, cut_err('}').context(expected("a closing brace")));
    let record = delimited('{', |input: &mut Input| fields(input, depth - 1), end).map(Value::Record);
    let item = preceded(blank, located(|input: &mut Input| value(input, depth - 1)));
    let items = terminated(separated(0.., item, (blank, ',')), (blank, opt(',')));
    let end = (blank, cut_err(']').context(expected("a closing bracket")));
    let list = delimited('[', items, end).map(Value::List);
    let truth = alt(("true".value(true), "false".value(false)));
    let truth = terminated(truth, not(peek(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_'))));
    alt((record, list, quoted.map(Value::String), truth.map(Value::Bool), number)).parse_next(input)
}

fn number(input: &mut Input) -> ModalResult<Value> {
    let digits = (opt('-'), digit1).take().try_map(|digits: &str| digits.parse::<i64>());
    let unit = take_while(0..8, |c: char| c.is_ascii_alphabetic());
    (digits, unit).map(|(count, unit): (i64, &str)| Value::Number(count, unit.to_string())).parse_next(input)
}
