//! `lineroute import-nginx`.

use super::{print_json, Failure};
use crate::nginx;

/// Converts nginx blocks to an operator's file and prints it.
pub fn import(file: &str) -> Result<(), Failure> {
    let text = std::fs::read_to_string(file).map_err(|e| Failure::failed(format!("{file}: {e}")))?;
    let operator = nginx::import(&text).map_err(|e| Failure::failed(format!("{file}: {e}")))?;
    print_json(&operator)
}
