//! Look-up of the route of a request: by its host, then by the longest path prefix.

use crate::fault_collector::FaultCollector;
use crate::host_name::normalized_host;
use crate::reason::FaultReason;
use crate::route::Route;
use std::collections::HashMap;

/// The routes, grouped by normalized host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Entries of each host, sorted by path prefix.
    hosts: HashMap<String, Vec<Entry>>,
}

/// Entry of a route in the list of its host.
#[derive(Clone, Debug)]
struct Entry {
    /// Index of the entry's route in the list of routes.
    route: usize,
    /// Index, among the entries of the same host, of the longest other prefix with which this entry's prefix begins.
    parent: Option<usize>,
}

impl RouteTable {
    /// Builds the table by sorting the routes; two routes with the same host and prefix are a fault.
    pub fn new(routes: &[Route], faults: &FaultCollector) -> RouteTable {
        let mut hosts: HashMap<String, Vec<Entry>> = HashMap::new();
        // A route with an empty host or prefix is a placeholder for a value that was already reported as a fault.
        let complete = |route: &Route| !route.host.is_empty() && !route.path_prefix.is_empty();
        for (index, route) in routes.iter().enumerate().filter(|(_, route)| complete(route)) {
            let host = normalized_host(&route.host).into_owned();
            hosts.entry(host).or_default().push(Entry { route: index, parent: None });
        }
        for entries in hosts.values_mut() {
            entries.sort_by_key(|entry| (&routes[entry.route].path_prefix, entry.route));
            for index in 1..entries.len() {
                report_duplicate(entries, index, routes, faults);
                entries[index].parent = find_parent(entries, index, routes);
            }
        }
        RouteTable { hosts }
    }

    /// Returns the index of a request's route in `routes`, which must be the list from which the table was built.
    pub fn find(&self, routes: &[Route], host: &str, path: &str) -> Option<usize> {
        let path = path.split('?').next().unwrap_or_default();
        let entries = self.hosts.get(normalized_host(host).as_ref())?;
        let prefix = |index: usize| routes[entries[index].route].path_prefix.as_str();
        // All prefixes that sort between the longest matching prefix and the path begin with the matching prefix. The last prefix
        // that does not sort after the path is therefore the matching prefix or begins with it.
        let not_after = entries.partition_point(|entry| routes[entry.route].path_prefix.as_str() <= path);
        let mut index = not_after.checked_sub(1)?;
        while !path.starts_with(prefix(index)) {
            index = entries[index].parent?;
        }
        Some(entries[index].route)
    }
}

fn report_duplicate(entries: &[Entry], index: usize, routes: &[Route], faults: &FaultCollector) {
    let (first, second) = (entries[index - 1].route, entries[index].route);
    if routes[first].path_prefix == routes[second].path_prefix {
        faults.add(format_args!("routes[{second}].path_prefix"), FaultReason::DuplicateRoute { first });
    }
}

/// Finds the parent of an entry, once all earlier entries have theirs: the parent is the previous entry or one of its ancestors.
fn find_parent(entries: &[Entry], index: usize, routes: &[Route]) -> Option<usize> {
    let prefix = |index: usize| routes[entries[index].route].path_prefix.as_str();
    let mut candidate = Some(index - 1);
    while let Some(other) = candidate.filter(|other| !prefix(index).starts_with(prefix(*other))) {
        candidate = entries[other].parent;
    }
    candidate
}
