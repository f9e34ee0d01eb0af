//! The Raft log writer: a thread that persists changes of the Raft state, so that a disk that stalls does not hold up
//! the clients of this process. It sleeps while there is nothing to write, and runs only where this process votes.

use super::raft_state::DurableRaftState;
use crate::stops;
use lineroute_fleet::log::{LogChange, LogStore, WriteStatus};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender, SyncSender, TryRecvError};
use std::thread;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tracing::warn;

/// Changes that may wait for the disk. A leader sends no voter more than the engine's window before it has answered,
/// so this is reached only by a voter whose disk has failed.
const MAX_QUEUED_CHANGES: usize = 4096;
const GONE: &str = "the Raft log writer has ended";

/// The number of a change and whether it is persisted.
pub type Persisted = (u64, Result<(), String>);

/// What the thread is asked to write.
enum WriteCommand {
    Keep(u64, LogChange),
    Compact(LogChange),
    Replace(LogChange, Sender<Result<(), String>>),
}

/// Hands changes to the writer's thread.
pub struct RaftLogWriter {
    commands: SyncSender<WriteCommand>,
}

impl RaftLogWriter {
    /// Starts the thread. The receiver tells which changes were kept, in their order.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(state: DurableRaftState) -> Result<(RaftLogWriter, UnboundedReceiver<Persisted>), String> {
        let (commands, todo) = sync_channel(MAX_QUEUED_CHANGES);
        let (kept, told) = unbounded_channel();
        let thread = thread::Builder::new().name("fleet-votes".into());
        thread.spawn(move || write(state, &todo, &kept)).map_err(|e| format!("fleet: no thread: {e}"))?;
        Ok((RaftLogWriter { commands }, told))
    }
}

/// Persists changes until all senders are gone; those that arrive together share one sync.
fn write(mut state: DurableRaftState, todo: &Receiver<WriteCommand>, kept: &UnboundedSender<Persisted>) {
    let mut next = todo.recv().ok();
    while let Some(command) = next.take() {
        match command {
            WriteCommand::Keep(number, change) => {
                let (mut last, mut changes) = (number, vec![change]);
                loop {
                    match todo.try_recv() {
                        Ok(WriteCommand::Keep(number, change)) => {
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
                let _ = kept.send((last, state.append(&changes)));
            }
            WriteCommand::Compact(change) => {
                if let Err(e) = state.replace(&change) {
                    warn!(error = e, "fleet: the Raft state could not be compacted, and goes on as it is");
                }
            }
            WriteCommand::Replace(change, done) => {
                let _ = done.send(state.replace(&change));
            }
        }
        if next.is_none() {
            next = todo.recv().ok();
        }
    }
}

impl LogStore for RaftLogWriter {
    fn append(&mut self, number: u64, change: &LogChange) -> Result<WriteStatus, String> {
        let given = self.commands.try_send(WriteCommand::Keep(number, change.clone()));
        given.map(|()| WriteStatus::Pending).map_err(|e| format!("the disk does not keep up: {e}"))
    }

    fn replace(&mut self, change: &LogChange) -> Result<(), String> {
        let (done, told) = channel();
        self.commands.send(WriteCommand::Replace(change.clone(), done)).map_err(|_| GONE)?;
        told.recv().map_err(|_| GONE)?
    }

    fn compact(&mut self, change: &LogChange) {
        // Where there is no place it is asked for again when the log has grown on.
        let _ = self.commands.try_send(WriteCommand::Compact(change.clone()));
    }
}
