//! The C library's own functions, which this library interposes.

use libc::{c_char, c_int, c_void, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::atomic::{AtomicPtr, Ordering};

macro_rules! next {
    ($($name:ident: $type:ty;)*) => {$(
        /// The C library's own function of this name.
        pub fn $name() -> $type {
            static ADDRESS: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            let mut address = ADDRESS.load(Ordering::Relaxed);
            if address.is_null() {
                const NAME: &[u8] = concat!(stringify!($name), "\0").as_bytes();
                // SAFETY: the name is NUL-terminated.
                address = unsafe { libc::dlsym(libc::RTLD_NEXT, NAME.as_ptr().cast::<c_char>()) };
                assert!(!address.is_null(), "the C library lacks {}", stringify!($name));
                ADDRESS.store(address, Ordering::Relaxed);
            }
            // SAFETY: the C function of this name has this type.
            unsafe { std::mem::transmute::<*mut c_void, $type>(address) }
        }
    )*};
}

next! {
    epoll_ctl: unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;
    epoll_wait: unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    accept4: unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    socket: unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    connect: unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    recv: unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    send: unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    readv: unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    writev: unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    write: unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    clock_gettime: unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int;
}
