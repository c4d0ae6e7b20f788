//! Tracks under which settings the messages of one client are received.

use crate::facade::{Facade, SettingsHold};
use petrelgauge_lifecycle::class_table::ClassSetVersion;
use petrelgauge_lifecycle::received_settings::ReceivedSettings;
use tokio::sync::watch;

/// The settings of one client's messages. Holds those in force, and earlier ones while bytes that were
/// received under them are not parsed.
pub(super) struct SettingsTracker {
    facade: Facade,
    changes: watch::Receiver<ClassSetVersion>,
    received: ReceivedSettings<SettingsHold>,
}

impl SettingsTracker {
    pub(super) fn new(facade: &Facade) -> SettingsTracker {
        SettingsTracker {
            facade: facade.clone(),
            changes: facade.watch_settings(),
            received: ReceivedSettings::new(facade.hold_settings()),
        }
    }

    /// Waits until the settings have changed, and has then to be told by
    /// [`on_changed`](SettingsTracker::on_changed) what had been received by then. Cancel safe.
    pub(super) async fn changed(&mut self) {
        if self.changes.changed().await.is_err() {
            // The sender belongs to the facade, which outlives its clients.
            std::future::pending().await
        }
    }

    /// Records that `unparsed` bytes were read and not parsed, and `unread` bytes were not read, when the
    /// settings changed.
    pub(super) fn on_changed(&mut self, unparsed: usize, unread: usize) {
        self.received.on_change(unparsed, unread, self.facade.hold_settings());
    }

    /// Records that this number of bytes was read.
    pub(super) fn on_read(&mut self, count: usize) {
        self.received.on_read(count);
    }

    /// The settings under which the message that was parsed last was received. `unparsed` is the number of
    /// bytes that were read behind it.
    pub(super) fn of_message(&mut self, unparsed: usize) -> SettingsHold {
        self.received.of_message(unparsed)
    }
}
