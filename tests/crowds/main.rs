//! Crowds of clients at one gateway process, at the limits of the deployment pages.
//!
//! | file | subject |
//! | --- | --- |
//! | `stage.rs` | a gateway, its host, the usual clients beside a crowd, and what is recorded of them |
//! | `memory_limit.rs` | the private memory of the process |
//! | `left_clients.rs` | requests of clients that have left, and ids that come again |
//! | `other_clients.rs` | what the other clients get |

mod left_clients;
mod memory_limit;
mod other_clients;
mod stage;
