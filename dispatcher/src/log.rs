//! Structured, rate-limited logging to standard error.
//!
//! Events go through `tracing`. A disabled level costs one atomic load. Events at `info` and above are logged per
//! life-cycle event of the process or per fault, never per request.

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

/// Maximum number of lines per second. When a network outage makes every request fail, logging must not use up the CPU core.
const LINES_PER_SECOND: u32 = 50;

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, ValueEnum)]
pub enum Format {
    /// One human-readable line per event.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The least severe level that is logged.
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

/// Counts the lines of each second and the lines dropped.
#[derive(Debug)]
pub struct RateLimit {
    start: Instant,
    second: AtomicU64,
    lines: AtomicU32,
    dropped: AtomicU32,
}

impl RateLimit {
    fn new() -> Self {
        let (second, lines, dropped) = Default::default();
        RateLimit { start: Instant::now(), second, lines, dropped }
    }

    /// Counts a line and returns whether it may be written at `now`.
    fn admit(&self, now: Instant) -> bool {
        let second = now.saturating_duration_since(self.start).as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND;
        self.dropped.fetch_add(u32::from(!admitted), Ordering::Relaxed);
        admitted
    }

    /// Returns the number of lines dropped since the last call.
    fn take_dropped(&self) -> u32 {
        self.dropped.swap(0, Ordering::Relaxed)
    }
}

/// Applies the rate limit as a layer filter.
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
    let layer = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    match form {
        Format::Text => layer.boxed(),
        Format::Json => layer.json().flatten_event(true).with_span_list(false).boxed(),
    }
}

/// Initializes logging for the process. The returned limit is to be passed to [`report_dropped_lines`].
pub fn start(form: Format, threshold: LogLevel) -> Arc<RateLimit> {
    let limit = Arc::new(RateLimit::new());
    let limited = layer(form).with_filter(RateLimitFilter(limit.clone()));
    // Fails if logging is already initialized, as in tests; the first subscriber stays.
    let _ = tracing_subscriber::registry().with(threshold.filter()).with(limited).try_init();
    limit
}

/// Logs once a second how many lines were dropped, if any. Never completes.
pub async fn report_dropped_lines(limit: Arc<RateLimit>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let left_out = limit.take_dropped();
        if left_out > 0 {
            tracing::warn!(left_out, "log lines dropped by the rate limit");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
        let limit = RateLimit::new();
        let start = limit.start;
        let written = (0..200).filter(|_| limit.admit(start)).count();
        assert_eq!((written, limit.take_dropped()), (LINES_PER_SECOND as usize, 200 - LINES_PER_SECOND));
        assert!(limit.admit(start + Duration::from_secs(1)));
        assert_eq!(limit.take_dropped(), 0);
    }
}
