//! The front door: users, workers and health checks over `async-h1`.

use crate::Driver;
use async_dup::Arc;
use async_io::{Async, Timer};
use engine::Request as Input;
use futures_lite::{future, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, warn};

/// A request's body has to be there within this time.
const BODY: Duration = Duration::from_secs(4);

pub async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>, most: usize) {
    let open = Rc::new(std::cell::Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) => s,
            Err(e) => {
                warn!(error = %e, "cannot accept");
                Timer::after(Duration::from_millis(100)).await;
                continue;
            }
        };
        if open.get() >= most {
            debug!("too many connections");
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        open.set(open.get() + 1);
        let (driver, open) = (driver.clone(), open.clone());
        driver.clone().spawn(async move {
            if let Err(e) = connection(driver, stream).await {
                debug!(error = %e, "connection ended");
            }
            open.set(open.get() - 1);
        });
    }
}

async fn connection(driver: Rc<Driver>, stream: Async<TcpStream>) -> http_types::Result<()> {
    // Silence between requests ends a connection after a minute (the
    // library's own limit).
    async_h1::accept(Arc::new(stream), |request| {
        let driver = driver.clone();
        async move { Ok(respond(&driver, request).await) }
    })
    .await
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
        ("/up", _) if get => Input::Up,
        ("/api/jobs", _) if post => match body(&mut request).await {
            Some(b) => Input::Submit(b),
            None => return plain(StatusCode::RequestTimeout),
        },
        ("/agent/beat", _) if post => match body(&mut request).await {
            Some(b) => Input::Report(b),
            None => return plain(StatusCode::RequestTimeout),
        },
        (_, Some(rest)) => match rest.strip_suffix("/cancel") {
            Some(id) if post => Input::Cancel(id.to_string()),
            None if get => Input::Poll(rest.to_string()),
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
async fn body(request: &mut Request) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = wire::BODY_LIMIT as u64 + 1;
    let taken = request.take_body();
    let read = async {
        let mut limited = taken.take(most);
        limited.read_to_end(&mut bytes).await.is_ok()
    };
    let whole = future::or(read, async {
        Timer::after(BODY).await;
        false
    })
    .await;
    whole.then_some(bytes)
}
