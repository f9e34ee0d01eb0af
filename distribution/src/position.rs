//! Positions in the log.

use crate::Token;
use serde::{Deserialize, Serialize};

/// One incarnation of the log. Sequence numbers of different epochs are not comparable.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Epoch {
    /// The fencing token of the source lease under which the log is written.
    pub token: Token,
    /// Increases when one lease holder has to restart its log, for example because the sequence numbers are
    /// exhausted.
    pub generation: u32,
}

impl Epoch {
    /// The next epoch under the same lease; `None` after the last one.
    pub fn next_generation(self) -> Option<Epoch> {
        let generation = self.generation.checked_add(1)?;
        Some(Epoch { generation, ..self })
    }
}

/// A position in the log, immediately after a change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The incarnation of the log.
    pub epoch: Epoch,
    /// The number of the last change; zero before the first change.
    pub sequence: u64,
}
