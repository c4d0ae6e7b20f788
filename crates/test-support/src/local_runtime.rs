//! The single-threaded async runtime of the experiments.

use std::future::Future;

/// Runs a future to completion on a new current-thread runtime that supports local tasks.
///
/// # Errors
///
/// Fails if the runtime cannot be built, and returns the error of the future if it fails.
pub fn block_on<T, E>(future: impl Future<Output = Result<T, E>>) -> Result<T, E>
where
    E: From<std::io::Error>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
