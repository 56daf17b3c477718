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

/// Maximum time for the wait before a request, the request and its response together; after
/// that, the connection is closed.
const MAX_EXCHANGE_TIME: Duration = Duration::from_secs(60);
/// Time within which the body of a request has to arrive.
const MAX_BODY_TIME: Duration = Duration::from_secs(4);
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Path of workers' heartbeats.
const HEARTBEAT_PATH: &str = "/agent/beat";
/// Path of job submissions.
const JOBS_PATH: &str = "/api/jobs";
/// Path prefix of status queries and cancellations, followed by the job's id.
const JOB_PREFIX: &str = "/api/jobs/";
/// Path of health checks.
const HEALTH_PATH: &str = "/up";

/// Accepts connections until the process ends; at most `max_connections` are open at a time.
pub(crate) async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>, max_connections: usize) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(error = %error, "cannot accept connection");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.get() >= max_connections {
            debug!("closing connection: too many open connections");
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

/// Serves the requests of one connection, one after the other. It uses the decoder and the
/// encoder of `async-h1`, but not its server loop, which sets a timer for every request on a
/// second reactor with its own thread.
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

/// Serves one request. Returns whether the connection stays open for another.
async fn exchange(driver: &Rc<Driver>, socket: &mut Socket) -> http_types::Result<bool> {
    let Some((request, mut unread_body)) = decode(socket.clone()).await? else { return Ok(false) };
    let close_requested =
        request.header("connection").is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"));
    let method = request.method();
    let is_heartbeat = request.url().path() == HEARTBEAT_PATH;
    let mut response = respond(driver, request).await;
    // A worker whose heartbeat is refused tries another node.
    let closes_connection = close_requested || is_heartbeat && response.status() != StatusCode::Ok;
    if closes_connection {
        response.insert_header("connection", "close");
    }
    io::copy(Encoder::new(response, method), socket).await?;
    // Skips the unread part of the body, after which the next request begins.
    io::copy(&mut unread_body, io::sink()).await?;
    Ok(!closes_connection)
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

/// Returns the controller's request for `request`, or the status with which it is refused.
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

/// Routes a request for one job; `path` is the part after [`JOB_PREFIX`].
fn route_job(method: Method, path: &str) -> Result<ControllerRequest, StatusCode> {
    match (path.strip_suffix("/cancel"), method) {
        (Some(id), Method::Post) => Ok(ControllerRequest::Cancel(id.to_string())),
        (None, Method::Get) => Ok(ControllerRequest::QueryStatus(path.to_string())),
        _ => Err(StatusCode::MethodNotAllowed),
    }
}

fn http_response(controller_response: HttpResponse) -> Response {
    let status = StatusCode::try_from(controller_response.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(controller_response.body);
    response.insert_header("content-type", "application/msgpack");
    if let Some(retry_after_s) = controller_response.retry_after_s {
        response.insert_header("retry-after", retry_after_s.to_string());
    }
    response
}

/// Reads the body up to one byte over the limit, so that the controller can refuse longer
/// ones. Fails with the status of the response if the body does not arrive in time.
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
