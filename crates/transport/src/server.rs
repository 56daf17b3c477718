//! The front door: users, workers and health checks over `async-h1`.

use crate::socket::Socket;
use crate::Driver;
use async_h1::server::{decode, Encoder};
use async_io::{Async, Timer};
use controller::Request as Input;
use futures_lite::{io, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

/// Silence before a request, the request and its answer together take this
/// long at most; then the connection is closed.
const LONGEST: Duration = Duration::from_secs(60);
/// A request's body has to be there within this time.
const BODY: Duration = Duration::from_secs(4);

pub async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>, most: usize) {
    let open = Rc::new(std::cell::Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                warn!(error = %e, "cannot accept connection");
                Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if open.get() >= most {
            debug!("too many connections");
            continue;
        }
        open.set(open.get() + 1);
        let (driver, open) = (driver.clone(), open.clone());
        driver.clone().spawn(async move {
            if let Err(e) = connection(driver, stream).await {
                debug!(error = %e, "connection closed");
            }
            open.set(open.get() - 1);
        });
    }
}

/// Serves one connection's requests, one after the other. It uses the library's
/// decoder and encoder, but not its loop, which sets a timer of a second reactor
/// with a thread of its own for every request.
async fn connection(driver: Rc<Driver>, stream: Async<TcpStream>) -> http_types::Result<()> {
    let mut socket = Socket::new(stream);
    loop {
        let once = driver.client.timeouts.within(LONGEST, exchange(&driver, &mut socket)).await;
        if !once.transpose()?.unwrap_or(false) {
            return Ok(());
        }
    }
}

/// One request and its answer; whether another may follow.
async fn exchange(driver: &Rc<Driver>, socket: &mut Socket) -> http_types::Result<bool> {
    let Some((request, mut rest)) = decode(socket.clone()).await? else { return Ok(false) };
    let last = request.header("connection").is_some_and(|h| h.as_str().eq_ignore_ascii_case("close"));
    let method = request.method();
    let beat = request.url().path() == "/agent/beat";
    let mut response = respond(driver, request).await;
    // A worker that is not answered here goes on to another node.
    let last = last || beat && response.status() != StatusCode::Ok;
    if last {
        response.insert_header("connection", "close");
    }
    io::copy(Encoder::new(response, method), socket).await?;
    // What the answer did not need of the body.
    io::copy(&mut rest, io::sink()).await?;
    Ok(!last)
}

fn plain(status: StatusCode) -> Response {
    Response::new(status)
}

async fn respond(driver: &Rc<Driver>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    let post = request.method() == Method::Post;
    let get = request.method() == Method::Get;
    let job = path.strip_prefix("/api/jobs/");
    let input = match (path.as_str(), job) {
        ("/up", _) if get => Input::HealthCheck,
        ("/api/jobs", _) if post => match body(driver, &mut request).await {
            Some(b) => Input::Submit(b),
            None => return plain(StatusCode::RequestTimeout),
        },
        ("/agent/beat", _) if post => match body(driver, &mut request).await {
            Some(b) => Input::Heartbeat(b),
            None => return plain(StatusCode::RequestTimeout),
        },
        (_, Some(rest)) => match rest.strip_suffix("/cancel") {
            Some(id) if post => Input::Cancel(id.to_string()),
            None if get => Input::QueryStatus(rest.to_string()),
            _ => return plain(StatusCode::MethodNotAllowed),
        },
        ("/up" | "/api/jobs" | "/agent/beat", _) => return plain(StatusCode::MethodNotAllowed),
        _ => return plain(StatusCode::NotFound),
    };
    let Some(answer) = driver.ask(input).await else {
        return plain(StatusCode::ServiceUnavailable);
    };
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", "application/msgpack");
    if let Some(s) = answer.retry_after_s {
        response.insert_header("retry-after", s.to_string());
    }
    response
}

/// Reads at most one byte over the limit: the core refuses what is longer.
async fn body(driver: &Driver, request: &mut Request) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = protocol::MAX_BODY_BYTES as u64 + 1;
    let taken = request.take_body();
    let read = async {
        let mut limited = taken.take(most);
        limited.read_to_end(&mut bytes).await.is_ok()
    };
    let whole = driver.client.timeouts.within(BODY, read).await;
    (whole == Some(true)).then_some(bytes)
}
