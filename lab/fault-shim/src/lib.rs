//! A library that tests load into a process with `LD_PRELOAD`. It interposes the C library's functions for sockets, polling,
//! file writes and the wall clock, and makes some of their calls fail in documented ways, according to a plan
//! ([`lineroute_fault_plan`]).
//!
//! It is for tests only: no program links it, and without a plan every function behaves as usual. It is the only crate of the
//! repository that may use unsafe code, since it replaces and calls C functions.
#![warn(missing_docs)]

mod next;
mod plan;

use libc::{c_int, c_void, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec, timeval};
use lineroute_fault_plan::Call;
use std::sync::atomic::{AtomicU64, Ordering};

const ACCEPT_ERRORS: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::EMFILE, libc::ENOBUFS];
const SOCKET_ERRORS: [c_int; 3] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS];
const CONNECT_ERRORS: [c_int; 2] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH];
const FILE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];
/// Errors as which a reset may be reported.
const RESET_ERRORS: [c_int; 2] = [libc::ETIMEDOUT, libc::EHOSTUNREACH];
const MILLISECONDS: i64 = 1000;
const NANOSECONDS: i64 = 1_000_000_000;
/// Number of descriptors whose `epoll` registration is tracked.
const MAX_DESCRIPTORS: usize = 4096;

/// By descriptor: the `epoll` descriptor plus one in the upper half, the registered events in the lower one; 0 if there is none.
static REGISTRATIONS: [AtomicU64; MAX_DESCRIPTORS] = [const { AtomicU64::new(0) }; MAX_DESCRIPTORS];
/// By descriptor: the user data of its `epoll` registration.
static REGISTRATION_DATA: [AtomicU64; MAX_DESCRIPTORS] = [const { AtomicU64::new(0) }; MAX_DESCRIPTORS];

fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives each thread its own `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

fn errno() -> c_int {
    // SAFETY: as in `fail`.
    unsafe { *libc::__errno_location() }
}

/// The error with which this call is to fail, if any.
fn injected_error(call: Call, errors: &[c_int]) -> Option<c_int> {
    plan::should_fail(call).then(|| errors[plan::random_below(errors.len() as u64) as usize])
}

/// The number of bytes that a call may transfer: all, or fewer if a partial transfer is injected.
fn shortened_len(call: Call, bytes: size_t) -> size_t {
    if bytes > 1 && plan::should_fail(call) {
        1 + plan::random_below(bytes as u64 - 1) as size_t
    } else {
        bytes
    }
}

/// Re-arms the `epoll` registration of a descriptor after an injected partial transfer. An edge-triggered reader or writer takes
/// a partial transfer to mean that the descriptor is exhausted, as epoll(7) permits, and would wait for an event that never comes.
fn rearm_edge_trigger(descriptor: c_int) {
    let Some(slot) = usize::try_from(descriptor).ok().filter(|slot| *slot < MAX_DESCRIPTORS) else { return };
    let registration = REGISTRATIONS[slot].load(Ordering::Relaxed);
    if registration == 0 {
        return;
    }
    let (epoll_fd, events) = ((registration >> 32) as c_int - 1, registration as u32);
    let mut event = epoll_event { events, u64: REGISTRATION_DATA[slot].load(Ordering::Relaxed) };
    let saved_errno = errno();
    // SAFETY: the event outlives the call. If the `epoll` descriptor was closed meanwhile, the call fails, which is ignored.
    unsafe { (next::epoll_ctl())(epoll_fd, libc::EPOLL_CTL_MOD, descriptor, &mut event) };
    fail(saved_errno);
}

/// Replaces a reset in the result of a read or write by another error, if the plan says so.
fn disguise_reset(result: ssize_t) -> ssize_t {
    if result == -1 && matches!(errno(), libc::ECONNRESET | libc::EPIPE) && plan::disguise_resets() {
        return fail(RESET_ERRORS[plan::random_below(2) as usize]) as ssize_t;
    }
    result
}

/// Tracks the `epoll` registrations of descriptors.
///
/// # Safety
/// As epoll_ctl(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll_fd: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    let result = (next::epoll_ctl())(epoll_fd, operation, descriptor, event);
    if let Some(slot) = usize::try_from(descriptor).ok().filter(|slot| *slot < MAX_DESCRIPTORS && result == 0)
    {
        if operation == libc::EPOLL_CTL_DEL || event.is_null() {
            REGISTRATIONS[slot].store(0, Ordering::Relaxed);
        } else {
            REGISTRATION_DATA[slot].store((*event).u64, Ordering::Relaxed);
            let registration = ((epoll_fd as u64 + 1) << 32) | u64::from((*event).events);
            REGISTRATIONS[slot].store(registration, Ordering::Relaxed);
        }
    }
    result
}

/// # Safety
/// As epoll_wait(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll_fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if timeout != 0 && plan::should_fail(Call::Wait) {
        return fail(libc::EINTR);
    }
    (next::epoll_wait())(epoll_fd, events, max_events, timeout)
}

/// # Safety
/// As accept(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = injected_error(Call::Accept, &ACCEPT_ERRORS) {
        return fail(error);
    }
    (next::accept4())(socket, from, size, flags)
}

/// # Safety
/// As accept(2).
#[no_mangle]
pub unsafe extern "C" fn accept(socket: c_int, from: *mut sockaddr, size: *mut socklen_t) -> c_int {
    accept4(socket, from, size, 0)
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let internet = matches!(domain, libc::AF_INET | libc::AF_INET6);
    if let Some(error) = internet.then(|| injected_error(Call::Socket, &SOCKET_ERRORS)).flatten() {
        return fail(error);
    }
    (next::socket())(domain, kind, protocol)
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    if let Some(error) = injected_error(Call::Connect, &CONNECT_ERRORS) {
        return fail(error);
    }
    (next::connect())(socket, to, size)
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, to: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let part = if flags & libc::MSG_PEEK == 0 { shortened_len(Call::ShortRead, size) } else { size };
    let result = (next::recv())(socket, to, part, flags);
    if part < size && result == part as ssize_t {
        rearm_edge_trigger(socket);
    }
    disguise_reset(result)
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let part = shortened_len(Call::ShortWrite, size);
    let result = (next::send())(socket, from, part, flags);
    if part < size && result == part as ssize_t {
        rearm_edge_trigger(socket);
    }
    disguise_reset(result)
}

/// Whether a descriptor refers to a regular file.
fn is_file(descriptor: c_int) -> bool {
    let saved_errno = errno();
    // SAFETY: `stat` is valid when zeroed, and the call fills it in.
    let is_file = unsafe {
        let mut state: libc::stat = std::mem::zeroed();
        libc::fstat(descriptor, &mut state) == 0 && state.st_mode & libc::S_IFMT == libc::S_IFREG
    };
    fail(saved_errno);
    is_file
}

/// # Safety
/// As write(2).
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, size: size_t) -> ssize_t {
    if size > 1 && is_file(descriptor) && plan::should_fail(Call::FileWrite) {
        // A part of the data may be written before the disk is full.
        if plan::random_below(2) == 0 {
            (next::write())(descriptor, from, 1 + plan::random_below(size as u64 - 1) as size_t);
        }
        return fail(FILE_ERRORS[plan::random_below(2) as usize]) as ssize_t;
    }
    (next::write())(descriptor, from, size)
}

/// # Safety
/// As readv(2).
#[no_mangle]
pub unsafe extern "C" fn readv(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if count > 1 && plan::should_fail(Call::ShortRead) {
        let result = (next::readv())(descriptor, parts, 1);
        if result == (*parts).iov_len as ssize_t {
            rearm_edge_trigger(descriptor);
        }
        return disguise_reset(result);
    }
    disguise_reset((next::readv())(descriptor, parts, count))
}

/// # Safety
/// As writev(2).
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if count > 1 && plan::should_fail(Call::ShortWrite) {
        let result = (next::writev())(descriptor, parts, 1);
        if result == (*parts).iov_len as ssize_t {
            rearm_edge_trigger(descriptor);
        }
        return disguise_reset(result);
    }
    disguise_reset((next::writev())(descriptor, parts, count))
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let result = (next::clock_gettime())(clock, to);
    let offset = if result == 0 && clock == libc::CLOCK_REALTIME { plan::clock_offset_ms() } else { 0 };
    if offset != 0 {
        let nanoseconds = (*to).tv_sec * NANOSECONDS + (*to).tv_nsec + offset * (NANOSECONDS / MILLISECONDS);
        (*to).tv_sec = nanoseconds.div_euclid(NANOSECONDS);
        (*to).tv_nsec = nanoseconds.rem_euclid(NANOSECONDS);
    }
    result
}

/// # Safety
/// As gettimeofday(2).
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(to: *mut timeval, _zone: *mut c_void) -> c_int {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let result = clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if !to.is_null() {
        *to = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / MILLISECONDS };
    }
    result
}
