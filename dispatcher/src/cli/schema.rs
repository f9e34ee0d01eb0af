//! `lineroute schema`.

use super::{print_json, Failure};
use crate::config::Operator;

/// Prints the JSON Schema of the operator's file, generated from the types that parse it.
pub fn schema() -> Result<(), Failure> {
    print_json(&schemars::schema_for!(Operator))
}
