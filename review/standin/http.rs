//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader},
    net::TcpStream,
};

/// Headers in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response as it arrived.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Reads a line without its end. Returns none at the end of the stream.
fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if bytes.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

fn headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::default();
    loop {
        let line = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.0.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn body(reader: &mut impl BufRead, headers: &Headers) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some() {
        loop {
            let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = headers.get("content-length").unwrap_or("0");
    let length = length
        .parse()
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request. Returns none if the connection ends before one begins.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body,
    }))
}

/// Reads a response.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let first = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut wire = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        wire.push_str(&format!("{name}: {value}\r\n"));
    }
    wire.push_str("\r\n");
    let mut wire = wire.into_bytes();
    wire.extend_from_slice(body);
    wire
}

/// Returns the value of a field of a flat JSON object, without quotes.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = json[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}

/// Returns the milliseconds of a time such as `1500ms` or `2.5s`.
pub fn millis(text: &str) -> Option<u64> {
    if let Some(number) = text.strip_suffix("ms") {
        return number.parse::<f64>().ok().map(|n| n as u64);
    }
    let number = text.strip_suffix('s')?.parse::<f64>().ok()?;
    Some((number * 1e3) as u64)
}
