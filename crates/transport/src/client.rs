//! HTTP/1.1 client with kept connections and a deadline on every call.

use crate::socket::Socket;
use crate::timeouts::TimeoutWheel;
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Url};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Largest response that is read; the state service's pages are 512 KiB.
const MOST_RESPONSE: u64 = 4 * 1024 * 1024;
/// Kept connections idle longer than this are closed rather than used.
const IDLE: Duration = Duration::from_secs(8);
const MOST_IDLE: usize = 8;

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

pub enum ClientError {
    /// No byte of the request was sent.
    NotSent,
    /// It may have been carried out, or may be yet.
    Unknown,
}

#[derive(Default)]
pub struct Client {
    pub timeouts: TimeoutWheel,
    idle: RefCell<HashMap<SocketAddrV4, Vec<(Socket, Instant)>>>,
}

impl Client {
    fn kept(&self, addr: SocketAddrV4) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        list.retain(|(_, since)| since.elapsed() < IDLE);
        list.pop().map(|(s, _)| s)
    }

    fn keep(&self, addr: SocketAddrV4, stream: Socket) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < MOST_IDLE {
            list.push((stream, Instant::now()));
        }
    }

    /// One call. `reuse`: kept connections may be used and kept.
    pub async fn call(
        &self,
        addr: SocketAddrV4,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
        reuse: bool,
    ) -> Result<Response, ClientError> {
        let deadline = Instant::now() + timeout;
        let kept = if reuse { self.kept(addr) } else { None };
        let safe = method == Method::Get;
        if let Some(stream) = kept {
            let r = self.exchange(addr, stream, method, target, body.clone(), deadline, reuse).await;
            // The other side may have closed a kept connection just then. What
            // can be asked twice is asked again on a new one.
            if !(safe && matches!(r, Err(ClientError::Unknown))) || Instant::now() >= deadline {
                return r;
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let stream = match self.timeouts.within(left, Async::<TcpStream>::connect(addr)).await {
            Some(Ok(s)) => s,
            _ => return Err(ClientError::NotSent),
        };
        self.exchange(addr, Socket::new(stream), method, target, body, deadline, reuse).await
    }

    #[allow(clippy::too_many_arguments)]
    async fn exchange(
        &self,
        addr: SocketAddrV4,
        stream: Socket,
        method: Method,
        target: &str,
        body: Option<Vec<u8>>,
        deadline: Instant,
        reuse: bool,
    ) -> Result<Response, ClientError> {
        let url = Url::parse(&format!("http://{addr}{target}")).map_err(|_| ClientError::NotSent)?;
        let mut request = Request::new(method, url);
        if !reuse {
            request.insert_header("connection", "close");
        }
        if let Some(b) = body {
            request.set_body(b);
            request.insert_header("content-type", "application/msgpack");
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let io = stream.again();
        let call = async move {
            let mut response =
                async_h1::connect(io, request).await.map_err(|e| io::Error::other(e.to_string()))?;
            let closing = response
                .header("connection")
                .is_some_and(|h| h.last().as_str().eq_ignore_ascii_case("close"));
            let status: u16 = response.status().into();
            let mut bytes = Vec::new();
            response.take_body().take(MOST_RESPONSE).read_to_end(&mut bytes).await?;
            io::Result::Ok((status, bytes, closing))
        };
        match self.timeouts.within(left, call).await {
            Some(Ok((status, body, closing))) => {
                if reuse && !closing {
                    self.keep(addr, stream);
                }
                Ok(Response { status, body })
            }
            _ => Err(ClientError::Unknown),
        }
    }
}
