//! Errors in a deployment's settings.

use thiserror::Error;

/// Why a deployment's settings are invalid. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeploymentError {
    /// A class has no read level, or an unknown one.
    #[error("read_level: class {class:?} has unknown level {level:?}")]
    UnknownReadLevel {
        /// The class.
        class: String,
        /// The value in the settings, if any.
        level: Option<String>,
    },
    /// The value of `idempotency` is unknown.
    #[error("idempotency: class {class:?} has unknown effect {effect:?}")]
    UnknownEffect {
        /// The class.
        class: String,
        /// The value in the settings.
        effect: String,
    },
    /// The scope of a class's idempotency keys is unknown.
    #[error("group: class {class:?} has unknown scope {scope:?}")]
    UnknownScope {
        /// The class.
        class: String,
        /// The value in the settings.
        scope: String,
    },
    /// A class with idempotency keys lacks the window for which hosts remember them.
    #[error("class {class:?} is keyed but has no window_us")]
    MissingWindow {
        /// The class.
        class: String,
    },
    /// The value of `when_behind` is unknown.
    #[error("when_behind: unknown value {0:?}")]
    UnknownWhenBehind(String),
}
