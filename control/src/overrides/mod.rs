//! Overrides: settings that an operator applies to workers, beside the worker list, for a limited time.
//!
//! [`Table`] holds the overrides, merges those of other dispatchers, and determines which are in force. A
//! [`Record`] is one override, or the clearing of one, and has an encoding of bounded size.

mod clock;
mod codec;
mod log;
mod record;
mod table;

pub use clock::{Clock, Stamp};
pub use codec::{decode, encode, Malformed, MAX_RECORD};
pub use log::{decode_hex, log_line, LogReader};
pub use record::{Effect, Name, Record, Scope, Slot, Weight, MAX_NAME_LEN};
pub use table::{
    record_fingerprint, ActiveOverrides, InvalidRequest, Merged, OverrideEntry, OverrideRequest, Pin,
    Standing, Table, MAX_FUTURE_SKEW, MAX_OVERRIDE_DURATION, MAX_SLOTS, RETENTION,
};
