//! HTTP/1.1 messages as the stand-ins read them: a state machine that is fed bytes and knows no socket.

/// A request or an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Method and path of a request.
    pub method: String,
    pub path: String,
    /// Status of an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The connection is to be closed after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// The most that a head and a body may be.
const MOST: usize = 256 * 1024;

/// What has come of a connection and is not read yet.
#[derive(Debug, Default)]
pub struct Reader {
    held: Vec<u8>,
}

impl Reader {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The next whole message; none as long as more must come. `answer` tells which kind is expected.
    pub fn next(&mut self, answer: bool) -> Result<Option<Message>, String> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut message = Message::default();
        let head = if answer {
            let mut parsed = httparse::Response::new(&mut headers);
            let status = parsed.parse(&self.held).map_err(|error| error.to_string())?;
            message.status = parsed.code.unwrap_or(0);
            message.headers = owned(parsed.headers);
            status
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            let status = parsed.parse(&self.held).map_err(|error| error.to_string())?;
            message.method = parsed.method.unwrap_or_default().to_string();
            message.path = parsed.path.unwrap_or_default().to_string();
            message.headers = owned(parsed.headers);
            status
        };
        let httparse::Status::Complete(head) = head else {
            return if self.held.len() > MOST { Err("a head without end".to_string()) } else { Ok(None) };
        };
        let length = match message.header("content-length") {
            Some(length) => length.parse::<usize>().map_err(|_| format!("a length of '{length}'"))?,
            None if answer && message.header("transfer-encoding").is_some() => {
                return Err("a chunked answer, which clients don't expect here".to_string())
            }
            None => 0,
        };
        if length > MOST {
            return Err(format!("a body of {length} bytes"));
        }
        if self.held.len() < head + length {
            return Ok(None);
        }
        message.body = self.held[head..head + length].to_vec();
        self.held.drain(..head + length);
        Ok(Some(message))
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|header| (header.name.to_string(), text(header.value))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_read_a_byte_at_a_time_and_two_at_once() {
        let text = b"POST /a HTTP/1.1\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
        let mut reader = Reader::default();
        let mut seen = Vec::new();
        for byte in text {
            reader.feed(&[*byte]);
            seen.extend(reader.next(false).unwrap());
        }
        assert_eq!((seen[0].path.as_str(), seen[0].body.as_slice()), ("/a", &b"abc"[..]));
        assert_eq!((seen[0].header("x-call-id"), seen[1].path.as_str()), (Some("7"), "/b"));
        assert!(reader.is_empty() && seen.len() == 2);
        for bad in [
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n",
        ] {
            reader = Reader::default();
            reader.feed(bad.as_bytes());
            assert!(reader.next(true).is_err());
        }
    }
}
