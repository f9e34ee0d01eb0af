//! Reads the current fault plan of this process from its file.

use libc::c_int;
use lineroute_fault_plan::{Call, BYTES, CLOCK_WORD, PLAN_VARIABLE, RESETS_WORD};
use std::ffi::CString;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Rates are given per this many calls.
const RATE_BASE: u64 = 1000;

/// Address at which the plan's file is mapped.
struct MappedPlan(*const AtomicU64);

// SAFETY: the memory stays mapped for the lifetime of the process and is accessed only as atomic words.
unsafe impl Send for MappedPlan {}
// SAFETY: as above.
unsafe impl Sync for MappedPlan {}

fn map() -> Option<MappedPlan> {
    let path = std::env::var(PLAN_VARIABLE).ok().and_then(|path| CString::new(path).ok())?;
    // SAFETY: the path is NUL-terminated, the result of the mapping is checked, and the file is as long as the mapping.
    unsafe {
        let file: c_int = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let at = libc::mmap(std::ptr::null_mut(), BYTES, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (at != libc::MAP_FAILED).then(|| MappedPlan(at.cast::<AtomicU64>()))
    }
}

fn word(index: usize) -> u64 {
    static PLAN: OnceLock<Option<MappedPlan>> = OnceLock::new();
    let Some(plan) = PLAN.get_or_init(map) else { return 0 };
    // SAFETY: the index is less than the number of words of a plan.
    unsafe { (*plan.0.add(index)).load(Ordering::Relaxed) }
}

/// A pseudo-random number below `bound`. Each process has its own sequence.
pub fn random_below(bound: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut x = STATE.fetch_add(STEP, Ordering::Relaxed) ^ u64::from(std::process::id());
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % bound.max(1)
}

/// Draws whether this call is to fail.
pub fn should_fail(call: Call) -> bool {
    let rate = word(call.word());
    rate > 0 && random_below(RATE_BASE) < rate
}

/// Whether resets are reported as other errors.
pub fn disguise_resets() -> bool {
    word(RESETS_WORD) != 0
}

/// Offset of the wall clock in milliseconds.
pub fn clock_offset_ms() -> i64 {
    word(CLOCK_WORD).cast_signed()
}
