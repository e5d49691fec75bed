//! Reading of the routes of a file: from its sections to the rules of a table, which is then checked.

use crate::check::check;
use crate::limits::Limits;
use crate::pattern::{Path, Pattern};
use crate::table::{Kind, Rule, Table};
use crate::Ground;
use stileroute_operator_file::{suggestion, Located, Section};

impl Table {
    /// Reads the routes of a file and checks them against the ground; faults go to the reader.
    pub fn read(keys: &Section, ground: &Ground) -> Option<Table> {
        let mut rules = Vec::new();
        let (mut node_budget, mut tenant_header) = (None, None);
        if let Some(node) = keys.table("node") {
            node_budget = Limits::read_budget(&node);
            tenant_header = node.text("tenant-header").map(|name| name.value.to_ascii_lowercase());
            node.finish();
        }
        if let Some(table) = keys.table("defaults") {
            let limits = Limits::read(&table, ground);
            let place = table.position();
            table.finish();
            rules.push(Rule {
                kind: Kind::Defaults,
                name: "defaults".to_string(),
                place,
                pattern: Pattern::default(),
                limits,
            });
        }
        for (name, table) in keys.named_tables("category") {
            let limits = Limits::read(&table, ground);
            if let Some(category) = category(&name, ground, &table) {
                let pattern = Pattern { category: Some(category), ..Pattern::default() };
                let own = format!("category {}", name.value);
                rules.push(Rule {
                    kind: Kind::Category,
                    name: own,
                    place: name.position.clone(),
                    pattern,
                    limits,
                });
            }
            table.finish();
        }
        rules.extend(read_routes(keys, ground, tenant_header.is_some()));
        let table = Table::new(rules, node_budget, tenant_header, ground);
        check(&table, ground, keys.log());
        Some(table)
    }
}

fn category(name: &Located<String>, ground: &Ground, keys: &Section) -> Option<usize> {
    let found = ground.categories.iter().position(|(own, ..)| *own == name.value);
    if found.is_none() {
        let all: Vec<&str> = ground.categories.iter().map(|(name, ..)| name.as_str()).collect();
        let reason = format!("there is no category '{}'{}", name.value, suggestion(name, &all));
        keys.log().add(name.position.clone(), reason, None);
    }
    found
}

/// A route as it stands in the file, before it inherits.
struct Draft {
    rule: Rule,
    inherits: Option<Located<String>>,
    /// It is only inherited from.
    base: bool,
}

fn read_routes(keys: &Section, ground: &Ground, tenants: bool) -> Vec<Rule> {
    let faults = keys.log();
    let mut drafts: Vec<Draft> = Vec::new();
    for table in keys.tables("route") {
        let place = table.position();
        let name = table.text("name");
        if name.is_none() {
            faults.add(place.clone(), "a route needs a name", None);
        }
        let inherits = table.text("inherits");
        let base = table.flag("base").is_some_and(|flag| flag.value);
        let limits = Limits::read(&table, ground);
        let pattern = match table.table("match") {
            Some(own) => {
                let pattern = read_pattern(&own, ground, tenants);
                if base {
                    faults.add(own.position(), "a base is only inherited from, and matches nothing", None);
                }
                own.finish();
                pattern
            }
            None => None,
        };
        if pattern.is_none() && !base {
            let plain = "matches nothing: it needs a match with a condition, or base = true";
            faults.add(place.clone(), plain, None);
        }
        table.finish();
        let Some(name) = name else { continue };
        if let Some(before) = drafts.iter().find(|draft| draft.rule.name == name.value) {
            let reason = format!("the name '{}' is taken by the route at {}", name.value, before.rule.place);
            faults.add(name.position.clone(), reason, None);
            continue;
        }
        let pattern = pattern.unwrap_or_default();
        let rule = Rule { kind: Kind::Route, name: name.value, place: name.position, pattern, limits };
        drafts.push(Draft { rule, inherits, base });
    }
    let mut rules = Vec::new();
    for draft in &drafts {
        let mut rule = draft.rule.clone();
        let (mut at, mut way) = (draft, vec![draft.rule.name.as_str()]);
        while let Some(from) = &at.inherits {
            if way.contains(&from.value.as_str()) {
                way.push(&from.value);
                faults.add(
                    from.position.clone(),
                    format!("inherits in a circle: {}", way.join(" from ")),
                    None,
                );
                break;
            }
            let Some(next) = drafts.iter().find(|draft| draft.rule.name == from.value) else {
                let all: Vec<&str> = drafts.iter().map(|draft| draft.rule.name.as_str()).collect();
                let reason = format!("there is no route '{}'{}", from.value, suggestion(&from.value, &all));
                faults.add(from.position.clone(), reason, None);
                break;
            };
            rule.limits = rule.limits.or(&next.rule.limits);
            way.push(&from.value);
            at = next;
        }
        if !draft.base {
            rules.push(rule);
        }
    }
    rules
}

/// The conditions of a route; none where there are none, or one is wrong.
fn read_pattern(keys: &Section, ground: &Ground, tenants: bool) -> Option<Pattern> {
    let faults = keys.log();
    let mut pattern = Pattern::default();
    let mut wrong = false;
    if let Some(path) = keys.text("path") {
        match Path::read(&path) {
            Ok(_) if path.value.starts_with("/-/") => {
                wrong = true;
                faults.add(path.position, "no request reaches it: the node answers /-/ itself", None);
            }
            Ok(own) => pattern.path = own,
            Err(error) => {
                wrong = true;
                faults.add(path.position, error.to_string(), None);
            }
        }
    }
    if let Some(name) = keys.text("category") {
        pattern.category = category(&name, ground, keys);
        wrong |= pattern.category.is_none();
    }
    if let Some(tenant) = keys.text("tenant") {
        if !tenants {
            faults.add(tenant.position.clone(), "no request reaches it: node.tenant-header is not set", None);
            wrong = true;
        }
        pattern.tenant = Some(tenant.value);
    }
    if let Some(method) = keys.text("method") {
        if method.value != "POST" {
            faults.add(
                method.position,
                format!("no request reaches it: {} is not served, only POST", method.value),
                None,
            );
            wrong = true;
        } else {
            pattern.method = Some(method.value);
        }
    }
    for (name, value) in keys.named_texts("header") {
        pattern.headers.insert(name.value.to_ascii_lowercase(), value);
    }
    if pattern == Pattern::default() && !wrong {
        faults.add(keys.position(), "has no condition: what holds for all goes to [defaults]", None);
        wrong = true;
    }
    (!wrong).then_some(pattern)
}
