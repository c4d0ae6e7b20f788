//! The adapter to the simulator: JSON lines in, JSON lines out, many routers in one process.
//! It only translates; every decision is the library's.
#![forbid(unsafe_code)]

#[path = "petrelgauge-simulator-adapter/wire.rs"]
mod wire;

use std::io::{BufRead, Write};

fn main() {
    let stdin = std::io::stdin();
    let mut input = stdin.lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut adapter = wire::Adapter::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let reply = match input.read_until(b'\n', &mut line) {
            Ok(0) => return,
            Ok(_) if line.iter().all(u8::is_ascii_whitespace) => continue,
            Ok(_) => adapter.batch(&line),
            Err(cause) => Err(format!("cannot read standard input: {cause}")),
        };
        let sent = match reply {
            Ok(reply) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Err(cause) => {
                eprintln!("petrelgauge-simulator-adapter: line {number}: {cause}");
                std::process::exit(2);
            }
        };
        if sent.is_err() {
            std::process::exit(1);
        }
    }
}
