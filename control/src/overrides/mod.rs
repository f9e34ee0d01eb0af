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
pub use log::{log_line, unhex, LogReader};
pub use record::{Effect, Name, Record, Scope, Slot, Weight, LONGEST_NAME};
pub use table::{
    record_fingerprint, Faulty, Forces, Line, Merged, Order, Pin, Standing, Table, FUTURE, HARD_LONGEST,
    KEPT, MAX_SLOTS,
};
