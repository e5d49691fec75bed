//! The reasons for which a setting, or a whole text, is refused.

use std::str::Utf8Error;

/// Why a value, or a text as a whole, is refused. The texts are what operators see; they are part of the interface.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FaultReason {
    /// The file could not be read from disk; the operating system's message.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The text has more bytes than are read.
    #[error("longer than {limit} bytes")]
    TextTooLong {
        /// Most bytes that are read.
        limit: usize,
    },
    /// The text is not UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] Utf8Error),
    /// The text is not JSON; the parser's message.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The text holds a vertical tab or a form feed outside strings, which the parser would take for whitespace.
    #[error("not JSON: holds a blank that JSON does not know")]
    UnknownWhitespace,
    /// A number has more digits before its exponent than the parser keeps, so that it would read another number.
    #[error("holds a number with too many digits")]
    TooManyDigits,
    /// A number has more characters than the parser counts safely.
    #[error("holds a number of more than {limit} characters")]
    NumberTooLong {
        /// Most characters of a number.
        limit: usize,
    },
    /// The values of the text would take too much memory.
    #[error("holds too many values")]
    TooManyValues,
    /// The key is required and not there.
    #[error("missing")]
    Missing,
    /// The value has the wrong type, or is out of range.
    #[error("must be {expected}, is {found}")]
    WrongValue {
        /// What the key takes, in words.
        expected: &'static str,
        /// The value that is there, in a few words.
        found: String,
    },
    /// A list has too many entries.
    #[error("holds more than {limit}")]
    TooManyEntries {
        /// Most entries of the list.
        limit: usize,
    },
    /// A route's path prefix does not begin with a slash.
    #[error("must begin with /")]
    NoLeadingSlash,
    /// A route's host name consists of a port.
    #[error("names a port alone")]
    PortWithoutHost,
    /// A route names a service that is not in the configuration.
    #[error("no service has the name {name}")]
    UnknownService {
        /// The beginning of the name, in quotes.
        name: String,
    },
    /// A service has the name of an earlier one.
    #[error("{name} is the name of backends[{first}] too")]
    DuplicateService {
        /// The beginning of the name, in quotes.
        name: String,
        /// Index of the earlier service.
        first: usize,
    },
    /// A tenant has the name of an earlier one.
    #[error("{name} is the name of customers[{first}] too")]
    DuplicateTenant {
        /// The beginning of the name, in quotes.
        name: String,
        /// Index of the earlier tenant.
        first: usize,
    },
    /// A key is one of an earlier tenant's, too. The key itself isn't told.
    #[error("holds a key that customers[{first}] has too")]
    SharedKey {
        /// Index of the earlier tenant.
        first: usize,
    },
    /// What should be keys is something else. What is there isn't told, for it may hold some.
    #[error("must be a list of text that is not empty")]
    NoKeys,
    /// A route has the host and the path prefix of an earlier one.
    #[error("host and prefix are those of routes[{first}] too")]
    DuplicateRoute {
        /// Index of the earlier route.
        first: usize,
    },
    /// There are more faults than are reported.
    #[error("{count} more faults are not told")]
    MoreFaults {
        /// How many faults were left out.
        count: usize,
    },
    /// A check of the program that reads the settings failed, in its words.
    #[error("{0}")]
    FailedCheck(String),
}
