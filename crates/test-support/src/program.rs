//! The location of the gateway's program.

/// Paths of the gateway's program and of a folder for the files of its processes.
#[derive(Clone, Copy, Debug)]
pub struct GatewayProgram {
    /// Path of the program.
    pub path: &'static str,
    /// Path of a folder that tests can write to.
    pub folder: &'static str,
}

/// The [`GatewayProgram`] of the calling package.
///
/// This is a macro because cargo sets the two environment variables only while it builds the tests of the
/// program's own package.
#[macro_export]
macro_rules! gateway_program {
    () => {
        $crate::GatewayProgram {
            path: env!("CARGO_BIN_EXE_petrelgauge"),
            folder: env!("CARGO_TARGET_TMPDIR"),
        }
    };
}
