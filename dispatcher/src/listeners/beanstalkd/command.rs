//! A command line of the beanstalkd protocol, read strictly: one space between words, nothing left over.

use crate::beanstalkd::is_valid_name;
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub enum Command {
    Put { pri: u32, delay: Duration, ttr: Duration, bytes: u64 },
    Use(String),
    Reserve { within: Option<Duration> },
    ReserveJob(u64),
    Delete(u64),
    Release { id: u64, pri: u32, delay: Duration },
    Bury { id: u64, pri: u32 },
    Touch(u64),
    Watch(String),
    Ignore(String),
    Peek(u64),
    PeekReady,
    PeekDelayed,
    PeekBuried,
    Kick(u64),
    KickJob(u64),
    PauseTube { tube: String, delay: Duration },
    StatsJob(u64),
    StatsTube(String),
    Stats,
    ListTubes,
    ListTubeUsed,
    ListTubesWatched,
    Quit,
}

const BAD: &str = "BAD_FORMAT";

struct Words<'a>(std::str::Split<'a, char>);

impl Words<'_> {
    fn number<T: std::str::FromStr>(&mut self) -> Result<T, &'static str> {
        let word = self.0.next().filter(|w| !w.is_empty() && w.bytes().all(|b| b.is_ascii_digit()));
        word.and_then(|w| w.parse().ok()).ok_or(BAD)
    }

    fn seconds(&mut self) -> Result<Duration, &'static str> {
        Ok(Duration::from_secs(self.number::<u32>()?.into()))
    }

    fn name(&mut self) -> Result<String, &'static str> {
        self.0.next().filter(|w| is_valid_name(w)).map(str::to_owned).ok_or(BAD)
    }
}

impl Command {
    /// The command, or the protocol's word for what is wrong with it.
    pub fn parse(line: &str) -> Result<Command, &'static str> {
        let mut words = Words(line.split(' '));
        let command = match words.0.next().unwrap_or_default() {
            "put" => Command::Put {
                pri: words.number()?,
                delay: words.seconds()?,
                // A job needs a second at least to run in.
                ttr: words.seconds()?.max(Duration::from_secs(1)),
                bytes: words.number::<u32>()?.into(),
            },
            "use" => Command::Use(words.name()?),
            "reserve" => Command::Reserve { within: None },
            "reserve-with-timeout" => Command::Reserve { within: Some(words.seconds()?) },
            "reserve-job" => Command::ReserveJob(words.number()?),
            "delete" => Command::Delete(words.number()?),
            "release" => {
                Command::Release { id: words.number()?, pri: words.number()?, delay: words.seconds()? }
            }
            "bury" => Command::Bury { id: words.number()?, pri: words.number()? },
            "touch" => Command::Touch(words.number()?),
            "watch" => Command::Watch(words.name()?),
            "ignore" => Command::Ignore(words.name()?),
            "peek" => Command::Peek(words.number()?),
            "peek-ready" => Command::PeekReady,
            "peek-delayed" => Command::PeekDelayed,
            "peek-buried" => Command::PeekBuried,
            "kick" => Command::Kick(words.number::<u32>()?.into()),
            "kick-job" => Command::KickJob(words.number()?),
            "pause-tube" => Command::PauseTube { tube: words.name()?, delay: words.seconds()? },
            "stats-job" => Command::StatsJob(words.number()?),
            "stats-tube" => Command::StatsTube(words.name()?),
            "stats" => Command::Stats,
            "list-tubes" => Command::ListTubes,
            "list-tube-used" => Command::ListTubeUsed,
            "list-tubes-watched" => Command::ListTubesWatched,
            "quit" => Command::Quit,
            _ => return Err("UNKNOWN_COMMAND"),
        };
        match words.0.next() {
            None => Ok(command),
            Some(_) => Err(BAD),
        }
    }
}
