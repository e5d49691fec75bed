//! Reads the routes of an operator's file into the rules of a table, and checks the table.

use crate::check::check;
use crate::limits::Limits;
use crate::pattern::{Path, Pattern};
use crate::table::{Rule, RuleKind, Table};
use crate::PlatformSettings;
use stileroute_operator_file::{suggestion, Located, Section};

impl Table {
    /// Reads the routes of a file and checks them against the platform's settings. Faults are added to the log of `keys`.
    pub fn read(keys: &Section, platform: &PlatformSettings) -> Option<Table> {
        let mut rules = Vec::new();
        let (mut node_budget, mut tenant_header) = (None, None);
        if let Some(node) = keys.table("node") {
            node_budget = Limits::read_retry_budget(&node);
            tenant_header = node.text("tenant-header").map(|name| name.value.to_ascii_lowercase());
            node.finish();
        }
        if let Some(table) = keys.table("defaults") {
            let limits = Limits::read(&table, platform);
            let position = table.position();
            table.finish();
            rules.push(Rule {
                kind: RuleKind::Defaults,
                name: "defaults".to_string(),
                position,
                pattern: Pattern::default(),
                limits,
            });
        }
        for (name, table) in keys.named_tables("category") {
            let limits = Limits::read(&table, platform);
            if let Some(category) = find_category(&name, platform, &table) {
                let pattern = Pattern { category: Some(category), ..Pattern::default() };
                let rule_name = format!("category {}", name.value);
                rules.push(Rule {
                    kind: RuleKind::Category,
                    name: rule_name,
                    position: name.position.clone(),
                    pattern,
                    limits,
                });
            }
            table.finish();
        }
        rules.extend(read_routes(keys, platform, tenant_header.is_some()));
        let table = Table::new(rules, node_budget, tenant_header, platform);
        check(&table, platform, keys.log());
        Some(table)
    }
}

fn find_category(name: &Located<String>, platform: &PlatformSettings, keys: &Section) -> Option<usize> {
    let found = platform.categories.iter().position(|(known, ..)| *known == name.value);
    if found.is_none() {
        let known_names: Vec<&str> = platform.categories.iter().map(|(name, ..)| name.as_str()).collect();
        let reason = format!("there is no category '{}'{}", name.value, suggestion(name, &known_names));
        keys.log().add(name.position.clone(), reason, None);
    }
    found
}

/// A route as the file has it, before limits are inherited.
struct RouteDraft {
    rule: Rule,
    inherits: Option<Located<String>>,
    /// The route matches no requests: other routes inherit from it.
    is_base: bool,
}

fn read_routes(keys: &Section, platform: &PlatformSettings, has_tenant_header: bool) -> Vec<Rule> {
    let faults = keys.log();
    let mut drafts: Vec<RouteDraft> = Vec::new();
    for table in keys.tables("route") {
        let position = table.position();
        let name = table.text("name");
        if name.is_none() {
            faults.add(position.clone(), "a route needs a name", None);
        }
        let inherits = table.text("inherits");
        let is_base = table.flag("base").is_some_and(|flag| flag.value);
        let limits = Limits::read(&table, platform);
        let pattern = match table.table("match") {
            Some(conditions) => {
                let pattern = read_pattern(&conditions, platform, has_tenant_header);
                if is_base {
                    faults.add(
                        conditions.position(),
                        "a base must have no match: other routes inherit from it, and it matches no request itself",
                        None,
                    );
                }
                conditions.finish();
                pattern
            }
            None => None,
        };
        if pattern.is_none() && !is_base {
            let reason = "matches no request: it needs a match with a condition, or base = true";
            faults.add(position.clone(), reason, None);
        }
        table.finish();
        let Some(name) = name else { continue };
        if let Some(earlier) = drafts.iter().find(|draft| draft.rule.name == name.value) {
            let reason =
                format!("the name '{}' is taken by the route at {}", name.value, earlier.rule.position);
            faults.add(name.position.clone(), reason, None);
            continue;
        }
        let pattern = pattern.unwrap_or_default();
        let rule = Rule { kind: RuleKind::Route, name: name.value, position: name.position, pattern, limits };
        drafts.push(RouteDraft { rule, inherits, is_base });
    }
    let mut rules = Vec::new();
    for draft in &drafts {
        let mut rule = draft.rule.clone();
        let (mut current, mut inheritance_chain) = (draft, vec![draft.rule.name.as_str()]);
        while let Some(from) = &current.inherits {
            if inheritance_chain.contains(&from.value.as_str()) {
                inheritance_chain.push(&from.value);
                faults.add(
                    from.position.clone(),
                    format!("inheritance cycle: {}", inheritance_chain.join(" from ")),
                    None,
                );
                break;
            }
            let Some(next) = drafts.iter().find(|draft| draft.rule.name == from.value) else {
                let known_names: Vec<&str> = drafts.iter().map(|draft| draft.rule.name.as_str()).collect();
                let reason =
                    format!("there is no route '{}'{}", from.value, suggestion(&from.value, &known_names));
                faults.add(from.position.clone(), reason, None);
                break;
            };
            rule.limits = rule.limits.or(&next.rule.limits);
            inheritance_chain.push(&from.value);
            current = next;
        }
        if !draft.is_base {
            rules.push(rule);
        }
    }
    rules
}

/// Reads the conditions of a route; `None` if there are none, or one is invalid.
fn read_pattern(keys: &Section, platform: &PlatformSettings, has_tenant_header: bool) -> Option<Pattern> {
    let faults = keys.log();
    let mut pattern = Pattern::default();
    let mut invalid = false;
    if let Some(path) = keys.text("path") {
        match Path::parse(&path) {
            Ok(_) if path.value.starts_with("/-/") => {
                invalid = true;
                faults.add(path.position, "no request reaches it: the node answers /-/ itself", None);
            }
            Ok(parsed) => pattern.path = parsed,
            Err(error) => {
                invalid = true;
                faults.add(path.position, error.to_string(), None);
            }
        }
    }
    if let Some(name) = keys.text("category") {
        pattern.category = find_category(&name, platform, keys);
        invalid |= pattern.category.is_none();
    }
    if let Some(tenant) = keys.text("tenant") {
        if !has_tenant_header {
            faults.add(tenant.position.clone(), "no request reaches it: node.tenant-header is not set", None);
            invalid = true;
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
            invalid = true;
        } else {
            pattern.method = Some(method.value);
        }
    }
    for (name, value) in keys.named_texts("header") {
        pattern.headers.insert(name.value.to_ascii_lowercase(), value);
    }
    if pattern == Pattern::default() && !invalid {
        faults.add(keys.position(), "has no condition: limits for all requests belong in [defaults]", None);
        invalid = true;
    }
    (!invalid).then_some(pattern)
}
