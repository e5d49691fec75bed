//! Look-up of header fields and of the contents of their values (RFC 9110, section 5).

use httparse::Header;

/// Optional whitespace around a field value (RFC 9110, section 5.6.3). Other characters that Unicode classifies as whitespace
/// belong to the value.
const OPTIONAL_WHITESPACE: [char; 2] = [' ', '\t'];

/// Returns the value of the first header field with this name, without the whitespace around it; `None` if there is no such field
/// or its value is not UTF-8. Names are compared without case (RFC 9110, section 5.1).
pub fn header_value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    let text = std::str::from_utf8(found.value).ok()?;
    Some(text.trim_matches(OPTIONAL_WHITESPACE))
}

/// Whether there is a header field with this name, even if its value is not UTF-8.
pub(crate) fn is_present(headers: &[Header], name: &str) -> bool {
    headers.iter().any(|header| header.name.eq_ignore_ascii_case(name))
}

/// Whether more than one header field has this name. If a field that takes one value is repeated, two recipients may act on
/// different values (RFC 9110, section 5.3).
pub fn is_repeated(headers: &[Header], name: &str) -> bool {
    headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).nth(1).is_some()
}

/// Whether a comma-separated header field contains this token, in any of its lines (RFC 9110, section 5.6.1).
pub fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).any(|header| {
        let text = std::str::from_utf8(header.value).unwrap_or_default();
        text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// Whether a text is one or more ASCII digits, `1*DIGIT` in the grammar. The integer parsers of the standard library also accept
/// a sign, which the grammar does not allow.
pub fn is_decimal(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether every line of a head ends in CR LF. RFC 9112, section 2.2, lets a recipient accept a bare LF, and `httparse` does;
/// another recipient of the same bytes may not, and would see different header fields.
pub fn has_crlf_line_endings(head: &[u8]) -> bool {
    head.iter().enumerate().all(|(at, byte)| *byte != b'\n' || (at > 0 && head[at - 1] == b'\r'))
}
