//! Converts nginx's `upstream` and `location` blocks to an operator's file. Each upstream becomes a kind of worker, each
//! location a class bound to that kind and a route to the class. Directives that can't be converted faithfully are not
//! ignored: they are rejected with their line and name.

use crate::config::{Matching, Operator, Protocol, RawRoute, RawWorkers};
use crate::list::{Host, State};
use serde_json::json;
use std::net::SocketAddr;

/// nginx's own default for `proxy_read_timeout`.
const READ_TIMEOUT_MS: u64 = 60_000;
/// The latency target of a class (`aim_ms`) is its time-out divided by this.
const AIM_DIVISOR: u64 = 4;

#[derive(Debug, PartialEq)]
enum Token {
    Word(String),
    Semicolon,
    Open,
    Close,
}

/// A directive with the line that it starts on, and its block if it has one.
#[derive(Debug)]
struct Directive {
    line: usize,
    name: String,
    arguments: Vec<String>,
    block: Option<Vec<Directive>>,
}

impl Directive {
    fn error(&self, message: &str) -> String {
        format!("line {}: {}: {message}", self.line, self.name)
    }

    fn single_argument(&self) -> Result<&str, String> {
        match &self.arguments[..] {
            [one] => Ok(one),
            _ => Err(self.error("takes one argument")),
        }
    }
}

fn tokenize(text: &str) -> Result<Vec<(usize, Token)>, String> {
    let mut found = Vec::new();
    let mut rest = text.chars().peekable();
    let mut line = 1;
    while let Some(c) = rest.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while rest.next_if(|c| *c != '\n').is_some() {},
            ';' => found.push((line, Token::Semicolon)),
            '{' => found.push((line, Token::Open)),
            '}' => found.push((line, Token::Close)),
            '"' | '\'' => {
                let (start, mut word) = (line, String::new());
                loop {
                    match rest.next() {
                        None => return Err(format!("line {start}: a quote is not closed")),
                        Some(end) if end == c => break,
                        Some('\\') => word.extend(rest.next()),
                        Some(inner) => {
                            line += usize::from(inner == '\n');
                            word.push(inner);
                        }
                    }
                }
                found.push((start, Token::Word(word)));
            }
            first => {
                let mut word = String::from(first);
                while let Some(c) = rest.next_if(|c| !c.is_whitespace() && !";{}".contains(*c)) {
                    word.push(c);
                }
                found.push((line, Token::Word(word)));
            }
        }
    }
    Ok(found)
}

/// Parses directives without recursion: the enclosing blocks are kept on the stack `outer`.
fn parse_directives(text: &str) -> Result<Vec<Directive>, String> {
    let mut outer: Vec<(Directive, Vec<Directive>)> = Vec::new();
    let (mut siblings, mut current): (Vec<Directive>, Option<Directive>) = (Vec::new(), None);
    for (line, token) in tokenize(text)? {
        match (token, current.take()) {
            (Token::Word(name), None) => {
                current = Some(Directive { line, name, arguments: Vec::new(), block: None });
            }
            (Token::Word(word), Some(mut directive)) => {
                directive.arguments.push(word);
                current = Some(directive);
            }
            (Token::Semicolon, Some(directive)) => siblings.push(directive),
            (Token::Open, Some(directive)) => outer.push((directive, std::mem::take(&mut siblings))),
            (Token::Close, None) => {
                let (mut directive, parents) =
                    outer.pop().ok_or(format!("line {line}: unexpected \"}}\""))?;
                directive.block = Some(std::mem::replace(&mut siblings, parents));
                siblings.push(directive);
            }
            (Token::Semicolon, None) => return Err(format!("line {line}: unexpected \";\"")),
            (Token::Open, None) => return Err(format!("line {line}: unexpected \"{{\"")),
            (Token::Close, Some(d)) => return Err(d.error("is not terminated by \";\"")),
        }
    }
    match (current, outer.pop()) {
        (Some(directive), _) => Err(directive.error("is not terminated by \";\"")),
        (None, Some((directive, _))) => Err(directive.error("its block is not closed")),
        (None, None) => Ok(siblings),
    }
}

struct Location<'a> {
    directive: &'a Directive,
    path: String,
    matching: Matching,
    upstream: String,
    timeout_ms: u64,
    effect: &'static str,
}

