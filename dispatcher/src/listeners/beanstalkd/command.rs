//! Strict parser for command lines of the beanstalkd protocol: exactly one space between tokens, no trailing text.

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

const BAD_FORMAT: &str = "BAD_FORMAT";

struct Tokens<'a>(std::str::Split<'a, char>);

impl Tokens<'_> {
    fn number<T: std::str::FromStr>(&mut self) -> Result<T, &'static str> {
        let word = self.0.next().filter(|w| !w.is_empty() && w.bytes().all(|b| b.is_ascii_digit()));
        word.and_then(|w| w.parse().ok()).ok_or(BAD_FORMAT)
    }

    fn seconds(&mut self) -> Result<Duration, &'static str> {
        Ok(Duration::from_secs(self.number::<u32>()?.into()))
    }

    fn name(&mut self) -> Result<String, &'static str> {
        self.0.next().filter(|w| is_valid_name(w)).map(str::to_owned).ok_or(BAD_FORMAT)
    }
}

impl Command {
    /// Parses a command line.
    ///
    /// # Errors
    /// The protocol's error reply.
    pub fn parse(line: &str) -> Result<Command, &'static str> {
        let mut tokens = Tokens(line.split(' '));
        let command = match tokens.0.next().unwrap_or_default() {
            "put" => Command::Put {
                pri: tokens.number()?,
                delay: tokens.seconds()?,
                // As in beanstalkd, the time to run is at least one second.
                ttr: tokens.seconds()?.max(Duration::from_secs(1)),
                bytes: tokens.number::<u32>()?.into(),
            },
            "use" => Command::Use(tokens.name()?),
            "reserve" => Command::Reserve { within: None },
            "reserve-with-timeout" => Command::Reserve { within: Some(tokens.seconds()?) },
            "reserve-job" => Command::ReserveJob(tokens.number()?),
            "delete" => Command::Delete(tokens.number()?),
            "release" => {
                Command::Release { id: tokens.number()?, pri: tokens.number()?, delay: tokens.seconds()? }
            }
            "bury" => Command::Bury { id: tokens.number()?, pri: tokens.number()? },
            "touch" => Command::Touch(tokens.number()?),
            "watch" => Command::Watch(tokens.name()?),
            "ignore" => Command::Ignore(tokens.name()?),
            "peek" => Command::Peek(tokens.number()?),
            "peek-ready" => Command::PeekReady,
            "peek-delayed" => Command::PeekDelayed,
            "peek-buried" => Command::PeekBuried,
            "kick" => Command::Kick(tokens.number::<u32>()?.into()),
            "kick-job" => Command::KickJob(tokens.number()?),
            "pause-tube" => Command::PauseTube { tube: tokens.name()?, delay: tokens.seconds()? },
            "stats-job" => Command::StatsJob(tokens.number()?),
            "stats-tube" => Command::StatsTube(tokens.name()?),
            "stats" => Command::Stats,
            "list-tubes" => Command::ListTubes,
            "list-tube-used" => Command::ListTubeUsed,
            "list-tubes-watched" => Command::ListTubesWatched,
            "quit" => Command::Quit,
            _ => return Err("UNKNOWN_COMMAND"),
        };
        match tokens.0.next() {
            None => Ok(command),
            Some(_) => Err(BAD_FORMAT),
        }
    }
}
