//! The log: structured, on standard error, so many lines a second at most.
//!
//! Events go through `tracing`. A level that is off costs a load; what is written at `info` is written per
//! event of the program's life or per fault, never per request.

use clap::ValueEnum;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{Level, Metadata, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Lines a second. A dead network makes every request fail: the log must not take the core then.
const LINES_PER_SECOND: u32 = 50;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, ValueEnum)]
pub enum Format {
    /// A line an event, for people.
    #[default]
    Text,
    /// A JSON object a line, for programs.
    Json,
}

/// What is written at least.
#[derive(Clone, Copy, Debug, Default, PartialEq, ValueEnum)]
pub enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        LevelFilter::from_level(match self {
            LogLevel::Error => Level::ERROR,
            LogLevel::Warn => Level::WARN,
            LogLevel::Info => Level::INFO,
            LogLevel::Debug => Level::DEBUG,
            LogLevel::Trace => Level::TRACE,
        })
    }
}

/// Counts the lines of each second, and those left out.
#[derive(Debug)]
pub struct RateLimit {
    start: Instant,
    second: AtomicU64,
    lines: AtomicU32,
    left_out: AtomicU32,
}

impl RateLimit {
    fn new() -> Self {
        let (second, lines, left_out) = Default::default();
        RateLimit { start: Instant::now(), second, lines, left_out }
    }

    /// Whether a line may be written at this moment.
    fn admit(&self, now: Instant) -> bool {
        let second = now.saturating_duration_since(self.start).as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND;
        self.left_out.fetch_add(u32::from(!admitted), Ordering::Relaxed);
        admitted
    }

    /// Lines left out since this was last asked.
    fn take_left_out(&self) -> u32 {
        self.left_out.swap(0, Ordering::Relaxed)
    }
}

/// The limit as a filter of a layer.
struct RateLimitFilter(Arc<RateLimit>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, _: &tracing::Event<'_>, _: &Context<'_, S>) -> bool {
        self.0.admit(Instant::now())
    }
}

fn layer<S: Subscriber + for<'a> LookupSpan<'a>>(form: Format) -> Box<dyn Layer<S> + Send + Sync> {
    let plain = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    match form {
        Format::Text => plain.boxed(),
        Format::Json => plain.json().flatten_event(true).with_span_list(false).boxed(),
    }
}

/// Starts the log for the whole process. To be called once; the limit is handed to [`report`].
pub fn start(form: Format, threshold: LogLevel) -> Arc<RateLimit> {
    let limit = Arc::new(RateLimit::new());
    let limited = layer(form).with_filter(RateLimitFilter(limit.clone()));
    // A second start, as in tests, changes nothing.
    let _ = tracing_subscriber::registry().with(threshold.filter()).with(limited).try_init();
    limit
}

/// Tells once a second how many lines were left out, if any were. Never ends.
pub async fn report(limit: Arc<RateLimit>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let left_out = limit.take_left_out();
        if left_out > 0 {
            tracing::warn!(left_out, "lines were left out of the log");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_cut_and_counted() {
        let limit = RateLimit::new();
        let start = limit.start;
        let written = (0..200).filter(|_| limit.admit(start)).count();
        assert_eq!((written, limit.take_left_out()), (LINES_PER_SECOND as usize, 200 - LINES_PER_SECOND));
        assert!(limit.admit(start + Duration::from_secs(1)));
        assert_eq!(limit.take_left_out(), 0);
    }
}
