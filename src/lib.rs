//! petrelgauge routes reads and writes in a replicated store. Which member of a group gets a request is decided in
//! the crate `petrelgauge-policy`, whose words are found here too. The gateway that serves clients with these
//! decisions is in [`net`]; between them stands the [`facade`], which knows no protocol.

pub mod facade;
pub mod net;
pub mod operator;
pub mod settings;

pub use petrelgauge_policy::*;