/// Converts the blocks to the contents of an operator's file.
pub fn import(text: &str) -> Result<Operator, String> {
    let top = parse_directives(text)?;
    let (mut upstreams, mut locations): (Vec<&Directive>, Vec<Location>) = (Vec::new(), Vec::new());
    let mut pending: Vec<&Directive> = top.iter().rev().collect();
    while let Some(directive) = pending.pop() {
        match (directive.name.as_str(), &directive.block) {
            ("http" | "server", Some(block)) if directive.arguments.is_empty() => {
                pending.extend(block.iter().rev());
            }
            ("upstream", Some(_)) => upstreams.push(directive),
            ("location", Some(block)) => locations.push(parse_location(directive, block)?),
            _ => return Err(directive.error("not supported here")),
        }
    }
    let mut operator = Operator::default();
    for upstream in &upstreams {
        let name = upstream.single_argument()?;
        if operator.hosts.iter().any(|h| h.kind == name) {
            return Err(upstream.error("duplicate name"));
        }
        let hosts = upstream.block.iter().flatten().map(|d| parse_server(d, name));
        operator.hosts.extend(hosts.collect::<Result<Vec<_>, _>>()?);
        if !operator.hosts.iter().any(|h| h.kind == name) {
            return Err(upstream.error("has no server"));
        }
    }
    // Servers behind nginx answer HTTP requests on the connection.
    operator.workers = (upstreams.iter())
        .filter_map(|u| u.single_argument().ok())
        .map(|kind| RawWorkers { kind: kind.into(), protocol: Protocol::Http, ..RawWorkers::default() })
        .collect();
    for location in locations {
        let Location { directive, path, matching, upstream, timeout_ms, effect } = location;
        if !operator.hosts.iter().any(|h| h.kind == upstream) {
            return Err(directive.error(&format!("no upstream is named {upstream:?}")));
        }
        if operator.routes.iter().any(|r| r.path == path && r.matching == matching) {
            return Err(directive.error("duplicate path"));
        }
        // Locations can differ in time-out and in whether requests may be repeated, so each has its own class.
        let class = format!("{upstream}{path}");
        let class = if matching == Matching::Exact { format!("={class}") } else { class };
        let settings = json!({"name": class, "kind": upstream, "aim_ms": (timeout_ms / AIM_DIVISOR).max(1),
            "deadline_ms": timeout_ms, "late_share": 0.5, "effect": effect});
        operator.classes.extend(settings.as_object().cloned());
        operator.routes.push(RawRoute {
            path,
            matching,
            class,
            budget_ms: Some(timeout_ms),
            stream: true,
            ..RawRoute::default()
        });
    }
    Ok(operator)
}

fn parse_server(directive: &Directive, upstream: &str) -> Result<Host, String> {
    if directive.name != "server" || directive.block.is_some() {
        return Err(
            directive.error("not supported in an upstream; load is balanced by measured response times")
        );
    }
    let (addr, parameters) =
        directive.arguments.split_first().ok_or_else(|| directive.error("has no address"))?;
    let addr: SocketAddr =
        addr.parse().map_err(|_| directive.error(&format!("{addr:?} is not an address with a port")))?;
    let mut state = State::Up;
    for parameter in parameters {
        match parameter.as_str() {
            "down" => state = State::Draining,
            "weight=1" => {}
            other => return Err(directive.error(&format!("parameter {other:?} is not supported"))),
        }
    }
    Ok(Host {
        id: format!("{upstream}-{addr}"),
        addr,
        zone: String::new(),
        kind: upstream.into(),
        cell: 0,
        state,
        started_ms: 0,
        weight: 0.0,
    })
}

