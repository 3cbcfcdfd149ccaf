//! The closed list of error kinds, and the table from kind to answer.
//!
//! Every refusal or failure that a caller can see is one [`Kind`]. The kind
//! alone decides the HTTP status, the [`Outcome`] and whether a time to come
//! back is given, so no other code may decide these.

mod table;

pub use table::{Answer, Kind, Outcome, Row};
