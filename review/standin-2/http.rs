//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut matching = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    matching.next().map_or("", |(_, v)| v.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns the decoded value of a parameter of the query; empty if there is none.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, q)| q);
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        let value = pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
        decode(value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads the first line and the headers; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_owned(), value.trim().to_owned())),
            None if line.trim_end().is_empty() => {
                return Ok(Some((first.trim_end().to_owned(), headers)));
            }
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        line.clear();
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        return read_chunks(reader);
    }
    let length = find(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads the next request of a connection without its body; `None` at its end.
pub fn read_request_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut word = || words.next().unwrap_or("").to_owned();
    Ok(Some(Request {
        method: word(),
        target: word(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(mut request) = read_request_head(reader)? else {
        return Ok(None);
    };
    request.body = read_body(reader, &request.headers)?;
    Ok(Some(request))
}

/// Reads the next final response of a connection.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    loop {
        let Some((first, headers)) = read_head(reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status: u16 = status.ok_or(io::ErrorKind::InvalidData)?;
        if status >= 200 {
            let body = read_body(reader, &headers)?;
            return Ok(Response {
                status,
                headers,
                body,
            });
        }
    }
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}

/// Sends a request on a new connection and returns its answer.
pub fn exchange(to: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    read_response(&mut BufReader::new(stream))
}
