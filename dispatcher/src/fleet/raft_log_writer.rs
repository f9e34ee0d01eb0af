//! The Raft log writer: a thread that persists changes of the Raft state, so that a stalled disk does not delay the
//! clients of this process. It blocks while there is nothing to write, and runs only where this process is a voter.

use super::raft_state::DurableRaftState;
use crate::stops;
use lineroute_fleet::log::{LogChange, LogStore, WriteStatus};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender, TryRecvError};
use std::thread;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tracing::warn;

/// Maximum number of changes queued for the disk. A leader sends a voter at most the engine's window before it waits for an
/// answer, so only a voter whose disk has failed reaches this limit.
const MAX_QUEUED_CHANGES: usize = 4096;
const WRITER_ENDED: &str = "the Raft log writer has ended";

/// The number of a change and whether it was persisted.
pub type Persisted = (u64, Result<(), String>);

/// A request to the writer's thread.
enum WriteCommand {
    Append(u64, LogChange),
    Compact(LogChange),
    Replace(LogChange, Sender<Result<(), String>>),
}

/// Sends changes to the writer's thread.
pub struct RaftLogWriter {
    commands: SyncSender<WriteCommand>,
}

impl RaftLogWriter {
    /// Starts the thread. The receiver reports the results of the appended changes in their order.
    ///
    /// # Errors
    /// The thread can't be created.
    pub fn start(state: DurableRaftState) -> Result<(RaftLogWriter, UnboundedReceiver<Persisted>), String> {
        let (commands, queue) = sync_channel(MAX_QUEUED_CHANGES);
        let (results, persisted) = unbounded_channel();
        let thread = thread::Builder::new().name("fleet-votes".into());
        thread
            .spawn(move || write(state, &queue, &results))
            .map_err(|e| format!("fleet: can't create a thread: {e}"))?;
        Ok((RaftLogWriter { commands }, persisted))
    }
}

/// Persists changes until all senders are gone; those that arrive together share one sync.
fn write(mut state: DurableRaftState, queue: &Receiver<WriteCommand>, results: &UnboundedSender<Persisted>) {
    let mut next = queue.recv().ok();
    while let Some(command) = next.take() {
        match command {
            WriteCommand::Append(number, change) => {
                let (mut last, mut changes) = (number, vec![change]);
                loop {
                    match queue.try_recv() {
                        Ok(WriteCommand::Append(number, change)) => {
                            last = number;
                            changes.push(change);
                        }
                        Ok(other) => {
                            next = Some(other);
                            break;
                        }
                        Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
                    }
                }
                stops::at("votes.keep");
                let _ = results.send((last, state.append(&changes)));
            }
            WriteCommand::Compact(change) => {
                if let Err(e) = state.replace(&change) {
                    warn!(error = e, "fleet: the Raft state could not be compacted and remains as it is");
                }
            }
            WriteCommand::Replace(change, done) => {
                let _ = done.send(state.replace(&change));
            }
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

impl LogStore for RaftLogWriter {
    fn append(&mut self, number: u64, change: &LogChange) -> Result<WriteStatus, String> {
        let queued = self.commands.try_send(WriteCommand::Append(number, change.clone()));
        queued.map(|()| WriteStatus::Pending).map_err(|e| format!("the disk does not keep up: {e}"))
    }

    fn replace(&mut self, change: &LogChange) -> Result<(), String> {
        let (done, result) = channel();
        self.commands.send(WriteCommand::Replace(change.clone(), done)).map_err(|_| WRITER_ENDED)?;
        result.recv().map_err(|_| WRITER_ENDED)?
    }

    fn compact(&mut self, change: &LogChange) {
        // If the queue is full, the compaction is requested again when the log has grown further.
        let _ = self.commands.try_send(WriteCommand::Compact(change.clone()));
    }
}
