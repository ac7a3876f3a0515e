//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A received request.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// A header; names are in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.as_str())
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within a second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes; none at the end of the connection.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Ok(Some((first, headers.collect())))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn body(&mut self, headers: &[(String, String)], to_end: bool) -> io::Result<Vec<u8>> {
        if find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size =
                    usize::from_str_radix(self.line()?.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::other("chunk size"))?;
                body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        if let Some(length) = find(headers, "content-length") {
            let length = length
                .parse()
                .map_err(|_| io::Error::other("content length"))?;
            return self.take(length);
        }
        if to_end {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    /// Reads a request; none at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else {
            return Ok(None);
        };
        let body = self.body(&headers, false)?;
        let mut words = first.split(' ');
        Ok(Some(Request {
            method: words.next().unwrap_or("").to_owned(),
            target: words.next().unwrap_or("").to_owned(),
            headers,
            body,
        }))
    }

    /// Reads a complete response.
    pub fn response(&mut self) -> io::Result<Response> {
        let Some((first, headers)) = self.head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let body = self.body(&headers, true)?;
        Ok(Response {
            status,
            headers,
            body,
        })
    }

    /// Sends a response with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Whether the other side has closed or reset the connection. It must send nothing meanwhile.
    pub fn is_closed(&self) -> bool {
        let _ignored = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ignored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Handles one request; returns whether the connection stays open.
pub type Handler = dyn Fn(&Request, &mut Connection) -> io::Result<bool> + Send + Sync;

/// Serves requests on a thread per connection.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.request() {
                    if !matches!(handler(&request, &mut connection), Ok(true)) {
                        return;
                    }
                }
            });
        }
    });
}
