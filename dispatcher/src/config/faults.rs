//! Everything that is wrong with a configuration, not only the first of it: each fault by its key.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;
use std::fmt;

/// No more than this is told of one file: guards the reader of the message.
const MOST: usize = 50;

/// What was found, in the order of finding. Each begins with its file and key.
#[derive(Debug, Default, PartialEq)]
pub struct Faults(Vec<String>);

impl Faults {
    pub fn add(&mut self, key: impl fmt::Display, words: impl fmt::Display) {
        if self.0.len() < MOST {
            self.0.push(format!("{key}: {words}"));
        }
    }

    /// The value, if there is one; else its fault is noted.
    pub fn take<T>(&mut self, result: Result<T, String>) -> Option<T> {
        result.map_err(|words| self.0.push(words)).ok()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

/// One step of a path, as the file has it.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Key(String),
    Index(usize),
}

fn path_text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text += key,
            Step::Key(key) => text += &format!(".{key}"),
            Step::Index(index) => text += &format!("[{index}]"),
        }
    }
    text
}

/// Reads a JSON text. `None`: at least one fault was noted.
///
/// What can't be read is noted, left out, and the rest read again, until nothing more is found.
pub fn read_json<T: DeserializeOwned>(source: &str, text: &str, faults: &mut Faults) -> Option<T> {
    let mut json = serde_json::Deserializer::from_str(text);
    let first = match serde_path_to_error::deserialize(&mut json) {
        Ok(value) => return faults.take(json.end().map_err(|e| format!("{source}: {e}")).map(|()| value)),
        Err(e) => e,
    };
    let before = faults.0.len();
    match serde_json::from_str::<Value>(text) {
        Err(e) => faults.add(source, e),
        Ok(value) => peel::<T>(source, value, faults),
    }
    if faults.0.len() == before {
        // A key that stands twice, say: the text shows it, the value does not.
        let at = first.path().to_string();
        faults.add(format!("{source}: {at}"), first.into_inner());
    }
    None
}

fn peel<T: DeserializeOwned>(source: &str, value: Value, faults: &mut Faults) {
    peel_with(source, value, faults, |value| {
        let Err(e) = serde_path_to_error::deserialize::<_, T>(value) else { return Ok(()) };
        let mut path: Vec<Step> = Vec::new();
        for segment in e.path() {
            match segment {
                Segment::Seq { index } => path.push(Step::Index(*index)),
                Segment::Map { key } => path.push(Step::Key(key.clone())),
                Segment::Enum { .. } | Segment::Unknown => break,
            }
        }
        Err((path, e.into_inner().to_string()))
    });
}

/// Notes all that is wrong with the platform's settings.
pub fn settings(value: Value, faults: &mut Faults) {
    peel_with("GW_CONFIG: setting", value, faults, |value| {
        let Err(words) = lineroute_settings::parse(&value.to_string()) else { return Ok(()) };
        let words = words.strip_prefix("setting ").unwrap_or(&words);
        let (path, words) = words.split_once(": ").unwrap_or(("", words));
        Err((read_path(path), words.to_owned()))
    });
}

/// Reads a path such as `classes[1].aim` back.
fn read_path(text: &str) -> Vec<Step> {
    let mut path = Vec::new();
    for part in text.split('.').filter(|p| !p.is_empty()) {
        let mut pieces = part.split('[');
        path.extend(pieces.next().filter(|key| !key.is_empty()).map(|key| Step::Key(key.into())));
        path.extend(pieces.filter_map(|p| p.strip_suffix(']')?.parse().ok()).map(Step::Index));
    }
    path
}

