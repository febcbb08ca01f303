//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    message.first = read_line(reader)?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(n) if n > 0 && line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and waits for its response; `None` if there is none.
    pub fn call(&mut self, head: &str, body: &[u8]) -> Option<Message> {
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let bytes = [head.as_bytes(), length.as_bytes(), body].concat();
        self.stream.write_all(&bytes).ok()?;
        read(&mut self.reader)
    }
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Option<Message> {
    Connection::open(to, timeout).ok()?.call(head, body)
}
