//! Applies a reloaded configuration to a running control plane.

use crate::control::config::Config;
use crate::control::control_plane::ControlPlane;
use crate::control::effective_settings::{effective_settings, max_clients};
use crate::control::error::ControlError;
use crate::control::session_tracking::session_class_indices;
use crate::Time;

/// The outcome of a successful reload.
pub struct Reloaded {
    /// The configuration now in effect.
    pub config: Config,
    /// Maximum number of concurrently open requests under this configuration.
    pub max_open_requests: u32,
}

impl<S> ControlPlane<S> {
    /// Replaces the `current` configuration by `new`. Requests that were received
    /// before keep their classes. Keys that require a restart keep their old value and are logged.
    ///
    /// # Errors
    ///
    /// Fails if the new configuration is invalid; the current one then stays in effect unchanged.
    pub fn reload(&self, now: Time, current: &Config, new: Config) -> Result<Reloaded, ControlError> {
        let mut settings = effective_settings(&new)?;
        let session_classes = session_class_indices(&new, &settings.classes)?;
        settings.read_wait_bound = self.read_wait_bound;
        // The descriptor limit is fixed when the process starts.
        settings.max_open_requests = settings.max_open_requests.min(max_clients(current));
        let max_open_requests = settings.max_open_requests;
        let (connect_timeout, idle_timeout) =
            (new.deployment.connect_timeout(), new.deployment.host_idle_timeout());
        self.facade
            .apply_settings(now, settings, &session_classes)
            .map_err(ControlError::SettingsRejected)?;
        self.host_pool.reconfigure(connect_timeout, idle_timeout);
        let ignored_keys = current.keys_needing_restart(&new);
        if !ignored_keys.is_empty() {
            log::warn!("configuration keys need a restart keys={}", ignored_keys.join(","));
        }
        Ok(Reloaded { config: current.with_reloadable_values_of(new), max_open_requests })
    }
}
