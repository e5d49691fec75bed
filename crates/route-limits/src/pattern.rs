//! The patterns that routes match requests by. Each condition is on one dimension (path, category, tenant, method, a header). So
//! two patterns overlap if they overlap in each dimension, and one covers another if it does so in each dimension.

use std::collections::BTreeMap;
use thiserror::Error;

/// Why a text is not a valid path pattern.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path pattern does not begin with a slash.
    #[error("'{0}' does not begin with '/'")]
    NoLeadingSlash(String),
    /// The path pattern has a space or other non-graphic character, a query or a fragment.
    #[error("'{0}' is not a path: it must have no space, '?' or '#'")]
    ForbiddenCharacter(String),
    /// The path pattern has braces around only a part of a segment, or around no name.
    #[error("'{0}': a wildcard must be a whole segment, as '{{name}}'")]
    PartialWildcardSegment(String),
    /// A prefix pattern has a wildcard segment.
    #[error("a prefix must have no wildcard segments")]
    WildcardInPrefix,
    /// The path pattern has a star that is not the whole last segment.
    #[error("'*' must be the whole last segment")]
    MisplacedStar,
}

/// A condition on a request's path, by segments. The query is ignored, and percent-encoding is not decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Path {
    #[default]
    Any,
    /// All segments of the path; `None` is a wildcard that matches any one segment. Without wildcards the path is exact.
    Segments(Vec<Option<String>>),
    /// The first segments of the path; any segments may follow.
    Prefix(Vec<String>),
}

/// The segments of a path, without its query. A path that does not begin with a slash has one empty segment.
pub fn segments(path: &str) -> impl Iterator<Item = &str> + Clone {
    path.split('?').next().unwrap_or_default().strip_prefix('/').unwrap_or_default().split('/')
}

impl Path {
    /// Parses a path pattern: `/a/b` is exact, `/a/{x}` has one wildcard segment, `/a/*` is a prefix.
    pub fn parse(text: &str) -> Result<Path, PathError> {
        if !text.starts_with('/') {
            return Err(PathError::NoLeadingSlash(text.to_string()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) || text.contains(['?', '#']) {
            return Err(PathError::ForbiddenCharacter(text.to_string()));
        }
        let segments_given: Vec<&str> = segments(text).collect();
        let is_wildcard =
            |segment: &str| segment.starts_with('{') && segment.ends_with('}') && segment.len() > 2;
        for segment in &segments_given {
            if segment.contains(['{', '}']) && !is_wildcard(segment) {
                return Err(PathError::PartialWildcardSegment(segment.to_string()));
            }
        }
        if let Some((last, leading)) = segments_given.split_last().filter(|(last, _)| **last == "*") {
            debug_assert_eq!(*last, "*");
            // With wildcards in prefixes, two routes together could cover a third, which the pairwise safety check cannot
            // detect.
            if leading.iter().any(|segment| is_wildcard(segment) || segment.contains('*')) {
                return Err(PathError::WildcardInPrefix);
            }
            return Ok(match leading.is_empty() {
                true => Path::Any,
                false => Path::Prefix(leading.iter().map(|segment| segment.to_string()).collect()),
            });
        }
        if segments_given.iter().any(|segment| segment.contains('*')) {
            return Err(PathError::MisplacedStar);
        }
        Ok(Path::Segments(
            segments_given
                .iter()
                .map(|segment| (!is_wildcard(segment)).then(|| segment.to_string()))
                .collect(),
        ))
    }

    pub fn matches(&self, path: &str) -> bool {
        match self {
            Path::Any => true,
            Path::Segments(expected) => {
                let mut actual = segments(path);
                expected.iter().all(|segment| {
                    actual.next().is_some_and(|actual_segment| {
                        segment.as_ref().is_none_or(|segment| segment == actual_segment)
                    })
                }) && actual.next().is_none()
            }
            Path::Prefix(expected) => {
                let mut actual = segments(path);
                expected
                    .iter()
                    .all(|segment| actual.next().is_some_and(|actual_segment| segment == actual_segment))
            }
        }
    }

    /// Whether some path matches both patterns.
    pub fn overlaps(&self, other: &Path) -> bool {
        match (self, other) {
            (Path::Any, _) | (_, Path::Any) => true,
            (Path::Prefix(first), Path::Prefix(second)) => {
                first.iter().zip(second).all(|(first, second)| first == second)
            }
            (Path::Prefix(first), Path::Segments(second)) | (Path::Segments(second), Path::Prefix(first)) => {
                first.len() <= second.len()
                    && first
                        .iter()
                        .zip(second)
                        .all(|(first, second)| second.as_ref().is_none_or(|second| first == second))
            }
            (Path::Segments(first), Path::Segments(second)) => {
                let compatible = |(first, second): (&Option<String>, &Option<String>)| {
                    first.is_none() || second.is_none() || first == second
                };
                first.len() == second.len() && first.iter().zip(second).all(compatible)
            }
        }
    }

    /// Whether every path that matches both `first` and `second` matches this pattern. The two must overlap.
    fn covers_overlap(&self, first: &Path, second: &Path) -> bool {
        // Of the paths that match both, each segment is fixed by one of the two patterns, or may be anything.
        let fixed_segment = |index: usize| -> Option<&str> {
            [first, second].into_iter().find_map(|path| match path {
                Path::Any => None,
                Path::Segments(expected) => expected.get(index).and_then(|segment| segment.as_deref()),
                Path::Prefix(expected) => expected.get(index).map(String::as_str),
            })
        };
        let length = [first, second].into_iter().find_map(|path| match path {
            Path::Segments(expected) => Some(expected.len()),
            _ => None,
        });
        match self {
            Path::Any => true,
            Path::Prefix(expected) => {
                expected.iter().enumerate().all(|(index, segment)| fixed_segment(index) == Some(segment))
            }
            Path::Segments(expected) => {
                length == Some(expected.len())
                    && expected.iter().enumerate().all(|(index, segment)| {
                        segment.as_ref().is_none_or(|segment| fixed_segment(index) == Some(segment))
                    })
            }
        }
    }

    /// Whether every path that matches `other` matches this pattern.
    pub fn covers_path(&self, other: &Path) -> bool {
        self.overlaps(other) && self.covers_overlap(other, other)
    }

    /// The precedence of a path pattern, higher for a more specific one: exact paths come before those with wildcards, and these
    /// before prefixes. More fixed segments take precedence among paths with wildcards, and longer ones among prefixes.
    fn precedence(&self) -> (u8, usize) {
        match self {
            Path::Any => (0, 0),
            Path::Prefix(expected) => (1, expected.len()),
            Path::Segments(expected) if expected.iter().any(Option::is_none) => {
                (2, expected.iter().flatten().count())
            }
            Path::Segments(expected) => (3, expected.len()),
        }
    }
}

/// All conditions of a route. Header names are in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern {
    pub path: Path,
    pub category: Option<usize>,
    pub tenant: Option<String>,
    pub method: Option<String>,
    pub headers: BTreeMap<String, String>,
}

/// The properties of a request that routes match.
pub struct Request<'a> {
    pub path: &'a str,
    pub method: &'a str,
    pub category: usize,
    pub tenant: Option<&'a str>,
    /// Returns the value of a header, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

impl Pattern {
    /// Whether all conditions but the one on the path match.
    pub fn matches_rest(&self, request: &Request) -> bool {
        self.category.is_none_or(|category| category == request.category)
            && self.tenant.as_deref().is_none_or(|tenant| request.tenant == Some(tenant))
            && self.method.as_deref().is_none_or(|method| request.method == method)
            && self.headers.iter().all(|(name, value)| (request.header)(name) == Some(value))
    }