fn parse_location<'a>(location: &'a Directive, block: &[Directive]) -> Result<Location<'a>, String> {
    let (matching, path) = match location.arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [path] | ["^~", path] => (Matching::Prefix, path),
        ["=", path] => (Matching::Exact, path),
        [modifier, _] => return Err(location.error(&format!("modifier {modifier:?} is not supported"))),
        _ => return Err(location.error("takes one path")),
    };
    if !path.starts_with('/') {
        return Err(location.error(&format!("{path:?} does not start with /")));
    }
    // nginx retries a POST only where `non_idempotent` allows it.
    let (mut upstream, mut timeout_ms, mut effect) = (None, READ_TIMEOUT_MS, "once");
    for directive in block {
        match directive.name.as_str() {
            _ if directive.block.is_some() => return Err(directive.error("not supported here")),
            "proxy_pass" => {
                let url = directive.single_argument()?;
                let name = url
                    .strip_prefix("http://")
                    .ok_or_else(|| directive.error("only http:// is supported"))?;
                if name.contains(['/', '$', ':']) {
                    return Err(directive.error("must be the name of an upstream without a port or path"));
                }
                upstream = Some(name.to_owned());
            }
            "proxy_read_timeout" => timeout_ms = parse_time(directive)?,
            "proxy_next_upstream" => {
                for word in &directive.arguments {
                    match word.as_str() {
                        "error" | "timeout" | "http_500" | "http_502" | "http_503" | "http_504" => {}
                        "non_idempotent" => effect = "repeatable",
                        "off" => return Err(directive.error("off is not supported")),
                        other => return Err(directive.error(&format!("{other:?} is not supported"))),
                    }
                }
            }
            _ => return Err(directive.error("not supported in a location")),
        }
    }
    let upstream = upstream.ok_or_else(|| location.error("has no proxy_pass"))?;
    Ok(Location { directive: location, path: path.into(), matching, upstream, timeout_ms, effect })
}

/// Parses an nginx time in milliseconds; without a unit it is in seconds.
fn parse_time(directive: &Directive) -> Result<u64, String> {
    let text = directive.single_argument()?;
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &text[digits.len()..] {
        "ms" => 1,
        "" | "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(directive.error(&format!("{text:?} is not a time"))),
    };
    let number: u64 = digits.parse().map_err(|_| directive.error(&format!("{text:?} is not a time")))?;
    let ms = number.checked_mul(factor).filter(|ms| (1..=86_400_000).contains(ms));
    ms.ok_or_else(|| directive.error(&format!("{text:?} is out of range")))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const BLOCKS: &str = "http { # all of it\n upstream charts { server 127.0.0.1:9001;\n\
        server 127.0.0.1:9002 down; }\n server { location /charts/ {\n proxy_pass http://charts;\n\
        proxy_read_timeout 5s; proxy_next_upstream error timeout non_idempotent; }\n\
        location = \"/chart\" { proxy_pass http://charts; } } }";

    #[test]
    fn blocks_become_hosts_classes_and_routes() {
        let operator = import(BLOCKS).unwrap();
        let hosts: Vec<_> = operator.hosts.iter().map(|h| (h.id.as_str(), h.kind.as_str())).collect();
        assert_eq!(hosts, [("charts-127.0.0.1:9001", "charts"), ("charts-127.0.0.1:9002", "charts")]);
        assert!(matches!(operator.hosts[1].state, State::Draining));
        let routes = operator.routes.iter().map(|r| (r.path.as_str(), r.matching, r.budget_ms));
        let expected =
            [("/charts/", Matching::Prefix, Some(5000)), ("/chart", Matching::Exact, Some(60_000))];
        assert_eq!(routes.collect::<Vec<_>>(), expected);
        assert_eq!(
            (&operator.classes[0]["effect"], &operator.classes[1]["effect"]),
            (&json!("repeatable"), &json!("once"))
        );
        assert_eq!(operator.classes[0]["kind"], "charts");
    }

    #[rstest]
    #[case("upstream u {\n least_conn;\n}", &["line 2", "least_conn"])]
    #[case("upstream u { server 127.0.0.1:1 weight=3; }", &["line 1", "server", "weight=3"])]
    #[case("upstream u { server here; }", &["server", "here"])]
    #[case("upstream u { }", &["upstream", "no server"])]
    #[case("\nlisten 80;", &["line 2", "listen"])]
    #[case("location ~ \\.png$ { proxy_pass http://u; }", &["location", "~"])]
    #[case("location / { proxy_pass http://u; }", &["location", "\"u\""])]
    #[case("location / { proxy_pass http://u/x; }", &["proxy_pass"])]
    #[case("location / {\n\n proxy_set_header A b; }", &["line 3", "proxy_set_header"])]
    #[case("location / { proxy_pass http://u; proxy_read_timeout soon; }", &["proxy_read_timeout", "soon"])]
    #[case("upstream u { server 127.0.0.1:1;", &["line 1", "upstream", "not closed"])]
    #[case("upstream u { server 127.0.0.1:1 }", &["server", ";"])]
    #[case("}", &["line 1"])]
    #[case("\"open", &["line 1", "quote"])]
    fn unsupported_directives_are_rejected_with_line_and_name(#[case] text: &str, #[case] words: &[&str]) {
        let error = import(text).unwrap_err();
        assert!(words.iter().all(|w| error.contains(w)), "{error}");
    }
}
