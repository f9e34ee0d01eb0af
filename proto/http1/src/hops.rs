//! Removal of hop-by-hop header fields, and the header fields that a proxy adds.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::net::IpAddr;

/// Hop-by-hop fields according to RFC 9110, section 7.6.1, and the framing fields, which are generated for each hop.
const HOP_BY_HOP_FIELDS: [&str; 10] = [
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

/// Removes hop-by-hop fields, including those named by `Connection`.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = (headers.get_all(header::CONNECTION).into_iter())
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_FIELDS {
        headers.remove(name);
    }
}

/// What a proxy tells an upstream about the origin of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Forwarding {
    /// `Host` sent to the upstream; `None` keeps the client's.
    pub host: Option<String>,
    /// The proxy's name in `Via`; `None` adds no `Via`.
    pub via: Option<String>,
    /// Whether to send `X-Forwarded-For`, `X-Forwarded-Host` and `X-Forwarded-Proto`.
    pub x_forwarded: bool,
    /// Whether to send `Forwarded` (RFC 7239).
    pub forwarded: bool,
}

/// Turns the header fields of a client's request into those of the upstream request: removes hop-by-hop fields and
/// adds the proxy's own. `addr` is the upstream address, used as `Host` if the client sent none.
pub fn forward_headers(headers: &mut HeaderMap, config: &Forwarding, client: Option<IpAddr>, addr: &str) {
    strip_hop_by_hop_headers(headers);
    let client_host = headers.get(header::HOST).cloned();
    let set = |headers: &mut HeaderMap, name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    let append = |headers: &mut HeaderMap, name: &'static str, text: &str| {
        let existing =
            headers.get_all(name).into_iter().filter_map(|v| v.to_str().ok()).collect::<Vec<_>>().join(", ");
        let all = if existing.is_empty() { text.to_owned() } else { format!("{existing}, {text}") };
        set(headers, name, &all);
    };
    match (&config.host, &client_host) {
        (Some(host), _) => set(headers, "host", host),
        (None, None) => set(headers, "host", addr),
        (None, Some(_)) => {}
    }
    let client_host = client_host.as_ref().and_then(|h| h.to_str().ok());
    if config.x_forwarded {
        if let Some(client) = client {
            append(headers, "x-forwarded-for", &client.to_string());
        }
        if let Some(host) = client_host {
            set(headers, "x-forwarded-host", host);
        }
        set(headers, "x-forwarded-proto", "http");
    }
    if config.forwarded {
        let node = match client {
            Some(IpAddr::V6(ip)) => format!("\"[{ip}]\""),
            Some(IpAddr::V4(ip)) => ip.to_string(),
            None => "unknown".into(),
        };
        let is_quotable = |h: &&str| h.bytes().all(|b| b.is_ascii_graphic() && b != b'"' && b != b'\\');
        let host = client_host.filter(is_quotable).map(|h| format!(";host=\"{h}\"")).unwrap_or_default();
        append(headers, "forwarded", &format!("for={node}{host};proto=http"));
    }
    if let Some(name) = &config.via {
        append(headers, "via", &format!("1.1 {name}"));
    }
}