    pub fn matches(&self, request: &Request) -> bool {
        self.path.matches(request.path) && self.matches_rest(request)
    }

    /// Whether some request matches both patterns.
    pub fn overlaps(&self, other: &Pattern) -> bool {
        fn compatible<T: PartialEq>(first: &Option<T>, second: &Option<T>) -> bool {
            first.is_none() || second.is_none() || first == second
        }
        let headers =
            |name: &String, value: &String| other.headers.get(name).is_none_or(|expected| expected == value);
        compatible(&self.category, &other.category)
            && compatible(&self.tenant, &other.tenant)
            && compatible(&self.method, &other.method)
            && self.headers.iter().all(|(name, value)| headers(name, value))
            && self.path.overlaps(&other.path)
    }

    /// Whether every request of a category that matches both `first` and `second` matches this pattern. The two must overlap.
    pub fn covers_overlap(&self, first: &Pattern, second: &Pattern, category: usize) -> bool {
        fn implied<T: PartialEq>(expected: &Option<T>, first: &Option<T>, second: &Option<T>) -> bool {
            expected.is_none() || expected == first || expected == second
        }
        let header = |name: &String, value: &String| {
            first.headers.get(name) == Some(value) || second.headers.get(name) == Some(value)
        };
        self.category.is_none_or(|expected| expected == category)
            && implied(&self.tenant, &first.tenant, &second.tenant)
            && implied(&self.method, &first.method, &second.method)
            && self.headers.iter().all(|(name, value)| header(name, value))
            && self.path.covers_overlap(&first.path, &second.path)
    }

    /// The precedence of a pattern, higher for a more specific one: first by its path, then by the number of its other
    /// conditions. A pattern that covers another never takes precedence over it.
    pub fn precedence(&self) -> (u8, usize, usize) {
        let (path_kind, length) = self.path.precedence();
        let count = usize::from;
        let other_conditions =
            count(self.category.is_some()) + count(self.tenant.is_some()) + count(self.method.is_some());
        (path_kind, length, other_conditions + self.headers.len())
    }
}
