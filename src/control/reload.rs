//! Follows a configuration that was read again.

use crate::control::config::Config;
use crate::control::effective_settings::settings;
use crate::control::error::ControlError;
use crate::control::session_tracking::carrying;
use crate::facade::Facade;
use crate::host::pool::Hosts;
use crate::Time;

/// The configuration was read again: its settings hold from now on, or nothing has changed. Gives what is in force, and
/// how many requests clients can hold open by it.
///
/// # Errors
///
/// Fails if the new configuration or its settings cannot be used. The old ones stay in force then.
pub fn reload(
    new: Config,
    old: &Config,
    read_wait_bound: Time,
    now: Time,
    facade: &Facade,
    hosts: &Hosts,
) -> Result<(Config, u32), ControlError> {
    let mut settings = settings(&new)?;
    let carrying = carrying(&new, &settings.classes)?;
    (settings.read_wait_bound, settings.max_open_requests) =
        (read_wait_bound, settings.max_open_requests.min(old.sockets as u32 / 3));
    let open = settings.max_open_requests;
    let (connect, idle) = (new.info.connect_span(), new.info.idle_span());
    facade.apply_settings(now, settings, &carrying).map_err(ControlError::SettingsRejected)?;
    hosts.reconfigure(connect, idle);
    let unmoved = old.unmoved(&new);
    if !unmoved.is_empty() {
        log::warn!("configuration keys need a restart keys={}", unmoved.join(","));
    }
    // What only a start can follow stays as it was, to be named again by the next file.
    Ok((old.with(new), open))
}
