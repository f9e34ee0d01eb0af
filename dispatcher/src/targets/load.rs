//! Load reports of workers in the platform's protocol: an object in a call, or `name=value` pairs in the
//! `X-Load-Report` header of an answer or in the body of a probe's answer.

use crate::facade::Load;

/// The response header that carries a load report.
pub const LOAD_HEADER: &str = "x-load-report";

/// Sets a field by its name in the protocol or in the settings. Unknown names and values that are negative or
/// not finite are ignored, so that invalid reports do not influence decisions.
fn set_field(load: &mut Load, name: &str, value: f64) {
    let field = match name {
        "x0" => &mut load.free_slots,
        "queue" | "depth" => &mut load.queued,
        "inflight" | "concurrent" => &mut load.in_flight,
        _ => return,
    };
    if value.is_finite() && value >= 0.0 {
        *field = Some(value);
    }
}

fn non_empty(load: Load) -> Option<Load> {
    (load != Load::default()).then_some(load)
}

/// Parses the `load` object of a worker's call.
pub fn from_object(object: &serde_json::Map<String, serde_json::Value>) -> Option<Load> {
    let mut load = Load::default();
    for (name, value) in object {
        value.as_f64().into_iter().for_each(|value| set_field(&mut load, name, value));
    }
    non_empty(load)
}

/// Parses `TEXT inflight=7, queue=2`; words that are not a pair are ignored.
pub fn from_line(line: &str) -> Option<Load> {
    let mut load = Load::default();
    for (name, value) in line.split([',', ' ']).filter_map(|word| word.split_once('=')) {
        value.parse().into_iter().for_each(|value| set_field(&mut load, name, value));
    }
    non_empty(load)
}

/// Parses the body of a probe's answer, in either form.
pub fn from_body(body: &[u8]) -> Option<Load> {
    match serde_json::from_slice::<serde_json::Value>(body) {
        Ok(serde_json::Value::Object(object)) => match object.get("load") {
            Some(serde_json::Value::Object(inner)) => from_object(inner),
            _ => from_object(&object),
        },
        _ => std::str::from_utf8(body).ok().and_then(from_line),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_forms_parse_alike_and_invalid_input_is_ignored() {
        let load = Load { free_slots: Some(2.5), queued: Some(3.0), in_flight: Some(7.0) };
        assert_eq!(from_line("TEXT inflight=7, queue=3, x0=2.5, util=0.61"), Some(load));
        assert_eq!(from_body(br#"{"load":{"x0":2.5,"depth":3,"concurrent":7,"util":1}}"#), Some(load));
        assert_eq!(from_body(br#"{"x0":2.5,"queue":3,"inflight":7}"#), Some(load));
        for invalid in ["", "TEXT", "TEXT x0=", "TEXT x0=NaN", "TEXT x0=-1", "TEXT x0=inf, =3", "x0"] {
            assert_eq!(from_line(invalid), None, "{invalid:?}");
        }
        assert_eq!(from_body(&[0xff, b'x', b'0', b'=', b'1']), None);
    }
}
