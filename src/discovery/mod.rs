//! Service discovery: the watch of the endpoint list, its HTTP and JSON forms, and the names and numbers of hosts.
//!
//! Owns the list in force and the table of host names; hands changes to the [facade](crate::facade) and the
//! [host pool](crate::host::pool). May import: `facade`, `host`, `resources`, `os`.

pub mod endpoint_list;
pub mod host_names;
pub mod http_response;
pub mod list_assembler;
pub mod list_request;
pub mod watch;
