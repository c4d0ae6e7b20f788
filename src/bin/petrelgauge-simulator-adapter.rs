//! Adapter for the simulator: reads batches of events as JSON lines and replies to each with a line of
//! actions. One process runs the routers of many gateway instances. The adapter only translates; the library
//! makes all decisions.
#![forbid(unsafe_code)]

#[path = "petrelgauge-simulator-adapter/adapter.rs"]
mod adapter;
#[path = "petrelgauge-simulator-adapter/error.rs"]
mod error;
#[path = "petrelgauge-simulator-adapter/instance.rs"]
mod instance;
#[path = "petrelgauge-simulator-adapter/sessions.rs"]
mod sessions;
#[path = "petrelgauge-simulator-adapter/wire.rs"]
mod wire;

use adapter::Adapter;
use error::AdapterError;
use std::io::{BufRead, Write};

/// Exit code if a reply cannot be written, usually because the simulator has ended.
const OUTPUT_CLOSED: i32 = 1;
/// Exit code if a line cannot be read or is invalid.
const INVALID_INPUT: i32 = 2;

fn main() {
    let stdin = std::io::stdin();
    let mut input = stdin.lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let reply = match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(_) => adapter.handle_batch(&line),
            Err(cause) => Err(AdapterError::Input(cause)),
        };
        let sent = match reply {
            Ok(reply) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Err(cause) => {
                eprintln!("petrelgauge-simulator-adapter: line {number}: {cause}");
                std::process::exit(INVALID_INPUT);
            }
        };
        if sent.is_err() {
            std::process::exit(OUTPUT_CLOSED);
        }
    }
}
