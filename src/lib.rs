//! petrelgauge routes reads and writes in a replicated store. Which member of a group gets a request is decided in
//! the crate `petrelgauge-policy`, whose words are found here too. The gateway that serves clients with these
//! decisions is in the modules below, a folder for each concern; between them and the decisions stands the [`facade`],
//! which knows no protocol. Imports between folders run one way; each folder's page names what it may import.

pub mod client;
pub mod control;
pub mod discovery;
pub mod facade;
pub mod fleet;
pub mod handover;
pub mod host;
pub mod os;
pub mod postgres;
pub mod resources;
pub mod settings;
pub mod sql;

pub use petrelgauge_policy::*;
