//! Applies a configuration that was read again to a running control plane.

use crate::control::config::Config;
use crate::control::control_plane::ControlPlane;
use crate::control::effective_settings::{effective_settings, max_clients};
use crate::control::error::ControlError;
use crate::control::session_tracking::session_class_indices;
use crate::Time;

/// The outcome of a successful reload.
pub struct Reloaded {
    /// The configuration now in force.
    pub config: Config,
    /// Maximum number of concurrently open requests under it.
    pub max_open_requests: u32,
}

impl<S> ControlPlane<S> {
    /// Applies `new` to a control plane that runs under `in_force`. Open requests keep the classes that they
    /// were admitted with. Keys that only a restart can change keep their old value and are logged.
    ///
    /// # Errors
    ///
    /// Fails if the new configuration is unusable; nothing has changed then.
    pub fn reload(&self, now: Time, in_force: &Config, new: Config) -> Result<Reloaded, ControlError> {
        let mut settings = effective_settings(&new)?;
        let session_classes = session_class_indices(&new, &settings.classes)?;
        settings.read_wait_bound = self.read_wait_bound;
        // The process keeps the descriptors that it was started with.
        settings.max_open_requests = settings.max_open_requests.min(max_clients(in_force));
        let max_open_requests = settings.max_open_requests;
        let (connect_timeout, idle_timeout) =
            (new.deployment.connect_timeout(), new.deployment.host_idle_timeout());
        self.facade
            .update(|table| table.apply_settings(now, settings, &session_classes))
            .map_err(ControlError::SettingsRejected)?;
        self.host_pool.reconfigure(connect_timeout, idle_timeout);
        let ignored_keys = in_force.keys_needing_restart(&new);
        if !ignored_keys.is_empty() {
            log::warn!("configuration keys need a restart keys={}", ignored_keys.join(","));
        }
        Ok(Reloaded { config: in_force.with_reloadable_part_of(new), max_open_requests })
    }
}
