//! Lists the differences between two configurations as human-readable lines.

use jzon::JsonValue;

/// Lists the routes, services and tenants, by name, that the file adds, lacks or changes compared with the configuration in
/// force, and whether the limits differ. The API keys of tenants are not shown.
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
        |list: &JsonValue, name: &JsonValue| list.members().find(|entry| entry["name"] == *name).cloned();
    let mut lines = Vec::new();
    for entry in file.members() {
        match find(in_force, &entry["name"]) {
            None => lines.push(format!("{kind} {}: only in the file", entry["name"])),
            Some(other) if other != *entry => lines.push(format!("{kind} {}: differs", entry["name"])),
            Some(_) => {}
        }
    }
    for entry in in_force.members().filter(|entry| find(file, &entry["name"]).is_none()) {
        lines.push(format!("{kind} {}: only in force", entry["name"]));
    }
    lines
}
