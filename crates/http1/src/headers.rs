//! Look-up of header fields, and of what their values hold (RFC 9110, section 5).

use httparse::Header;

/// Optional whitespace around a value (RFC 9110, section 5.6.3). Other characters that Unicode counts as blank belong to the
/// value.
const OPTIONAL_WHITESPACE: [char; 2] = [' ', '\t'];

/// The value of the first header field of this name, without the whitespace around it; `None` if there is no such field or its
/// value is not UTF-8. Names are compared without case (RFC 9110, section 5.1).
pub fn header_value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    let text = std::str::from_utf8(found.value).ok()?;
    Some(text.trim_matches(OPTIONAL_WHITESPACE))
}

/// Whether a header field of this name is there at all, readable or not.
pub(crate) fn is_present(headers: &[Header], name: &str) -> bool {
    headers.iter().any(|header| header.name.eq_ignore_ascii_case(name))
}

/// Whether more than one header field has this name. Of a field that takes one value, two readers may act on different ones
/// (RFC 9110, section 5.3).
pub fn is_repeated(headers: &[Header], name: &str) -> bool {
    headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).nth(1).is_some()
}

/// Whether a comma-separated header field holds this token, in any of its lines (RFC 9110, section 5.6.1).
pub fn has_token(headers: &[Header], name: &str, token: &str) -> bool {
    headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).any(|header| {
        let text = std::str::from_utf8(header.value).unwrap_or_default();
        text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}

/// Whether a text is one or more ASCII digits, as `1*DIGIT` in the grammar. The standard parsers of integers take a sign as
/// well, which is no number here.
pub fn is_decimal(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Whether every line of a head ends in CR LF. RFC 9112, section 2.2, lets a recipient take a bare LF, and `httparse` does;
/// another reader of the same bytes may not, and would see other header fields.
pub fn has_crlf_line_endings(head: &[u8]) -> bool {
    head.iter().enumerate().all(|(at, byte)| *byte != b'\n' || (at > 0 && head[at - 1] == b'\r'))
}
