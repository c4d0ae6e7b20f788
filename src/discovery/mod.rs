//! Service discovery: keeps a watch of the endpoint list open and applies each list to the gateway.
//!
//! | file | job |
//! | --- | --- |
//! | `watch` | keeps the watch open; requests the complete list after a lost update |
//! | `list_request` | one HTTP request for endpoint lists and its response |
//! | `http_response`, `list_assembler` | cut the response into lines and the lines into lists |
//! | `endpoint_list` | the JSON form of a list |
//! | `endpoint_table` | applies a list to the [host pool](crate::host::pool) and the decisions |
//! | `host_names` | names and numbers of the hosts |
//!
//! Owns the revision in force, the numbers of the hosts and the table of their names. Which revision is
//! requested next, and when the complete list is needed, is decided in `petrelgauge_lifecycle::watch`.
//!
//! May import: `facade`, `host`, `os`, `resources`.

pub mod endpoint_list;
mod endpoint_table;
pub mod host_names;
pub mod http_response;
pub mod list_assembler;
pub mod list_request;
pub mod watch;
