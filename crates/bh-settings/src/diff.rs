//! Differences between two settings trees, one per value.

use crate::Settings;
use bh_protocol::Code;
use bh_protocol::Failure;
use serde_json::Value;
use std::collections::BTreeMap;

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// Path in the tree.
    pub path: String,
    /// Value before the change; `None` if the change adds it.
    pub before: Option<String>,
    /// Value after the change; `None` if the change removes it.
    pub after: Option<String>,
}

/// The values that differ between `before` and `after`, ordered by path.
///
/// # Errors
///
/// [`Code::Internal`] if a tree cannot be serialized; a valid tree always can.
pub fn between(before: &Settings, after: &Settings) -> Result<Vec<Difference>, Failure> {
    let old = flatten(before)?;
    let new = flatten(after)?;
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    let differences = paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            before: old.get(path).cloned(),
            after: new.get(path).cloned(),
        })
        .collect();
    Ok(differences)
}

/// Maps the path of each scalar value to its text.
fn flatten(settings: &Settings) -> Result<BTreeMap<String, String>, Failure> {
    let value = serde_json::to_value(settings)
        .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
    let mut flat = BTreeMap::new();
    flatten_value(String::new(), &value, &mut flat);
    Ok(flat)
}

fn flatten_value(path: String, value: &Value, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let next = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                flatten_value(next, inner, flat);
            }
        }
        Value::Array(items) => {
            for (index, inner) in items.iter().enumerate() {
                flatten_value(format!("{path}[{index}]"), inner, flat);
            }
        }
        Value::String(text) => {
            flat.insert(path, text.clone());
        }
        scalar => {
            flat.insert(path, scalar.to_string());
        }
    }
}
