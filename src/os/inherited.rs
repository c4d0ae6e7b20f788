//! The listening socket for clients, if the platform holds it and each process of the gateway inherits it.
//!
//! `$GW_ACCEPT_FD` names its descriptor. Adopting a descriptor is unsafe code, which is left to the library
//! `listenfd`: it reads the variables of systemd's protocol, which are set here.

use std::io;
use std::net::TcpListener;
use thiserror::Error;

/// The first descriptor after the standard streams.
const FIRST_DESCRIPTOR: i32 = 3;

/// Why the inherited socket is unusable.
#[derive(Debug, Error)]
pub enum InheritedSocketError {
    /// The variable holds no number, or that of a standard stream.
    #[error("GW_ACCEPT_FD: {0:?} is not the number of a descriptor")]
    InvalidDescriptor(String),
    /// No descriptor of this number is open.
    #[error("GW_ACCEPT_FD: descriptor {0} is not there")]
    Missing(String),
    /// The descriptor is not a listening socket, or a call on it failed.
    #[error("GW_ACCEPT_FD: {0}")]
    Unusable(#[from] io::Error),
}

/// Adopts the socket that the environment names, if any. To be called once, before other threads are started.
///
/// # Errors
///
/// Fails if the variable names no descriptor, or one that is not a listening socket.
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
