//! The reasons for which a setting, or a complete text, is rejected.

use std::str::Utf8Error;

/// Reason for rejecting a value, or a text as a whole. Operators see the texts of the reasons, which are part of the interface.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FaultReason {
    /// The file could not be read from disk; holds the operating system's error message.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text is longer than the maximum length.
    #[error("longer than {limit} bytes")]
    TextTooLong {
        /// Maximum length of a text, in bytes.
        limit: usize,
    },
    /// The text is not UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] Utf8Error),
    /// The text is not JSON; holds the parser's error message.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The text holds a vertical tab or a form feed outside strings, which the parser would take for whitespace.
    #[error("not JSON: holds a blank that JSON does not know")]
    UnknownWhitespace,
    /// A number has more digits before its exponent than the parser keeps, so that the parser would return a different number.
    #[error("holds a number with too many digits")]
    TooManyDigits,
    /// A number has more characters than the parser counts without overflow.
    #[error("holds a number of more than {limit} characters")]
    NumberTooLong {
        /// Maximum length of a number, in characters.
        limit: usize,
    },
    /// The values of the text would take too much memory.
    #[error("holds too many values")]
    TooManyValues,
    /// A required key is missing.
    #[error("missing")]
    Missing,
    /// The value of a key has the wrong type, or is out of range.
    #[error("must be {expected}, is {found}")]
    WrongValue {
        /// Description of the values that the key accepts, in words.
        expected: &'static str,
        /// Description of the value that was found, in a few words.
        found: String,
    },
    /// A list has too many entries.
    #[error("holds more than {limit}")]
    TooManyEntries {
        /// Maximum number of entries of the list.
        limit: usize,
    },
    /// A route's path prefix does not begin with a slash.
    #[error("must begin with /")]
    NoLeadingSlash,
    /// A route's host consists only of a port.
    #[error("names a port alone")]
    PortWithoutHost,
    /// A route names a service that is not in the configuration.
    #[error("no service has the name {name}")]
    UnknownService {
        /// The beginning of the service name, in quotes.
        name: String,
    },
    /// A service has the same name as an earlier service.
    #[error("{name} is the name of backends[{first}] too")]
    DuplicateService {
        /// The beginning of the service name, in quotes.
        name: String,
        /// Index of the earlier service.
        first: usize,
    },
    /// A tenant has the same name as an earlier tenant.
    #[error("{name} is the name of customers[{first}] too")]
    DuplicateTenant {
        /// The beginning of the tenant name, in quotes.
        name: String,
        /// Index of the earlier tenant.
        first: usize,
    },
    /// A key of a tenant is also a key of an earlier tenant. The key is secret, so the fault does not quote it.
    #[error("holds a key that customers[{first}] has too")]
    SharedKey {
        /// Index of the earlier tenant.
        first: usize,
    },
    /// The value that should be a list of tenant keys is something else. The value is not quoted, because it may contain keys.
    #[error("must be a list of text that is not empty")]
    NoKeys,
    /// A route has the same host and path prefix as an earlier route.
    #[error("host and prefix are those of routes[{first}] too")]
    DuplicateRoute {
        /// Index of the earlier route.
        first: usize,
    },
    /// The text has more faults than are reported.
    #[error("{count} more faults are not told")]
    MoreFaults {
        /// Number of faults that were left out.
        count: usize,
    },
    /// A check by the program that reads the settings failed; holds that program's description of the fault.
    #[error("{0}")]
    FailedCheck(String),
}
