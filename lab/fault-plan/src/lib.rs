//! Fault plan of a process: which system calls fail, and by how much the wall clock is offset.
//!
//! The lab writes a [`FaultPlan`] to a file. The shim loaded into the process maps that file and reads it at each call. The file
//! holds [`WORDS`] 64-bit words in native byte order, so that each value is read and written atomically.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The environment variable that holds the path of the plan's file.
pub const PLAN_VARIABLE: &str = "LINEROUTE_FAULT_PLAN";

/// The number of words of a plan: the clock offset, the switch for disguised resets, and a rate for each call.
pub const WORDS: usize = 2 + CALLS.len();

/// The size of a plan's file in bytes.
pub const BYTES: usize = WORDS * size_of::<u64>();

/// The index of the word with the wall clock's offset in milliseconds.
pub const CLOCK_WORD: usize = 0;

/// The index of the word that says whether resets are reported as other errors.
pub const RESETS_WORD: usize = 1;

/// A system call into which a failure or a partial transfer can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4` fails with ECONNABORTED, ENFILE, EMFILE or ENOBUFS.
    Accept,
    /// `socket` fails with ENFILE, EMFILE or ENOBUFS.
    Socket,
    /// `connect` fails with EADDRNOTAVAIL or ENETUNREACH.
    Connect,
    /// `epoll_wait` returns EINTR before it waits.
    Wait,
    /// A read from a connection returns only a part of the available bytes.
    ShortRead,
    /// A write to a connection accepts only a part of the bytes.
    ShortWrite,
    /// `write` to a regular file fails with ENOSPC or EIO, possibly after writing a part of the bytes.
    FileWrite,
}

/// All calls, in the order of their words.
pub const CALLS: [Call; 7] = [
    Call::Accept,
    Call::Socket,
    Call::Connect,
    Call::Wait,
    Call::ShortRead,
    Call::ShortWrite,
    Call::FileWrite,
];

impl Call {
    /// The index of the word with this call's rate.
    pub fn word(self) -> usize {
        2 + self as usize
    }
}

/// The faults that the shim of one process injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Offset of the wall clock in milliseconds.
    pub clock_offset_ms: i64,
    /// Report a reset connection as ETIMEDOUT or EHOSTUNREACH.
    pub disguise_resets: bool,
    /// Failures per thousand calls, in the order of [`CALLS`].
    pub rates: [u64; CALLS.len()],
}

impl FaultPlan {
    /// Encodes the plan as the contents of its file.
    pub fn to_bytes(&self) -> [u8; BYTES] {
        let mut words = [0u64; WORDS];
        words[CLOCK_WORD] = self.clock_offset_ms.cast_unsigned();
        words[RESETS_WORD] = u64::from(self.disguise_resets);
        for call in CALLS {
            words[call.word()] = self.rates[call as usize];
        }
        let mut bytes = [0; BYTES];
        for (to, word) in bytes.chunks_exact_mut(size_of::<u64>()).zip(words) {
            to.copy_from_slice(&word.to_ne_bytes());
        }
        bytes
    }
}
