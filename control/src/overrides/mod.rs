//! Overrides: what an operator sets beside the list of workers, for a stated time.
//!
//! [`Table`] holds them, merges what other dispatchers hold, and says what is in force. [`Record`] is one
//! of them (or the clearing of one), with its bounded form on the wire.

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
