//! Where the gateway's program is.

/// The gateway's program, and a folder for the files of its processes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayProgram {
    /// Path of the program.
    pub path: &'static str,
    /// A folder that tests may write to.
    pub folder: &'static str,
}

/// The [`GatewayProgram`] of the package whose tests call this.
///
/// A macro, because cargo names program and folder only while it builds the tests of the program's own package.
#[macro_export]
macro_rules! gateway_program {
    () => {
        $crate::GatewayProgram {
            path: env!("CARGO_BIN_EXE_petrelgauge"),
            folder: env!("CARGO_TARGET_TMPDIR"),
        }
    };
}
