//! The command line. Without a command the program serves.

use super::operator_file::{self, OperatorSettings};
use super::settings::{self, NodeSettings};
use clap::{CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use stileroute_operator_file::Position;
use stileroute_route_limits::pattern::{Path as Route, Request};
use stileroute_route_limits::table::{Rule, RuleKind};
use stileroute_route_limits::PlatformSettings;

/// stileroute: pushes jobs (ops) to workers (executors), beside each submitter.
///
/// Without a command it serves. The platform's settings are in the JSON file named by BALANCER_CONFIG; the
/// operators' settings are in the TOML file named by --operator. Exit codes: 0 success; 2 an invalid argument,
/// file or request, with one line per fault on standard error.
#[derive(Parser)]
#[command(name = "stileroute", version, disable_version_flag = true)]
pub struct Arguments {
    /// The operators' file; without it none of its features are enabled.
    #[arg(long, global = true, env = operator_file::PATH_VARIABLE, value_name = "FILE")]
    pub operator: Option<PathBuf>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves in the foreground until SIGTERM; SIGHUP reloads both files.
    Serve,
    /// Checks an operators' file against the settings and prints all of its faults.
    Check {
        /// The file; defaults to --operator.
        file: Option<PathBuf>,
    },
    /// Prints the routes that match a request, in order of precedence, and each effective limit with the line
    /// that sets it.
    Explain {
        /// The path of the request.
        #[arg(long, default_value = "/")]
        path: String,
        /// The category of the request.
        #[arg(long)]
        category: String,
        #[arg(long)]
        tenant: Option<String>,
        /// A header as NAME=VALUE; may be repeated.
        #[arg(long, value_name = "NAME=VALUE")]
        header: Vec<String>,
    },
    /// Lists all routes in order of precedence.
    Routes,
    /// Prints the version.
    Version,
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
}

type CommandResult = Result<Vec<String>, Vec<String>>;

fn fail<T>(line: String) -> Result<T, Vec<String>> {
    Err(vec![line])
}

/// Loads the settings and, if a path is given, the operators' file.
fn load_settings(
    path: Option<&Path>,
) -> Result<(NodeSettings, PlatformSettings, Option<OperatorSettings>), Vec<String>> {
    let settings =
        settings::read(|name| std::env::var(name).ok()).map_err(|error| vec![error.to_string()])?;
    let route_context = settings.route_context();
    let operator = match path {
        None => None,
        Some(path) => Some(
            operator_file::read(path, &route_context)
                .map_err(|faults| operator_file::fault_lines(&faults))?,
        ),
    };
    Ok((settings, route_context, operator))
}

impl Arguments {
    /// The output lines of every command but `serve`, or its faults.
    pub fn run(&self) -> CommandResult {
        let command = self.command.as_ref().unwrap_or(&Command::Serve);
        match command {
            Command::Serve => Ok(Vec::new()),
            Command::Version => Ok(vec![format!("stileroute {}", env!("CARGO_PKG_VERSION"))]),
            Command::Completions { shell } => {
                let mut out = Vec::new();
                clap_complete::generate(*shell, &mut Arguments::command(), "stileroute", &mut out);
                Ok(vec![String::from_utf8_lossy(&out).trim_end().to_string()])
            }
            Command::Check { file } => {
                let Some(path) = file.as_deref().or(self.operator.as_deref()) else {
                    return fail("check: name a file: stileroute check FILE".to_string());
                };
                let (_, _, operator) = load_settings(Some(path))?;
                let rules = operator.map_or(0, |operator| operator.routes.rules.len());
                Ok(vec![format!("{}: well, {rules} rules", path.display())])
            }
            Command::Routes => {
                let (_, route_context, operator) = self.load_required("routes")?;
                Ok(operator.routes.rules.iter().map(|rule| describe_rule(rule, &route_context)).collect())
            }
            Command::Explain { path, category, tenant, header } => {
                self.explain(path, category, tenant.as_deref(), header)
            }
        }
    }

    fn load_required(
        &self,
        what: &str,
    ) -> Result<(NodeSettings, PlatformSettings, OperatorSettings), Vec<String>> {
        match load_settings(self.operator.as_deref())? {
            (settings, route_context, Some(operator)) => Ok((settings, route_context, operator)),
            _ => fail(format!("{what}: no operators' file: name one with --operator")),
        }
    }

    fn explain(&self, path: &str, category: &str, tenant: Option<&str>, headers: &[String]) -> CommandResult {
        let (_, route_context, operator) = self.load_required("explain")?;
        let Some(at) = route_context.categories.iter().position(|(name, ..)| name == category) else {
            let names: Vec<&str> = route_context.categories.iter().map(|(name, ..)| name.as_str()).collect();
            return fail(format!("--category: there is no '{category}', only {}", names.join(", ")));
        };
        if !path.starts_with('/') {
            return fail(format!("--path: '{path}' does not begin with '/'"));
        }
        let mut given: Vec<(String, &str)> = Vec::new();
        for header in headers {
            let Some((name, value)) = header.split_once('=') else {
                return fail(format!("--header: '{header}' is not NAME=VALUE"));
            };
            given.push((name.to_ascii_lowercase(), value));
        }
        let header =
            |name: &str| given.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| *value);
        let request = Request { path, method: "POST", category: at, tenant, header: &header };
        let table = &operator.routes;
        let mut matching = Vec::new();
        table.matching(&request, &mut matching);
        let mut lines = vec![format!("{} rules match, the first goes before the others:", matching.len())];
        lines.extend(
            matching
                .iter()
                .map(|n| format!("  {}", describe_rule(&table.rules[*n as usize], &route_context))),
        );
        let effective = table.effective(&matching);
        let described = effective.describe(&route_context);
        lines.push("what holds:".to_string());
        for (key, value, place, rule) in described {
            let Position { line, .. } = place;
            lines.push(format!("  {key} = {value}  (line {line}, {})", table.rules[rule as usize].name));
        }
        let (_, ttl, header_name) = &route_context.categories[at];
        let effect = table.effect(at, &effective);
        lines.push(format!("  effect: {effect:?}, of the category: {:?}", header_name.effect));
        lines.push(format!(
            "  from the settings: TTL {} ms, {} pushes at most",
            *ttl as f64 / 10.0,
            route_context.terms.max_pushes
        ));
        Ok(lines)
    }
}

/// Describes a rule in one line.
fn describe_rule(rule: &Rule, route_context: &PlatformSettings) -> String {
    let pattern = &rule.pattern;
    let mut conditions = Vec::new();
    match &pattern.path {
        Route::Any => {}
        Route::Segments(header_name) => {
            let all: Vec<&str> = header_name.iter().map(|s| s.as_deref().unwrap_or("{}")).collect();
            conditions.push(format!("path /{}", all.join("/")));
        }
        Route::Prefix(header_name) => conditions.push(format!("path /{}/*", header_name.join("/"))),
    }
    if let Some(category) = pattern.category {
        conditions.push(format!("category {}", route_context.categories[category].0));
    }
    if let Some(tenant) = &pattern.tenant {
        conditions.push(format!("tenant {tenant}"));
    }
    if let Some(method) = &pattern.method {
        conditions.push(format!("method {method}"));
    }
    conditions.extend(pattern.headers.iter().map(|(name, value)| format!("header {name}={value}")));
    let what = if conditions.is_empty() { "everything".to_string() } else { conditions.join(", ") };
    let kind = if rule.kind == RuleKind::Route { "route " } else { "" };
    format!("{kind}{} (line {}): {what}", rule.name, rule.position.line)
}
