//! The SQL statements that clients of the laboratory send.
//!
//! Each statement concerns one numbered row and ends with the comment that tells the gateway about the request.

/// Number of the first group of database hosts.
pub const FIRST_GROUP: u64 = 2;
/// Groups that rows are spread over.
const GROUPS_OF_ROWS: u64 = 2;

/// The group that holds a row.
pub fn group_of_row(row: u64) -> u64 {
    FIRST_GROUP + row % GROUPS_OF_ROWS
}

/// A read of a row.
pub fn select_row(row: u64, comment: &str) -> String {
    format!("SELECT content FROM kv WHERE name = 'r{row}' /* {comment} */")
}

/// A write of a row that returns its new version.
pub fn insert_row(row: u64, comment: &str) -> String {
    format!("INSERT INTO kv (name, content) VALUES ('r{row}', '\\x00') RETURNING content /* {comment} */")
}
