//! What a route matches. Each condition is on one dimension, so that two patterns meet where they meet in each, and
//! one covers the other where it does in each.

use std::collections::BTreeMap;
use thiserror::Error;

/// Why a text is no condition on a path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// It does not begin with a slash.
    #[error("'{0}' does not begin with '/'")]
    NoLeadingSlash(String),
    /// It has a space, a query or a fragment.
    #[error("'{0}' is no path: no space, '?' or '#'")]
    ForbiddenCharacter(String),
    /// Braces stand around a part of a segment, or around nothing.
    #[error("'{0}': a free segment is '{{name}}', whole")]
    PartlyFreeSegment(String),
    /// A prefix has a free segment.
    #[error("a prefix has no free segments")]
    FreeSegmentInPrefix,
    /// A star stands elsewhere than at the end.
    #[error("'*' stands only at the end, as a segment of its own")]
    MisplacedStar,
}

/// A condition on the path, by segments. A query is not part of it, and nothing is decoded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Path {
    #[default]
    Any,
    /// All segments; `None` is one that is free. With none free the path is exact.
    Whole(Vec<Option<String>>),
    /// The first segments, and whatever follows.
    Prefix(Vec<String>),
}

/// Segments of a path, without what stands before its first slash.
pub fn segments(path: &str) -> impl Iterator<Item = &str> + Clone {
    path.split('?').next().unwrap_or_default().strip_prefix('/').unwrap_or_default().split('/')
}

impl Path {
    /// `/a/b` is exact, `/a/{x}` leaves one segment free, `/a/*` is a prefix.
    pub fn read(text: &str) -> Result<Path, PathError> {
        if !text.starts_with('/') {
            return Err(PathError::NoLeadingSlash(text.to_string()));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) || text.contains(['?', '#']) {
            return Err(PathError::ForbiddenCharacter(text.to_string()));
        }
        let all: Vec<&str> = segments(text).collect();
        let free = |segment: &str| segment.starts_with('{') && segment.ends_with('}') && segment.len() > 2;
        for segment in &all {
            if segment.contains(['{', '}']) && !free(segment) {
                return Err(PathError::PartlyFreeSegment(segment.to_string()));
            }
        }
        if let Some((last, first)) = all.split_last().filter(|(last, _)| **last == "*") {
            debug_assert_eq!(*last, "*");
            // A prefix with a free segment would make two routes cover a third together, which no pairwise check sees.
            if first.iter().any(|segment| free(segment) || segment.contains('*')) {
                return Err(PathError::FreeSegmentInPrefix);
            }
            return Ok(match first.is_empty() {
                true => Path::Any,
                false => Path::Prefix(first.iter().map(|segment| segment.to_string()).collect()),
            });
        }
        if all.iter().any(|segment| segment.contains('*')) {
            return Err(PathError::MisplacedStar);
        }
        Ok(Path::Whole(all.iter().map(|s| (!free(s)).then(|| s.to_string())).collect()))
    }

    pub fn matches(&self, path: &str) -> bool {
        match self {
            Path::Any => true,
            Path::Whole(own) => {
                let mut given = segments(path);
                own.iter().all(|s| given.next().is_some_and(|g| s.as_ref().is_none_or(|s| s == g)))
                    && given.next().is_none()
            }
            Path::Prefix(own) => {
                let mut given = segments(path);
                own.iter().all(|s| given.next().is_some_and(|g| s == g))
            }
        }
    }

    /// Some path matches both.
    pub fn meets(&self, other: &Path) -> bool {
        match (self, other) {
            (Path::Any, _) | (_, Path::Any) => true,
            (Path::Prefix(a), Path::Prefix(b)) => a.iter().zip(b).all(|(a, b)| a == b),
            (Path::Prefix(a), Path::Whole(b)) | (Path::Whole(b), Path::Prefix(a)) => {
                a.len() <= b.len() && a.iter().zip(b).all(|(a, b)| b.as_ref().is_none_or(|b| a == b))
            }
            (Path::Whole(a), Path::Whole(b)) => {
                let same = |(a, b): (&Option<String>, &Option<String>)| a.is_none() || b.is_none() || a == b;
                a.len() == b.len() && a.iter().zip(b).all(same)
            }
        }
    }

