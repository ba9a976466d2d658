//! Validation that reports all mistakes in a config file at once.

use super::LocalConfig;
use super::Role;
use serde_yaml_ng::Mapping;
use serde_yaml_ng::Value;

/// A config that is valid for every role. The keys of the checked file are inserted into it one at a time.
const VALID_CONFIG: &str = "{name: vm, role: core, data_centre: dc, ip: 127.0.0.1, peer_port: 7000, seeds: '127.0.0.1:1', \
    callers_address: '127.0.0.1:2', readiness_address: '127.0.0.1:3', control_address: '127.0.0.1:4', data_folder: /data}";
/// Keys that are required for every role.
const REQUIRED: [&str; 6] = ["name", "role", "data_centre", "ip", "peer_port", "seeds"];
/// Keys of the sections.
const SECTIONS: [&str; 2] = ["bounds", "policy"];

/// Whether a file is the config of an entry or a core of a deployment, and not that of an entry that lists all other entries.
pub fn is_deployment_config(bytes: &[u8]) -> bool {
    serde_yaml_ng::from_slice::<Mapping>(bytes).is_ok_and(|file| file.contains_key("role"))
}

/// Returns all mistakes in a file; empty if a process can start with it.
pub fn problems(bytes: &[u8]) -> Vec<String> {
    let file: Mapping = match serde_yaml_ng::from_slice(bytes) {
        Ok(file) => file,
        Err(error) => return vec![format!("this is no mapping: {error}")],
    };
    let mut problems = Vec::new();
    for (key, value) in &file {
        match (key.as_str(), value) {
            (Some(section), Value::Mapping(entries)) if SECTIONS.contains(&section) => {
                for (entry, value) in entries {
                    let one = Mapping::from_iter([(entry.clone(), value.clone())]);
                    problems.extend(problem_with(key, Value::Mapping(one)));
                }
            }
            _ => problems.extend(problem_with(key, value.clone())),
        }
    }
    for key in REQUIRED {
        if !file.contains_key(key) {
            problems.push(format!("`{key}` is missing"));
        }
    }
    problems.extend(missing_for_role(&file));
    problems
}

/// Checks one key with all other keys valid.
fn problem_with(key: &Value, value: Value) -> Option<String> {
    let mut file: Mapping = serde_yaml_ng::from_str(VALID_CONFIG).ok()?;
    file.insert(key.clone(), value);
    let text = serde_yaml_ng::to_string(&file).ok()?;
    let failure = LocalConfig::parse(text.as_bytes()).err()?;
    let key = key.as_str().unwrap_or("?");
    // The line number in the message refers to the file composed here, not to the operator's.
    let what = failure.label.split(" at line ").next().unwrap_or("");
    Some(format!("`{key}`: {what}"))
}

fn missing_for_role(file: &Mapping) -> Vec<String> {
    let role = file
        .get("role")
        .and_then(|role| serde_yaml_ng::from_value::<Role>(role.clone()).ok());
    let required: &[&str] = match role {
        Some(Role::Entry) => &["callers_address", "readiness_address"],
        Some(Role::Core) => &["control_address", "data_folder"],
        None => &[],
    };
    required
        .iter()
        .filter(|key| !file.contains_key(**key))
        .map(|key| format!("`{key}` is missing for this role"))
        .collect()
}
