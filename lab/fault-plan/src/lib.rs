//! Which system calls of a process fail at present, and how far its wall clock is off.
//!
//! The lab writes a [`FaultPlan`] into a file, and the shim that is loaded into the process maps that file and looks at it at each
//! call. The file holds [`WORDS`] words of 64 bits in the machine's byte order, so that each value is read and written whole.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// The environment variable that names the file of a process.
pub const PLAN_VARIABLE: &str = "LINEROUTE_FAULT_PLAN";

/// The words of a plan: the offset of the wall clock, the broken-connection switch, and a rate for each call.
pub const WORDS: usize = 2 + CALLS.len();

/// The bytes of a plan's file.
pub const BYTES: usize = WORDS * size_of::<u64>();

/// The word of the wall clock's offset, in milliseconds.
pub const CLOCK_WORD: usize = 0;

/// The word that says whether resets show as other errors.
pub const RESETS_WORD: usize = 1;

/// A system call that fails, or does only a part of its work.
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
    /// A read from a connection brings a part of what there is.
    ShortRead,
    /// A write to a connection takes a part of what is offered.
    ShortWrite,
    /// `write` to a regular file takes a part of what is offered, or fails with ENOSPC or EIO.
    FileWrite,
}

/// Every call, in the order of their words.
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
    /// The word of this call's rate.
    pub fn word(self) -> usize {
        2 + self as usize
    }
}

/// What the shim of one process does at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// How far the wall clock is off, in milliseconds.
    pub clock_offset_ms: i64,
    /// A connection that was reset shows as ETIMEDOUT or EHOSTUNREACH.
    pub disguise_resets: bool,
    /// How many of a thousand calls fail, in the order of [`CALLS`].
    pub rates: [u64; CALLS.len()],
}

impl FaultPlan {
    /// The bytes of the file.
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