    /// Every path that matches both of the two others matches this one. They must meet.
    fn covers(&self, a: &Path, b: &Path) -> bool {
        // Of the paths that match both, each segment is given by one of them or free.
        let known = |at: usize| -> Option<&str> {
            [a, b].into_iter().find_map(|path| match path {
                Path::Any => None,
                Path::Whole(own) => own.get(at).and_then(|s| s.as_deref()),
                Path::Prefix(own) => own.get(at).map(String::as_str),
            })
        };
        let length = [a, b].into_iter().find_map(|path| match path {
            Path::Whole(own) => Some(own.len()),
            _ => None,
        });
        match self {
            Path::Any => true,
            Path::Prefix(own) => own.iter().enumerate().all(|(at, s)| known(at) == Some(s)),
            Path::Whole(own) => {
                length == Some(own.len())
                    && own.iter().enumerate().all(|(at, s)| s.as_ref().is_none_or(|s| known(at) == Some(s)))
            }
        }
    }

    /// Every path that matches the other matches this one.
    pub fn covers_one(&self, other: &Path) -> bool {
        self.meets(other) && self.covers(other, other)
    }

    /// How specific it is: exact before templates before prefixes; of templates the one with more fixed segments, of
    /// prefixes the longer.
    fn rank(&self) -> (u8, usize) {
        match self {
            Path::Any => (0, 0),
            Path::Prefix(own) => (1, own.len()),
            Path::Whole(own) if own.iter().any(Option::is_none) => (2, own.iter().flatten().count()),
            Path::Whole(own) => (3, own.len()),
        }
    }
}

/// All conditions of a route. A header's name is in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern {
    pub path: Path,
    pub category: Option<usize>,
    pub tenant: Option<String>,
    pub method: Option<String>,
    pub headers: BTreeMap<String, String>,
}

/// A request, as far as routes look at it.
pub struct Request<'a> {
    pub path: &'a str,
    pub method: &'a str,
    pub category: usize,
    pub tenant: Option<&'a str>,
    /// The value of a header by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Option<&'a str>,
}

impl Pattern {
    /// All but the path.
    pub fn matches_rest(&self, request: &Request) -> bool {
        self.category.is_none_or(|category| category == request.category)
            && self.tenant.as_deref().is_none_or(|tenant| request.tenant == Some(tenant))
            && self.method.as_deref().is_none_or(|method| request.method == method)
            && self.headers.iter().all(|(name, value)| (request.header)(name) == Some(value))
    }

    pub fn matches(&self, request: &Request) -> bool {
        self.path.matches(request.path) && self.matches_rest(request)
    }

    /// Some request matches both.
    pub fn meets(&self, other: &Pattern) -> bool {
        fn same<T: PartialEq>(a: &Option<T>, b: &Option<T>) -> bool {
            a.is_none() || b.is_none() || a == b
        }
        let headers = |name: &String, value: &String| other.headers.get(name).is_none_or(|own| own == value);
        same(&self.category, &other.category)
            && same(&self.tenant, &other.tenant)
            && same(&self.method, &other.method)
            && self.headers.iter().all(|(name, value)| headers(name, value))
            && self.path.meets(&other.path)
    }

    /// Every request of a category that matches both of the two others matches this one. They must meet.
    pub fn covers(&self, a: &Pattern, b: &Pattern, category: usize) -> bool {
        fn given<T: PartialEq>(own: &Option<T>, a: &Option<T>, b: &Option<T>) -> bool {
            own.is_none() || own == a || own == b
        }
        let header = |name: &String, value: &String| {
            a.headers.get(name) == Some(value) || b.headers.get(name) == Some(value)
        };
        self.category.is_none_or(|own| own == category)
            && given(&self.tenant, &a.tenant, &b.tenant)
            && given(&self.method, &a.method, &b.method)
            && self.headers.iter().all(|(name, value)| header(name, value))
            && self.path.covers(&a.path, &b.path)
    }

    /// The order of precedence, the higher first: the path, then how many other conditions there are. What covers
    /// another is never before it.
    pub fn rank(&self) -> (u8, usize, usize) {
        let (kind, length) = self.path.rank();
        let one = usize::from;
        let others = one(self.category.is_some()) + one(self.tenant.is_some()) + one(self.method.is_some());
        (kind, length, others + self.headers.len())
    }
}
