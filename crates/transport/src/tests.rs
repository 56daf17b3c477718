//! Tests of the HTTP interfaces: the exact bytes of each request, and the result that the
//! controller gets for each response of the protocol.

mod client_api;
mod cloud_client;
mod platform;
mod store_client;
mod worker_client;

use crate::client::Client;
use serde::Serialize;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Timeout of calls and sockets; no passing test waits that long.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Converts JSON to MessagePack, keeping the order of the fields.
fn msgpack_from_json(json: &str) -> Vec<u8> {
    let value: rmpv::Value = serde_json::from_str(json).expect("the test's text is JSON");
    let mut body = Vec::new();
    value.serialize(&mut rmp_serde::Serializer::new(&mut body)).expect("any JSON value can be encoded");
    body
}

/// A received HTTP message.
#[derive(Debug, Clone, PartialEq)]
struct HttpMessage {
    /// Request line or status line.
    first_line: String,
    /// Header lines in lower case, sorted, without `host`, `date` and `content-length`.
    headers: Vec<String>,
    body: Vec<u8>,
}

impl HttpMessage {
    /// Reads one message. Returns None if the connection is closed before the message is
    /// complete.
    fn read(stream: &mut TcpStream) -> Option<HttpMessage> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).ok()?;
        let mut lines = head.lines();
        let first_line = lines.next()?.to_string();
        let mut headers: Vec<String> = lines.filter(|line| !line.is_empty()).map(str::to_lowercase).collect();
        let length = headers.iter().find_map(|header| header.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
        stream.read_exact(&mut body).ok()?;
        let ignored = ["host: ", "date: ", "content-length: "];
        headers.retain(|header| !ignored.iter().any(|name| header.starts_with(name)));
        headers.sort();
        Some(HttpMessage { first_line, headers, body })
    }
}

/// Predefined response of a stub server: status code and body.
#[derive(Clone)]
struct CannedReply(u16, Vec<u8>);

impl CannedReply {
    fn json(status: u16, body: &str) -> Self {
        CannedReply(status, msgpack_from_json(body))
    }

    fn empty(status: u16) -> Self {
        CannedReply(status, Vec::new())
    }

    fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let CannedReply(status, body) = self;
        write!(stream, "HTTP/1.1 {status} Reply\r\ncontent-length: {}\r\n\r\n", body.len())?;
        stream.write_all(body)
    }
}

/// Opens a listener on a free port and returns it with its address.
fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    (listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// Returns an address on which nothing listens.
fn unused_addr() -> SocketAddrV4 {
    listen().1
}

/// Makes one call to a stub server that responds with `reply` or, if that is None, closes the
/// connection without a response. Returns the received request and the result of the call.
fn call_with_reply<T>(
    reply: Option<CannedReply>,
    call: impl AsyncFnOnce(&Client, SocketAddrV4) -> T,
) -> (HttpMessage, T) {
    let (listener, addr) = listen();
    let stub_server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let request = HttpMessage::read(&mut stream).expect("a request");
        if let Some(reply) = reply {
            reply.write(&mut stream).expect("the reply can be sent");
        }
        request
    });
    let client = Client::default();
    let result = async_io::block_on(call(&client, addr));
    (stub_server.join().expect("the stub server received a request"), result)
}

/// Headers of a request with a body; without `connection: close`, since the connection is reused.
fn body_headers() -> Vec<String> {
    vec!["content-type: application/msgpack".to_string()]
}
