//! The clients' listening socket, where the platform holds it and every process of the gateway inherits it.
//!
//! `$GW_ACCEPT_FD` names its descriptor. Adopting one takes code that is not safe, which stays in a library: it reads
//! the names of systemd's protocol, which are set here before anything else runs.

use std::net::TcpListener;

/// Descriptors below it are the standard streams.
const FIRST: i32 = 3;

/// Adopts the socket that the environment names, if it names one. To be called once, before there are threads. The
/// cause of a failure is one plain sentence.
pub fn listener(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, String> {
    let Some(text) = var("GW_ACCEPT_FD") else { return Ok(None) };
    let number = text.parse().ok().filter(|number: &i32| *number >= FIRST);
    number.ok_or(format!("GW_ACCEPT_FD: {text:?} is not the number of a descriptor"))?;
    let names = [
        ("LISTEN_PID", std::process::id().to_string()),
        ("LISTEN_FDS", "1".to_string()),
        ("LISTEN_FDS_FIRST_FD", text.clone()),
    ];
    names.into_iter().for_each(|(name, value)| std::env::set_var(name, value));
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let listener = taken.map_err(|cause| format!("GW_ACCEPT_FD: {cause}"))?;
    let listener = listener.ok_or(format!("GW_ACCEPT_FD: descriptor {text} is not there"))?;
    listener.set_nonblocking(true).map_err(|cause| format!("GW_ACCEPT_FD: {cause}"))?;
    Ok(Some(listener))
}