/// Notes what `read` says of the value, leaves it out, and reads again, until nothing more is found.
fn peel_with(
    source: &str,
    mut value: Value,
    faults: &mut Faults,
    read: impl Fn(&Value) -> Result<(), (Vec<Step>, String)>,
) {
    // Paths as the file has them; those in `value` differ where elements have been left out.
    let mut left_out: Vec<Vec<Step>> = Vec::new();
    while let Err((mut path, words)) = read(&value) {
        let named = |kind: &str| words.strip_prefix(kind)?.split('`').nth(1).map(str::to_owned);
        if let Some(field) = named("unknown field ") {
            let unnamed = path.last() != Some(&Step::Key(field.clone()));
            path.extend(unnamed.then_some(Step::Key(field)));
        }
        let original = restored(&path, &left_out);
        // What this left out itself is missed by no one.
        let own = named("missing field ").is_some_and(|field| {
            let missing = [&original[..], &[Step::Key(field)]].concat();
            left_out.contains(&missing)
        });
        if !own {
            let at = path_text(&original);
            let key = if at.is_empty() { source.to_owned() } else { format!("{source}: {at}") };
            faults.add(key, &words);
        }
        // Some settings are named without their unit.
        let with_unit = path.split_last().and_then(|(last, way)| match last {
            Step::Key(key) => Some([way, &[Step::Key(format!("{key}_ms"))]].concat()),
            Step::Index(_) => None,
        });
        if !remove(&mut value, &path) && !with_unit.is_some_and(|path| remove(&mut value, &path)) {
            return;
        }
        left_out.push(original);
    }
}

/// The path as it was before elements were left out of lists on it.
fn restored(path: &[Step], left_out: &[Vec<Step>]) -> Vec<Step> {
    let mut original: Vec<Step> = Vec::new();
    for step in path {
        let Step::Index(index) = step else {
            original.push(step.clone());
            continue;
        };
        let mut gone: Vec<usize> = (left_out.iter())
            .filter(|p| p.len() == original.len() + 1 && p.starts_with(&original))
            .filter_map(|p| match p.last() {
                Some(Step::Index(index)) => Some(*index),
                _ => None,
            })
            .collect();
        gone.sort_unstable();
        let index = gone.iter().fold(*index, |at, gone| if *gone <= at { at + 1 } else { at });
        original.push(Step::Index(index));
    }
    original
}

/// Leaves out what stands at the path; false if nothing does.
fn remove(value: &mut Value, path: &[Step]) -> bool {
    let Some((last, way)) = path.split_last() else { return false };
    let mut at = value;
    for step in way {
        let next = match step {
            Step::Key(key) => at.get_mut(key),
            Step::Index(index) => at.get_mut(index),
        };
        match next {
            Some(next) => at = next,
            None => return false,
        }
    }
    match (last, at) {
        (Step::Key(key), Value::Object(map)) => map.remove(key).is_some(),
        (Step::Index(index), Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            true
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde::Deserialize;

    #[derive(Debug, Default, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    struct Outer {
        list: Vec<Inner>,
        name: Option<String>,
        inner: Option<Inner>,
    }

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Inner {
        port: u16,
        #[serde(default)]
        word: String,
    }

    fn faults(text: &str) -> Vec<String> {
        let mut faults = Faults::default();
        let value = read_json::<Outer>("file", text, &mut faults);
        assert_eq!(value.is_none(), !faults.is_empty());
        if let Some(Outer { list, name, inner }) = value {
            drop((list.iter().map(|i| (i.port, i.word.len())).max(), name, inner));
        }
        faults.0
    }

    #[test]
    fn all_faults_are_named_by_the_keys_that_the_file_has() {
        assert_eq!(faults(r#"{"list":[{"port":1}],"name":"x"}"#), [""; 0]);
        let found = faults(
            r#"{"list":[{"port":"x"},{"port":1},{"port":70000},{"word":"w"},{"port":2,"word":3}],
                "nme":"x","name":7,"inner":{"port":true,"wort":1}}"#,
        );
        let keys: Vec<&str> = found.iter().map(|f| f.split(": ").nth(1).unwrap_or_default()).collect();
        for key in [
            "list[0].port",
            "list[2].port",
            "list[3]",
            "list[4].word",
            "nme",
            "name",
            "inner.port",
            "inner.wort",
        ] {
            assert!(keys.contains(&key), "{key} in {found:#?}");
        }
        assert_eq!(found.len(), 8, "{found:#?}");
    }

    #[test]
    fn what_is_no_json_or_says_a_thing_twice_is_one_fault() {
        assert_eq!(faults(r#"{"name":"#).len(), 1);
        assert_eq!(faults(r#"{} {}"#).len(), 1);
        let twice = faults(r#"{"name":"a","name":"b"}"#);
        assert!(twice.len() == 1 && twice[0].contains("duplicate field `name`"), "{twice:?}");
    }
}
