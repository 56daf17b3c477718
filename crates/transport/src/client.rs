//! HTTP/1.1 client with a pool of idle connections and a deadline for every call.

use crate::socket::Socket;
use crate::timeouts::TimeoutQueue;
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Maximum number of bytes that are read of a response body; the store's pages are 512 KiB.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// Time after which an idle connection is closed instead of reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A request to a service.
#[derive(Clone)]
pub(crate) struct Call {
    pub(crate) addr: SocketAddrV4,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Body in MessagePack, if any.
    pub(crate) body: Option<Vec<u8>>,
    /// Timeout of the whole call, including the connection setup.
    pub(crate) timeout: Duration,
    /// Whether an idle connection may be used, and the connection is kept after the call.
    pub(crate) reuse: bool,
}

/// A response and its body.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Reason why a call has no response.
pub(crate) enum ClientError {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been carried out, or may still be.
    Unknown,
}

struct IdleConnection {
    socket: Socket,
    since: Instant,
}

/// The client's idle connections, and the timeouts of all calls and connections of the
/// driver.
#[derive(Default)]
pub(crate) struct Client {
    pub(crate) timeouts: TimeoutQueue,
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
}

impl Client {
    fn take_idle(&self, addr: SocketAddrV4) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        connections.retain(|connection| connection.since.elapsed() < MAX_IDLE_TIME);
        connections.pop().map(|connection| connection.socket)
    }

    fn keep_idle(&self, addr: SocketAddrV4, socket: Socket) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { socket, since: Instant::now() });
        }
    }

    /// Makes a call, on an idle connection if allowed and available.
    pub(crate) async fn call(&self, call: Call) -> Result<Response, ClientError> {
        let deadline = Instant::now() + call.timeout;
        let addr = call.addr;
        let idle_socket = if call.reuse { self.take_idle(addr) } else { None };
        if let Some(socket) = idle_socket {
            let is_idempotent = call.method == Method::Get;
            let result = self.exchange(socket, call.clone(), deadline).await;
            // The server may have closed the idle connection in the meantime. An idempotent
            // request is sent again on a new connection.
            let response_lost = matches!(result, Err(ClientError::Unknown));
            if !(is_idempotent && response_lost) || Instant::now() >= deadline {
                return result;
            }
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Some(Ok(stream)) = self.timeouts.within(remaining, Async::<TcpStream>::connect(addr)).await
        else {
            return Err(ClientError::NotSent);
        };
        self.exchange(Socket::new(stream), call, deadline).await
    }

    async fn exchange(&self, socket: Socket, call: Call, deadline: Instant) -> Result<Response, ClientError> {
        let Call { addr, reuse, .. } = call;
        let request = http_request(call)?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = self.timeouts.within(remaining, send(socket.with_new_buffer(), request)).await;
        let Some(Ok(received)) = response else { return Err(ClientError::Unknown) };
        if reuse && !received.closes_connection {
            self.keep_idle(addr, socket);
        }
        Ok(received.response)
    }
}

/// A response and whether the server closes the connection after it.
struct ReceivedResponse {
    response: Response,
    closes_connection: bool,
}

fn http_request(call: Call) -> Result<Request, ClientError> {
    let Call { addr, method, target, body, reuse, .. } = call;
    let url = Url::parse(&format!("http://{addr}{target}")).map_err(|_| ClientError::NotSent)?;
    let mut request = Request::new(method, url);
    if !reuse {
        request.insert_header("connection", "close");
    }
    if let Some(body) = body {
        request.set_body(body);
        request.insert_header("content-type", "application/msgpack");
    }
    Ok(request)
}

async fn send(socket: Socket, request: Request) -> io::Result<ReceivedResponse> {
    let mut response =
        async_h1::connect(socket, request).await.map_err(|error| io::Error::other(error.to_string()))?;
    let closes_connection = response
        .header("connection")
        .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
    let status: u16 = response.status().into();
    let mut body = Vec::new();
    response.take_body().take(MAX_RESPONSE_BYTES).read_to_end(&mut body).await?;
    Ok(ReceivedResponse { response: Response { status, body }, closes_connection })
}
