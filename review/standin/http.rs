//! A minimal HTTP/1.1 client and the parsing that clients and upstreams share.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A parsed message: its first line, headers with lower-case names, and body.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a message whose body has a length, is chunked or is empty.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(pair);
        }
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.take_line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Formats a request with a body of known length.
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a new connection.
pub fn call(to: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(to, timeout)?;
    connection.send(bytes)?;
    connection.read_message()
}
