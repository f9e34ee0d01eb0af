//! Collects all errors of a configuration, not only the first one, each with its key.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;
use std::fmt;

/// Maximum number of errors reported, so that the message stays readable.
const MAX_FAULTS: usize = 50;

/// Errors in the order in which they were found. Each starts with its file and key.
#[derive(Debug, Default, PartialEq)]
pub struct Faults(Vec<String>);

impl Faults {
    pub fn add(&mut self, key: impl fmt::Display, message: impl fmt::Display) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(format!("{key}: {message}"));
        }
    }

    /// Returns the value of a result, or records its error.
    pub fn take<T>(&mut self, result: Result<T, String>) -> Option<T> {
        result.map_err(|message| self.0.push(message)).ok()
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

/// One element of a path in a JSON document.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Key(String),
    Index(usize),
}

fn format_path(path: &[Step]) -> String {
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

/// Parses a JSON text. `None`: at least one error was recorded.
///
/// A value that can't be parsed is recorded and removed, and the rest is parsed again until no more errors are found.
pub fn read_json<T: DeserializeOwned>(source: &str, text: &str, faults: &mut Faults) -> Option<T> {
    let mut json = serde_json::Deserializer::from_str(text);
    let first = match serde_path_to_error::deserialize(&mut json) {
        Ok(value) => return faults.take(json.end().map_err(|e| format!("{source}: {e}")).map(|()| value)),
        Err(e) => e,
    };
    let before = faults.0.len();
    match serde_json::from_str::<Value>(text) {
        Err(e) => faults.add(source, e),
        Ok(value) => collect_faults::<T>(source, value, faults),
    }
    if faults.0.len() == before {
        // For example a duplicate key, which is an error of the text but is gone from the parsed value.
        let at = first.path().to_string();
        faults.add(format!("{source}: {at}"), first.into_inner());
    }
    None
}

fn collect_faults<T: DeserializeOwned>(source: &str, value: Value, faults: &mut Faults) {
    collect_faults_with(source, value, faults, |value| {
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

/// Records all errors of the platform's settings.
pub fn check_settings(value: Value, faults: &mut Faults) {
    collect_faults_with("GW_CONFIG: setting", value, faults, |value| {
        let Err(message) = lineroute_settings::parse(&value.to_string()) else { return Ok(()) };
        let message = message.strip_prefix("setting ").unwrap_or(&message);
        let (path, message) = message.split_once(": ").unwrap_or(("", message));
        Err((parse_path(path), message.to_owned()))
    });
}

/// Parses a path such as `classes[1].aim`.
fn parse_path(text: &str) -> Vec<Step> {
    let mut path = Vec::new();
    for part in text.split('.').filter(|p| !p.is_empty()) {
        let mut pieces = part.split('[');
        path.extend(pieces.next().filter(|key| !key.is_empty()).map(|key| Step::Key(key.into())));
        path.extend(pieces.filter_map(|p| p.strip_suffix(']')?.parse().ok()).map(Step::Index));
    }
    path
}

/// Records the error that `read` returns, removes the value that it is about, and reads again until there is no error.
fn collect_faults_with(
    source: &str,
    mut value: Value,
    faults: &mut Faults,
    read: impl Fn(&Value) -> Result<(), (Vec<Step>, String)>,
) {
    // Paths in the file; indexes in `value` differ once elements have been removed.
    let mut removed_paths: Vec<Vec<Step>> = Vec::new();
    while let Err((mut path, message)) = read(&value) {
        let named = |kind: &str| message.strip_prefix(kind)?.split('`').nth(1).map(str::to_owned);
        if let Some(field) = named("unknown field ") {
            let is_missing = path.last() != Some(&Step::Key(field.clone()));
            path.extend(is_missing.then_some(Step::Key(field)));
        }
        let original = original_path(&path, &removed_paths);
        // A field that was removed here is not reported as missing.
        let removed_here = named("missing field ").is_some_and(|field| {
            let missing = [&original[..], &[Step::Key(field)]].concat();
            removed_paths.contains(&missing)
        });
        if !removed_here {
            let at = format_path(&original);
            let key = if at.is_empty() { source.to_owned() } else { format!("{source}: {at}") };
            faults.add(key, &message);
        }
        // Errors name some settings without the unit that their key ends with.
        let with_unit = path.split_last().and_then(|(last, parents)| match last {
            Step::Key(key) => Some([parents, &[Step::Key(format!("{key}_ms"))]].concat()),
            Step::Index(_) => None,
        });
        if !remove(&mut value, &path) && !with_unit.is_some_and(|path| remove(&mut value, &path)) {
            return;
        }
        removed_paths.push(original);
    }
}

/// Maps a path back to that in the file, before elements of lists on it were removed.
fn original_path(path: &[Step], removed_paths: &[Vec<Step>]) -> Vec<Step> {
    let mut original: Vec<Step> = Vec::new();
    for step in path {
        let Step::Index(index) = step else {
            original.push(step.clone());
            continue;
        };
        let mut removed: Vec<usize> = (removed_paths.iter())
            .filter(|p| p.len() == original.len() + 1 && p.starts_with(&original))
            .filter_map(|p| match p.last() {
                Some(Step::Index(index)) => Some(*index),
                _ => None,
            })
            .collect();
        removed.sort_unstable();
        let index = removed.iter().fold(*index, |at, removed| if *removed <= at { at + 1 } else { at });
        original.push(Step::Index(index));
    }
    original
}

/// Removes the value at the path; false if there is none.
fn remove(value: &mut Value, path: &[Step]) -> bool {
    let Some((last, parents)) = path.split_last() else { return false };
    let mut at = value;
    for step in parents {
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
    fn all_faults_are_reported_with_their_keys_in_the_file() {
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
    fn invalid_json_and_a_duplicate_key_are_one_fault_each() {
        assert_eq!(faults(r#"{"name":"#).len(), 1);
        assert_eq!(faults(r#"{} {}"#).len(), 1);
        let twice = faults(r#"{"name":"a","name":"b"}"#);
        assert!(twice.len() == 1 && twice[0].contains("duplicate field `name`"), "{twice:?}");
    }
}
