//! HTTP/1.1 server for clients, workers and health checks, over `async-h1`.

use crate::driver::Driver;
use crate::socket::Socket;
use async_h1::server::{decode, Encoder};
use async_io::{Async, Timer};
use controller::{HttpResponse, Request as ControllerRequest};
use futures_lite::{io, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode};
use std::cell::Cell;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

/// Silence before a request, the request and its response together take this long at
/// most; then the connection is closed.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(60);
/// A request's body has to be there within this time.
const MAX_BODY_TIME: Duration = Duration::from_secs(4);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);
/// Where workers send their heartbeats.
const HEARTBEAT_PATH: &str = "/agent/beat";
/// Where jobs are submitted.
const JOBS_PATH: &str = "/api/jobs";
/// What a job's name follows in the paths of status queries and cancellations.
const JOB_PREFIX: &str = "/api/jobs/";
/// Where health checks go.
const HEALTH_PATH: &str = "/up";

/// Accepts connections for as long as the process runs, `max_connections` at a time.
pub(crate) async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>, max_connections: usize) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(error = %error, "cannot accept connection");
                Timer::after(ACCEPT_RETRY).await;
                continue;
            }
        };
        if open_connections.get() >= max_connections {
            debug!("too many connections");
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let this = driver.clone();
        let open_connections = open_connections.clone();
        driver.spawn(async move {
            if let Err(error) = serve_connection(this, stream).await {
                debug!(error = %error, "connection closed");
            }
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// Serves one connection's requests, one after the other. It uses the library's decoder
/// and encoder, but not its loop, which sets a timer of a second reactor with a thread of
/// its own for every request.
async fn serve_connection(driver: Rc<Driver>, stream: Async<TcpStream>) -> http_types::Result<()> {
    let mut socket = Socket::new(stream);
    loop {
        let exchange = exchange(&driver, &mut socket);
        let outcome = driver.client.timeouts.within(MAX_EXCHANGE_TIME, exchange).await;
        let keep_alive = outcome.transpose()?.unwrap_or(false);
        if !keep_alive {
            return Ok(());
        }
    }
}

/// Serves one request. Returns whether another may follow.
async fn exchange(driver: &Rc<Driver>, socket: &mut Socket) -> http_types::Result<bool> {
    let Some((request, mut unread_body)) = decode(socket.clone()).await? else { return Ok(false) };
    let asked_to_close =
        request.header("connection").is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"));
    let method = request.method();
    let is_heartbeat = request.url().path() == HEARTBEAT_PATH;
    let mut response = respond(driver, request).await;
    // A worker that is not served here goes on to another node.
    let closes = asked_to_close || is_heartbeat && response.status() != StatusCode::Ok;
    if closes {
        response.insert_header("connection", "close");
    }
    io::copy(Encoder::new(response, method), socket).await?;
    // What the response did not need of the body.
    io::copy(&mut unread_body, io::sink()).await?;
    Ok(!closes)
}

async fn respond(driver: &Rc<Driver>, request: Request) -> Response {
    let request = match route(driver, request).await {
        Ok(request) => request,
        Err(status) => return Response::new(status),
    };
    match driver.request(request).await {
        Some(response) => http_response(response),
        None => Response::new(StatusCode::ServiceUnavailable),
    }
}

/// The controller's request that `request` stands for, or the status to refuse it with.
async fn route(driver: &Driver, mut request: Request) -> Result<ControllerRequest, StatusCode> {
    let path = request.url().path().to_string();
    let method = request.method();
    if let Some(job) = path.strip_prefix(JOB_PREFIX) {
        return route_job(method, job);
    }
    match (path.as_str(), method) {
        (HEALTH_PATH, Method::Get) => Ok(ControllerRequest::HealthCheck),
        (JOBS_PATH, Method::Post) => read_body(driver, &mut request).await.map(ControllerRequest::Submit),
        (HEARTBEAT_PATH, Method::Post) => {
            read_body(driver, &mut request).await.map(ControllerRequest::Heartbeat)
        }
        (HEALTH_PATH | JOBS_PATH | HEARTBEAT_PATH, _) => Err(StatusCode::MethodNotAllowed),
        _ => Err(StatusCode::NotFound),
    }
}

/// `path`: what follows [`JOB_PREFIX`].
fn route_job(method: Method, path: &str) -> Result<ControllerRequest, StatusCode> {
    match (path.strip_suffix("/cancel"), method) {
        (Some(id), Method::Post) => Ok(ControllerRequest::Cancel(id.to_string())),
        (None, Method::Get) => Ok(ControllerRequest::QueryStatus(path.to_string())),
        _ => Err(StatusCode::MethodNotAllowed),
    }
}

fn http_response(from: HttpResponse) -> Response {
    let status = StatusCode::try_from(from.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(from.body);
    response.insert_header("content-type", "application/msgpack");
    if let Some(retry_after_s) = from.retry_after_s {
        response.insert_header("retry-after", retry_after_s.to_string());
    }
    response
}

/// Reads the body up to one byte over the limit: the controller refuses what is longer.
/// Fails with the status to respond with if the body is not there in time.
async fn read_body(driver: &Driver, request: &mut Request) -> Result<Vec<u8>, StatusCode> {
    let max_bytes = protocol::MAX_BODY_BYTES as u64 + 1;
    let mut body = request.take_body().take(max_bytes);
    let mut bytes = Vec::new();
    let read = async { body.read_to_end(&mut bytes).await.is_ok() };
    match driver.client.timeouts.within(MAX_BODY_TIME, read).await {
        Some(true) => Ok(bytes),
        _ => Err(StatusCode::RequestTimeout),
    }
}
