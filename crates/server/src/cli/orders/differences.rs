//! What differs between two configurations, in lines for an operator.

use jzon::JsonValue;

/// Routes, services and tenants by their names, and the limits; of tenants no key is shown: what a file adds to, lacks of and changes in what is in force.
pub fn differences(in_force: &[u8], file: &[u8]) -> Vec<String> {
    let parse = |bytes: &[u8]| jzon::parse(&String::from_utf8_lossy(bytes)).unwrap_or(JsonValue::Null);
    let (in_force, file) = (parse(in_force), parse(file));
    let mut lines = Vec::new();
    for (key, kind) in [("routes", "route"), ("backends", "service"), ("customers", "tenant")] {
        lines.extend(differences_of_list(kind, &in_force[key], &file[key]));
    }
    if in_force["limits"] != file["limits"] {
        lines.push("limits: differ".to_string());
    }
    lines
}

fn differences_of_list(kind: &str, in_force: &JsonValue, file: &JsonValue) -> Vec<String> {
    let find =
        |list: &JsonValue, name: &JsonValue| list.members().find(|part| part["name"] == *name).cloned();
    let mut lines = Vec::new();
    for part in file.members() {
        match find(in_force, &part["name"]) {
            None => lines.push(format!("{kind} {}: only in the file", part["name"])),
            Some(other) if other != *part => lines.push(format!("{kind} {}: differs", part["name"])),
            Some(_) => {}
        }
    }
    for part in in_force.members().filter(|part| find(file, &part["name"]).is_none()) {
        lines.push(format!("{kind} {}: only in force", part["name"]));
    }
    lines
}
