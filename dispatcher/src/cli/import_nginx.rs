//! `lineroute import-nginx`.

use super::{print_json, Failure};
use crate::nginx;

/// Prints the operator's file that nginx blocks amount to.
pub fn import(file: &str) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| Failure::failed(format!("{file}: {e}")))?;
    let operator = nginx::import(&text).map_err(|e| Failure::failed(format!("{file}: {e}")))?;
    print_json(&operator)
}
