//! Requests read from a connection byte by byte, for upstreams whose answers no HTTP
//! library would write.

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::TcpStream;

const READ_BYTES: usize = 4 * 1024;

/// A request with a body of known length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRequest {
    /// The request line and the headers.
    pub head: String,
    /// The body as text.
    pub body: String,
}

impl RawRequest {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.head.lines().skip(1).filter_map(|l| l.split_once(':'));
        let header = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        header.map_or("", |(_, value)| value.trim())
    }

    /// Reads the next request of a connection on which one follows the answer to the
    /// other; `None` once it is closed.
    pub async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut pending = Vec::new();
        loop {
            let BufResult(read, buffer) = stream.read(Vec::with_capacity(READ_BYTES)).await;
            match read {
                Ok(0) | Err(_) => return None,
                Ok(_) => pending.extend(buffer),
            }
            let request = Self::parse(&pending);
            if request.is_some() {
                return request;
            }
        }
    }

    /// Returns the request if it has arrived completely.
    fn parse(bytes: &[u8]) -> Option<Self> {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let request = Self {
            head: head.to_owned(),
            body: body.to_owned(),
        };
        let length = request.header("content-length").parse().unwrap_or(0);
        (request.body.len() >= length).then_some(request)
    }
}
