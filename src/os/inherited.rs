//! The listening socket for clients, where the platform keeps it open and each gateway process inherits it.
//!
//! `$GW_ACCEPT_FD` holds the number of its descriptor. Adopting a descriptor requires unsafe code, which is
//! left to the library `listenfd`. That reads the variables of systemd's socket activation, which are set
//! here.

use std::io;
use std::net::TcpListener;
use thiserror::Error;

/// The first descriptor after the standard streams.
const FIRST_DESCRIPTOR: i32 = 3;

/// Why the inherited socket cannot be used.
#[derive(Debug, Error)]
pub enum InheritedSocketError {
    /// The variable is not a number, or is that of a standard stream.
    #[error("GW_ACCEPT_FD: {0:?} is not the number of a descriptor")]
    InvalidDescriptor(String),
    /// No descriptor with this number is open.
    #[error("GW_ACCEPT_FD: descriptor {0} is not open")]
    Missing(String),
    /// The descriptor is not a listening socket, or a call on it failed.
    #[error("GW_ACCEPT_FD: {0}")]
    Unusable(#[from] io::Error),
}

/// Adopts the socket that the environment specifies, if any. It sets environment variables, so it must be
/// called once, before other threads are started.
///
/// # Errors
///
/// Fails if the variable is not an open descriptor's number, or the descriptor is not a listening socket.
pub fn listener(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, InheritedSocketError> {
    let Some(text) = var("GW_ACCEPT_FD") else { return Ok(None) };
    let number = text.parse().ok().filter(|number: &i32| *number >= FIRST_DESCRIPTOR);
    number.ok_or_else(|| InheritedSocketError::InvalidDescriptor(text.clone()))?;
    let names = [
        ("LISTEN_PID", std::process::id().to_string()),
        ("LISTEN_FDS", "1".to_string()),
        ("LISTEN_FDS_FIRST_FD", text.clone()),
    ];
    names.into_iter().for_each(|(name, value)| std::env::set_var(name, value));
    let listener = listenfd::ListenFd::from_env().take_tcp_listener(0)?;
    let listener = listener.ok_or(InheritedSocketError::Missing(text))?;
    listener.set_nonblocking(true)?;
    Ok(Some(listener))
}
