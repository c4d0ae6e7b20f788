//! The single-threaded runtime that every experiment runs on.

use std::future::Future;

/// Runs a future to its end on a new current-thread runtime with local tasks.
///
/// # Errors
///
/// Fails if the runtime cannot be built, or with the error of the future.
pub fn block_on<T, E>(future: impl Future<Output = Result<T, E>>) -> Result<T, E>
where
    E: From<std::io::Error>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
