//! Parsing of a whole text, after checks of what the JSON parser does not bound itself.

use crate::reason::FaultReason;
use crate::values::describe;
use jzon::object::Object;
use jzon::JsonValue;

/// Longest text that is read, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;
/// Longest number as written, in characters. `jzon` counts the places after the point in 16 bits without a check.
const MAX_NUMBER_CHARACTERS: usize = 1100;
/// Most digits before an exponent: `jzon` drops those that do not fit into 64 bits, and the value would silently be another.
const MAX_DIGITS_BEFORE_EXPONENT: usize = 19;
/// Most memory that the values of one text may take, in bytes, by the two estimates below. The longest text, made of brackets
/// alone, would take more than a machine has.
const MAX_MEMORY_BYTES: usize = 96 << 20;
/// Upper estimate of the memory that a list or an object takes.
const CONTAINER_BYTES: usize = 400;
/// Upper estimate of the memory that a value takes, by the comma before it.
const ELEMENT_BYTES: usize = 224;

/// The object that a text holds. Of a key that stands twice `jzon` keeps the last; all nodes read the same bytes with this code,
/// so all of them see the same.
pub fn parse_object(bytes: &[u8]) -> Result<Object, FaultReason> {
    if bytes.len() > MAX_TEXT_BYTES {
        return Err(FaultReason::TextTooLong { limit: MAX_TEXT_BYTES });
    }
    let text = std::str::from_utf8(bytes)?;
    check_bounds(text)?;
    // Deep nesting ends in an error: the parser keeps its own stack and takes 512 levels.
    match jzon::parse(text) {
        Ok(JsonValue::Object(object)) => Ok(object),
        Ok(other) => Err(FaultReason::WrongValue { expected: "an object", found: describe(&other) }),
        Err(error) => Err(FaultReason::NotJson(error.to_string())),
    }
}

/// Checks the numbers, the whitespace and the memory of a text. In one that is not JSON this may miss anything; the parser then
/// refuses it.
fn check_bounds(text: &str) -> Result<(), FaultReason> {
    let mut scanner = Scanner::default();
    text.bytes().try_for_each(|byte| scanner.next(byte))?;
    if scanner.memory_bytes > MAX_MEMORY_BYTES {
        return Err(FaultReason::TooManyValues);
    }
    Ok(())
}

/// Goes over a text byte by byte and knows strings from the rest.
#[derive(Default)]
struct Scanner {
    in_string: bool,
    /// In a string, after a backslash.
    is_escaped: bool,
    memory_bytes: usize,
    /// Characters of the number at hand.
    number_characters: usize,
    /// Digits of the number at hand before its exponent.
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
