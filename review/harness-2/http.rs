//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The first line and the headers of a message, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Part `number` of the first line: of a request method, target and version.
    pub fn part(&self, number: usize) -> &str {
        self.first_line.split(' ').nth(number).unwrap_or_default()
    }

    /// The parameter of the query in a request's target.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.part(1).split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map_or("", |(_, value)| value)
    }
}

/// Reads a head; `None` if the peer closed before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(header);
        }
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok((size > 0).then_some(chunk))
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Writes a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// Serves each connection of a listener in a thread of its own, until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handle: &dyn Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &head)?;
        handle(&head, body, &mut writer)?;
    }
    Ok(())
}

/// Sends a request on a new connection and returns the status, or `None` without an answer.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    head.part(1).parse().ok()
}
