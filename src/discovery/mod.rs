//! Service discovery: watches the endpoint list and applies each update to the gateway.
//!
//! | module | purpose |
//! | --- | --- |
//! | `watch` | keeps the watch open; requests the complete list after an unusable update |
//! | `list_request` | one HTTP request for endpoint lists and its response |
//! | `http_response`, `list_assembler` | split the response into lines and assemble the lines into lists |
//! | `endpoint_list` | the JSON representation of a list |
//! | `endpoint_table` | applies a list to the [host pool](crate::host::pool) and the decisions |
//! | `host_names` | names and IDs of the hosts |
//!
//! Owns the current revision and the names and IDs of the hosts. `petrelgauge_lifecycle::watch` decides which
//! revision is requested next and when the complete list is needed.
//!
//! May import: `facade`, `host`, `os`, `resources`.

pub mod endpoint_list;
mod endpoint_table;
pub mod host_names;
pub mod http_response;
pub mod list_assembler;
pub mod list_request;
pub mod watch;
