//! A histogram of time spans with a bucket for each millisecond, for quantiles over many millions of spans.

/// Longer spans are counted in the last bucket, an hour.
const MAX_SPAN_MS: usize = 3_600_000;

/// A histogram of spans in whole milliseconds.
#[derive(Default)]
pub struct Histogram {
    counts: Vec<u64>,
    total: u64,
}

impl Histogram {
    pub fn add(&mut self, span_ms: u64) {
        let index = usize::try_from(span_ms).unwrap_or(MAX_SPAN_MS).min(MAX_SPAN_MS);
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] += 1;
        self.total += 1;
    }

    pub fn count(&self) -> u64 {
        self.total
    }

    /// The span in seconds that this fraction of the spans does not exceed; 0 if there are none.
    pub fn quantile(&self, fraction: f64) -> f64 {
        let rank = (self.total as f64 * fraction).ceil().max(1.0) as u64;
        let mut seen = 0;
        for (span_ms, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return span_ms as f64 / 1e3;
            }
        }
        0.0
    }

    /// The longest span, in seconds.
    pub fn longest(&self) -> f64 {
        self.counts.len().saturating_sub(1) as f64 / 1e3
    }
}
