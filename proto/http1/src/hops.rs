//! Which fields pass from one hop to the next, and what a proxy adds.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::net::IpAddr;

/// Fields that end at this hop, by RFC 9110, 7.6.1, and those of framing, which is done anew.
const HOPS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Takes out the fields that end at this hop, those that `Connection` names among them.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).into_iter())
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOPS {
        headers.remove(name);
    }
}

/// What a proxy tells an upstream of where a request came from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forwarding {
    /// `Host` for the upstream; `None`: the client's.
    pub host: Option<String>,
    /// Its name in `Via`; `None`: no `Via`.
    pub via: Option<String>,
    /// `X-Forwarded-For`, `X-Forwarded-Host` and `X-Forwarded-Proto`.
    pub x_forwarded: bool,
    /// `Forwarded`, by RFC 7239.
    pub forwarded: bool,
}

/// Makes a client's fields those of a request to an upstream: hop-by-hop ones out, the proxy's own in. `addr`
/// is the upstream's, for where the client gave no host.
pub fn forward_headers(headers: &mut HeaderMap, how: &Forwarding, client: Option<IpAddr>, addr: &str) {
    strip_hop_by_hop_headers(headers);
    let asked = headers.get(header::HOST).cloned();
    let set = |headers: &mut HeaderMap, name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    let add = |headers: &mut HeaderMap, name: &'static str, text: &str| {
        let before =
            headers.get_all(name).into_iter().filter_map(|v| v.to_str().ok()).collect::<Vec<_>>().join(", ");
        let all = if before.is_empty() { text.to_owned() } else { format!("{before}, {text}") };
        set(headers, name, &all);
    };
    match (&how.host, &asked) {
        (Some(host), _) => set(headers, "host", host),
        (None, None) => set(headers, "host", addr),
        (None, Some(_)) => {}
    }
    let asked = asked.as_ref().and_then(|h| h.to_str().ok());
    if how.x_forwarded {
        if let Some(client) = client {
            add(headers, "x-forwarded-for", &client.to_string());
        }
        if let Some(host) = asked {
            set(headers, "x-forwarded-host", host);
        }
        set(headers, "x-forwarded-proto", "http");
    }
    if how.forwarded {
        let node = match client {
            Some(IpAddr::V6(ip)) => format!("\"[{ip}]\""),
            Some(IpAddr::V4(ip)) => ip.to_string(),
            None => "unknown".into(),
        };
        let plain = |h: &&str| h.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\');
        let host = asked.filter(plain).map(|h| format!(";host=\"{h}\"")).unwrap_or_default();
        add(headers, "forwarded", &format!("for={node}{host};proto=http"));
    }
    if let Some(name) = &how.via {
        add(headers, "via", &format!("1.1 {name}"));
    }
}
