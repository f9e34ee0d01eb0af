//! Fail points: named places, between steps whose order matters, at which tests stop or kill the process. Release
//! builds compile the calls to nothing.
//!
//! `LINEROUTE_TEST_STOPS` holds `POINT:NTH:ACTION` entries, separated by commas. `ACTION` is `stop` (SIGSTOP), `kill` (SIGKILL)
//! or a number of milliseconds for which only the thread sleeps. It runs when the thread passes the point for the `NTH` time.

#[cfg(debug_assertions)]
mod enabled {
    use rustix::process::{getpid, kill_process, Signal};
    use std::cell::RefCell;
    use std::time::Duration;

    #[derive(Clone, Copy)]
    enum Action {
        Signal(Signal),
        Pause(Duration),
    }

    struct FailPoint {
        name: String,
        remaining: u32,
        action: Action,
    }

    thread_local! {
        static FAIL_POINTS: RefCell<Option<Vec<FailPoint>>> = const { RefCell::new(None) };
    }

    fn read() -> Vec<FailPoint> {
        let text = std::env::var("LINEROUTE_TEST_STOPS").unwrap_or_default();
        let point = |words: &str| {
            let mut parts = words.trim().split(':');
            let (name, nth, action) = (parts.next()?, parts.next()?.parse().ok()?, parts.next()?);
            let action = match action {
                "stop" => Action::Signal(Signal::STOP),
                "kill" => Action::Signal(Signal::KILL),
                pause => Action::Pause(Duration::from_millis(pause.parse().ok()?)),
            };
            Some(FailPoint { name: name.into(), remaining: nth, action })
        };
        text.split(',').filter_map(point).collect()
    }

    /// Runs the action of the fail point `name` if it is due.
    pub fn at(name: &str) {
        FAIL_POINTS.with(|points| {
            let mut points = points.borrow_mut();
            for point in points.get_or_insert_with(read).iter_mut().filter(|p| p.name == name) {
                // The counter wraps after the point has fired, so that it does not fire again.
                point.remaining = point.remaining.wrapping_sub(1);
                match point.action {
                    _ if point.remaining > 0 => {}
                    Action::Signal(signal) => drop(kill_process(getpid(), signal)),
                    Action::Pause(duration) => std::thread::sleep(duration),
                }
            }
        });
    }
}

#[cfg(debug_assertions)]
pub use enabled::at;

/// Does nothing in release builds.
#[cfg(not(debug_assertions))]
#[inline(always)]
pub fn at(_name: &str) {}
