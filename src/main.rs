//! The gateway program. README.md describes its purpose, docs/ARCHITECTURE.md its design.
#![forbid(unsafe_code)]

mod process;

use petrelgauge::control::config::Config;
use petrelgauge::os::inherited;
use petrelgauge::os::signals::Signals;
use process::error::GatewayError;
use std::process::ExitCode;

/// Exit code of a gateway that cannot start or has ended because of an error.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("petrelgauge: {cause}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn run() -> Result<(), GatewayError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(GatewayError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Before anything else: a signal without a handler terminates the process.
        let signals = Signals::listen()?;
        let variable = |name: &str| std::env::var(name).ok();
        let config = Config::read(variable)?;
        let inherited = inherited::listener(variable)?;
        process::startup::start(config, inherited, signals).await?.run().await
    })
}
