//! Parsing of a complete JSON text, after checks of the sizes that the JSON parser itself does not limit.

use crate::reason::FaultReason;
use crate::values::describe;
use jzon::object::Object;
use jzon::JsonValue;

/// Maximum length of a JSON text, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;
/// Maximum length of a number as written, in characters. `jzon` counts the decimal places in 16 bits without an overflow check.
const MAX_NUMBER_CHARACTERS: usize = 1100;
/// Maximum number of digits before an exponent. `jzon` drops digits that do not fit into 64 bits, so a longer number would
/// silently get another value.
const MAX_DIGITS_BEFORE_EXPONENT: usize = 19;
/// Maximum memory for the values of one JSON text, in bytes, by the two estimates below. Without it, a text of the maximum length
/// made only of brackets would take more memory than a machine has.
const MAX_MEMORY_BYTES: usize = 96 << 20;
/// Upper estimate of the memory that a JSON array or object takes, in bytes.
const CONTAINER_BYTES: usize = 400;
/// Upper estimate of the memory that a JSON value takes, in bytes, counted by the comma before the value.
const ELEMENT_BYTES: usize = 224;

/// Parses the object that a JSON text holds. If a key occurs twice, `jzon` keeps the last one; all nodes parse the same bytes
/// with this code, so all of them get the same value.
pub fn parse_object(bytes: &[u8]) -> Result<Object, FaultReason> {
    if bytes.len() > MAX_TEXT_BYTES {
        return Err(FaultReason::TextTooLong { limit: MAX_TEXT_BYTES });
    }
    let text = std::str::from_utf8(bytes)?;
    check_bounds(text)?;
    // Nesting that is too deep ends in an error: the parser has its own stack, limited to 512 levels.
    match jzon::parse(text) {
        Ok(JsonValue::Object(object)) => Ok(object),
        Ok(other) => Err(FaultReason::WrongValue { expected: "an object", found: describe(&other) }),
        Err(error) => Err(FaultReason::NotJson(error.to_string())),
    }
}

/// Checks the numbers, the whitespace and the estimated memory of a JSON text. In a text that is not JSON this check may miss
/// faults; the parser then rejects the text.
fn check_bounds(text: &str) -> Result<(), FaultReason> {
    let mut scanner = Scanner::default();
    text.bytes().try_for_each(|byte| scanner.next(byte))?;
    if scanner.memory_bytes > MAX_MEMORY_BYTES {
        return Err(FaultReason::TooManyValues);
    }
    Ok(())
}

/// Scans a JSON text byte by byte and distinguishes strings from everything else.
#[derive(Default)]
struct Scanner {
    in_string: bool,
    /// The scanner is in a string, directly after a backslash.
    is_escaped: bool,
    memory_bytes: usize,
    /// Number of characters scanned so far of the current number.
    number_characters: usize,
    /// Number of digits scanned so far of the current number, before its exponent.
    number_digits: usize,
}

impl Scanner {
    fn next(&mut self, byte: u8) -> Result<(), FaultReason> {
        if self.in_string {
            self.in_string = self.is_escaped || byte != b'"';
            self.is_escaped = !self.is_escaped && byte == b'\\';
            return Ok(());
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.memory_bytes += CONTAINER_BYTES,
            b',' => self.memory_bytes += ELEMENT_BYTES,
            0x0b | 0x0c => return Err(FaultReason::UnknownWhitespace),
            _ => (),
        }
        self.next_of_number(byte)
    }

    fn next_of_number(&mut self, byte: u8) -> Result<(), FaultReason> {
        match byte {
            b'0'..=b'9' => {
                self.number_characters += 1;
                self.number_digits += 1;
            }
            b'e' | b'E' if self.number_digits > MAX_DIGITS_BEFORE_EXPONENT => {
                return Err(FaultReason::TooManyDigits);
            }
            b'e' | b'E' | b'.' | b'+' | b'-' => self.number_characters += 1,
            _ => (self.number_characters, self.number_digits) = (0, 0),
        }
        if self.number_characters > MAX_NUMBER_CHARACTERS {
            return Err(FaultReason::NumberTooLong { limit: MAX_NUMBER_CHARACTERS });
        }
        Ok(())
    }
}
