use serde_json::{Map, Value};

/// Stands for an odd value until the text is written.
const PLACEHOLDER: &str = "odd-value-placeholder";
const DEEP: usize = 200;
const VERY_DEEP: usize = 100_000;
const LONG: usize = 100_000;

/// JSON values at the ends of ranges, of any type, and text that is no JSON.
const VALUES: &[&str] = &[
    "null",
    "true",
    "0",
    "1",
    "-0",
    "-1",
    "1.5",
    "0.5",
    "187.5",
    "1e4",
    "-0.5",
    "100",
    "255",
    "256",
    "1e308",
    "1e400",
    "-1e400",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551614",
    "18446744073709551615",
    "18446744073709551616",
    "NaN",
    "Infinity",
    "\"NaN\"",
    "\"\"",
    "\"a b\"",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"%%%\"",
    "\"ready\"",
    "\"10.0.0.1:0\"",
    "\"10.0.0.1:70000\"",
    "\"[::1]:80\"",
    "\"0.0.0.0:80\"",
    "\"worker.example:80\"",
    "[]",
    "[null]",
    "{}",
    "{",
    "",
];

/// Changes valid JSON in one place: another value there, a field less, a field twice, other bytes, or an end that is missing. `pick`
/// returns a random number below its argument.
pub fn odd_json(text: &str, pick: &mut impl FnMut(usize) -> usize) -> Vec<u8> {
    let Ok(mut value) = serde_json::from_str::<Value>(text) else {
        return random_bytes(pick);
    };
    match pick(10) {
        0 => random_bytes(pick),
        1 => changed_bytes(text.as_bytes().to_vec(), pick),
        2 => {
            remove_field(&mut value, pick);
            value.to_string().into_bytes()
        }
        3 => {
            let field = repeat_field(&mut value, pick);
            let text = value.to_string();
            text.replace(PLACEHOLDER, &field).into_bytes()
        }
        _ => {
            replace_value(&mut value, pick);
            let placeholder = format!("\"{PLACEHOLDER}\"");
            let text = value.to_string();
            text.replace(&placeholder, &odd_value(pick)).into_bytes()
        }
    }
}

fn odd_value(pick: &mut impl FnMut(usize) -> usize) -> String {
    let nested = |depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    match pick(VALUES.len() + 6) {
        0 => nested(DEEP),
        1 => nested(VERY_DEEP),
        2 => "{\"a\":".repeat(DEEP) + &"}".repeat(DEEP),
        3 => format!("\"{}\"", "x".repeat(LONG)),
        4 => format!("[{}0]", "0,".repeat(LONG)),
        5 => "9".repeat(400),
        choice => VALUES[choice - 6].to_owned(),
    }
}

fn random_bytes(pick: &mut impl FnMut(usize) -> usize) -> Vec<u8> {
    let length = pick(64);
    (0..length).map(|_| random_byte(pick)).collect()
}

fn random_byte(pick: &mut impl FnMut(usize) -> usize) -> u8 {
    u8::try_from(pick(256)).unwrap_or(0)
}

fn changed_bytes(mut bytes: Vec<u8>, pick: &mut impl FnMut(usize) -> usize) -> Vec<u8> {
    let at = pick(bytes.len());
    match pick(3) {
        0 => bytes.truncate(at),
        1 => bytes[at] = random_byte(pick),
        _ => bytes.insert(at, random_byte(pick)),
    }
    bytes
}

fn replace_value(value: &mut Value, pick: &mut impl FnMut(usize) -> usize) {
    let is_here = pick(8) == 0;
    match value {
        Value::Object(fields) if !is_here && !fields.is_empty() => {
            if let Some(field) = nth_value(fields, pick) {
                replace_value(field, pick);
            }
        }
        Value::Array(elements) if !is_here && !elements.is_empty() => {
            let index = pick(elements.len());
            replace_value(&mut elements[index], pick);
        }
        value => *value = PLACEHOLDER.into(),
    }
}

fn nth_value<'a>(
    fields: &'a mut Map<String, Value>,
    pick: &mut impl FnMut(usize) -> usize,
) -> Option<&'a mut Value> {
    let index = pick(fields.len());
    fields.values_mut().nth(index)
}

/// Removes a field of a random object.
fn remove_field(value: &mut Value, pick: &mut impl FnMut(usize) -> usize) {
    let Some(fields) = random_object(value, pick) else {
        return;
    };
    let index = pick(fields.len().max(1));
    let name = fields.keys().nth(index).cloned();
    name.and_then(|name| fields.remove(&name));
}

/// Adds a field to a random object under a placeholder, and returns the name of another field of it.
fn repeat_field(value: &mut Value, pick: &mut impl FnMut(usize) -> usize) -> String {
    let Some(fields) = random_object(value, pick) else {
        return String::new();
    };
    let index = pick(fields.len().max(1));
    let field = fields.iter().nth(index);
    let (name, value) = field.map_or_else(Default::default, |(name, value)| {
        (name.clone(), value.clone())
    });
    fields.insert(PLACEHOLDER.to_owned(), value);
    name
}

fn random_object<'a>(
    value: &'a mut Value,
    pick: &mut impl FnMut(usize) -> usize,
) -> Option<&'a mut Map<String, Value>> {
    match value {
        Value::Object(fields) => {
            let has_objects = fields
                .values()
                .any(|value| value.is_object() || value.is_array());
            if has_objects && pick(2) == 0 {
                let nested = fields
                    .values_mut()
                    .filter(|value| value.is_object() || value.is_array());
                return nested.last().and_then(|value| random_object(value, pick));
            }
            Some(fields)
        }
        Value::Array(elements) if !elements.is_empty() => {
            let index = pick(elements.len());
            random_object(&mut elements[index], pick)
        }
        _ => None,
    }
}
