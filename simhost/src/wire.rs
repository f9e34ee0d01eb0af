//! Parser for the tab-separated fields of one protocol line and their values.

use lineroute::{Micros, Outcome, Report};

/// The fields of a line, read from left to right.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Fields { rest: Some(line) }
    }

    /// The next field, unparsed.
    pub fn text(&mut self, name: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| format!("field {name} is missing"))?;
        match rest.split_once('\t') {
            Some((field, rest)) => {
                self.rest = Some(rest);
                Ok(field)
            }
            None => {
                self.rest = None;
                Ok(rest)
            }
        }
    }

    /// The remainder of the line.
    pub fn remainder(&mut self, name: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| format!("field {name} is missing"))
    }

    /// The next field, or `None` if it is `-`.
    pub fn optional(&mut self, name: &str) -> Result<Option<&'a str>, String> {
        Ok(Some(self.text(name)?).filter(|t| *t != "-"))
    }

    /// A whole number.
    pub fn int<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("field {name}: {text:?} is not a whole number in range"))
    }

    /// A whole number, or `None` if the field is `-`.
    pub fn int_opt<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        match self.optional(name)? {
            None => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("field {name}: {text:?} is not a whole number in range")),
            },
        }
    }

    /// A number, or `None` if the field is `-`.
    pub fn number_opt(&mut self, name: &str) -> Result<Option<f64>, String> {
        self.optional(name)?.map(|text| number(name, text)).transpose()
    }

    /// A time in milliseconds, converted to microseconds.
    pub fn time(&mut self, name: &str) -> Result<Micros, String> {
        self.time_opt(name)?.ok_or_else(|| format!("field {name} is missing"))
    }

    /// A time in milliseconds, converted to microseconds, or `None` if the field is `-`.
    pub fn time_opt(&mut self, name: &str) -> Result<Option<Micros>, String> {
        Ok(self.number_opt(name)?.map(|ms| (ms.max(0.0) * 1000.0).round() as Micros))
    }

    /// A flag, `0` or `1`; `-` counts as not set.
    pub fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.optional(name)? {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("field {name}: {other:?} is not 0 or 1")),
        }
    }

    /// How an attempt or a probe ended.
    pub fn outcome(&mut self, name: &str) -> Result<Outcome, String> {
        Ok(match self.text(name)? {
            "pass" => Outcome::Served,
            "fault" => Outcome::Fault,
            "no_room" => Outcome::NoRoom,
            "too_slow" => Outcome::TimedOut,
            "no_route" => Outcome::NoRoute,
            "cut" => Outcome::Cut,
            "undone" => Outcome::Cancelled,
            "stale_send" => Outcome::Moot,
            other => return Err(format!("field {name}: unknown outcome {other:?}")),
        })
    }

    /// A load report, if present. Values with unknown names are ignored.
    pub fn report(&mut self, name: &str) -> Result<Option<Report>, String> {
        let Some(text) = self.optional(name)?.filter(|t| !t.is_empty()) else { return Ok(None) };
        let mut report = Report::default();
        for pair in text.split(',') {
            let Some((field, value)) = pair.split_once(':') else {
                return Err(format!("field {name}: {pair:?} is not name:value"));
            };
            let slot = match field {
                "x0" => &mut report.free_slots,
                "depth" => &mut report.queued,
                "concurrent" => &mut report.in_flight,
                _ => continue,
            };
            *slot = Some(number(field, value)?);
        }
        Ok(Some(report))
    }

    /// Fails if any fields are left.
    pub fn end(&mut self) -> Result<(), String> {
        match self.rest {
            None => Ok(()),
            Some(rest) => Err(format!("unexpected {rest:?} after the last field")),
        }
    }
}

fn number(name: &str, text: &str) -> Result<f64, String> {
    text.parse().map_err(|_| format!("field {name}: {text:?} is not a number"))
}
