//! The closed list of error kinds and their answers.
//!
//! Every refusal or failure that a caller can see is one [`Kind`]. The kind
//! alone determines the HTTP status, the [`Outcome`] and whether the answer
//! contains a retry delay.

mod table;

pub use table::{Answer, Kind, Outcome, Row};
