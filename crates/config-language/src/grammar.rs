//! From text to values, each with the place where it stands.

use crate::MOST_DEPTH;
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{
    alt, cut_err, delimited, fail, not, opt, peek, preceded, repeat, separated, terminated,
};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_till, take_while};

/// A value and the byte at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Place<T> {
    pub at: usize,
    pub value: T,
}

/// What a field holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Truth(bool),
    /// A whole number and its unit, empty where it has none.
    Number(i64, String),
    Text(String),
    List(Vec<Place<Value>>),
    Record(Vec<Field>),
}

/// A named value.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub name: Place<String>,
    pub value: Place<Value>,
}

type Input<'a> = LocatingSlice<&'a str>;

/// All fields of a file; else where it stopped making sense, and why.
pub fn file(text: &str) -> Result<Vec<Field>, (usize, String)> {
    let whole = terminated(|input: &mut Input| fields(input, MOST_DEPTH), blank);
    let mut whole = terminated(whole, winnow::combinator::eof.context(expected("a field")));
    whole.parse(LocatingSlice::new(text)).map_err(|error| {
        let wanted = error.inner().context().find_map(|context| match context {
            StrContext::Expected(StrContextValue::Description(what)) => Some(*what),
            _ => None,
        });
        let cause = wanted.map_or("this is not understood".into(), |what| format!("{what} is expected here"));
        (error.offset(), cause)
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
    let name = preceded(blank, place(alt((word, quoted)))).parse_next(input)?;
    cut_err((blank, ':')).context(expected("a colon")).parse_next(input)?;
    let value = cut_err(preceded(blank, place(|input: &mut Input| value(input, depth))))
        .context(expected("a value"))
        .parse_next(input)?;
    Ok(Field { name, value })
}

fn place<'a, T>(
    mut parser: impl Parser<Input<'a>, T, winnow::error::ErrMode<winnow::error::ContextError>>,
) -> impl Parser<Input<'a>, Place<T>, winnow::error::ErrMode<winnow::error::ContextError>> {
    move |input: &mut Input<'a>| {
        let at = input.current_token_start();
        parser.parse_next(input).map(|value| Place { at, value })
    }
}

fn word(input: &mut Input) -> ModalResult<String> {
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
    let item = preceded(blank, place(|input: &mut Input| value(input, depth - 1)));
    let items = terminated(separated(0.., item, (blank, ',')), (blank, opt(',')));
    let end = (blank, cut_err(']').context(expected("a closing bracket")));
    let list = delimited('[', items, end).map(Value::List);
    let truth = alt(("true".value(true), "false".value(false)));
    let truth = terminated(truth, not(peek(one_of(|c: char| c.is_ascii_alphanumeric() || c == '_'))));
    alt((record, list, quoted.map(Value::Text), truth.map(Value::Truth), number)).parse_next(input)
}

fn number(input: &mut Input) -> ModalResult<Value> {
    let digits = (opt('-'), digit1).take().try_map(|digits: &str| digits.parse::<i64>());
    let unit = take_while(0..8, |c: char| c.is_ascii_alphabetic());
    (digits, unit).map(|(count, unit): (i64, &str)| Value::Number(count, unit.to_string())).parse_next(input)
}
