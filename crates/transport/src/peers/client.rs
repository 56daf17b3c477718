//! Client side: forwards heartbeats to the leader and exchanges views with peers.

use super::LocalSpawner;
use crate::driver::Driver;
use async_io::{Async, Timer};
use controller::{Input, RequestId};
use futures_lite::future;
use hyper::client::conn::http2::SendRequest;
use protocol::peer::peers_client::PeersClient;
use protocol::peer::{ForwardReply, ForwardRequest};
use smol_hyper::rt::FuturesIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddrV4, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::BoxBody;

/// Number of consecutive calls that may remain unanswered before a connection is closed.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// A connection to the current or a former leader.
struct ForwardConnection {
    client: PeersClient<PeerChannel>,
    /// Consecutive calls that were not answered in time.
    unanswered_calls: u32,
}

/// State of forwarding in both directions: connections to leaders by node name, and the
/// forwarded batches to which this node has yet to reply.
#[derive(Default)]
pub(crate) struct HeartbeatForwarding {
    connections: RefCell<HashMap<String, ForwardConnection>>,
    pending_replies: RefCell<HashMap<RequestId, async_channel::Sender<ForwardReply>>>,
}

impl HeartbeatForwarding {
    /// Registers the channel for the reply to a forwarded batch. Removes channels of callers
    /// that no longer wait.
    pub(super) fn register(&self, id: RequestId, sender: async_channel::Sender<ForwardReply>) {
        let mut pending = self.pending_replies.borrow_mut();
        pending.retain(|_, sender| !sender.is_closed());
        pending.insert(id, sender);
    }

    /// Sends the reply to the batch received as request `id`, if its caller still waits.
    pub(crate) fn reply(&self, id: RequestId, reply: ForwardReply) {
        if let Some(sender) = self.pending_replies.borrow_mut().remove(&id) {
            let _ = sender.try_send(reply);
        }
    }
}

/// Forwards a batch of heartbeats to `node`. Returns None if no reply arrives in time.
pub(crate) async fn forward(
    driver: &Rc<Driver>,
    node: &str,
    request: ForwardRequest,
) -> Option<ForwardReply> {
    let addr = driver.settings.peers.iter().find(|peer| peer.node == node)?.addr;
    let timeout = Duration::from_secs_f64(driver.timing.forward_timeout_s);
    let timeouts = &driver.client.timeouts;
    let cached = driver.forwarding.connections.borrow_mut().remove(node);
    let ForwardConnection { client, unanswered_calls } = match cached {
        Some(connection) => connection,
        None => ForwardConnection {
            client: timeouts.within(timeout, connect(driver, addr)).await??,
            unanswered_calls: 0,
        },
    };
    let keep_connection = |client, unanswered_calls| {
        let connection = ForwardConnection { client, unanswered_calls };
        driver.forwarding.connections.borrow_mut().insert(node.to_string(), connection);
    };
    // A connection that failed is dropped, and the next call opens a new one. One that is
    // only slow is kept: a busy node may have no socket left for another.
    match timeouts.within(timeout, client.clone().relay(request)).await {
        Some(Ok(reply)) => {
            keep_connection(client, 0);
            Some(reply.into_inner())
        }
        Some(Err(_)) => None,
        None => {
            if unanswered_calls < MAX_UNANSWERED_CALLS {
                keep_connection(client, unanswered_calls + 1);
            }
            None
        }
    }
}

/// Adapter that lets tonic's client send requests over a hyper connection.
#[derive(Clone)]
struct PeerChannel {
    sender: SendRequest<BoxBody>,
    authority: String,
}

impl tower_service::Service<http::Request<BoxBody>> for PeerChannel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, mut request: http::Request<BoxBody>) -> Self::Future {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        if let Ok(uri) = format!("http://{}{path}", self.authority).parse() {
            *request.uri_mut() = uri;
        }
        Box::pin(self.sender.send_request(request))
    }
}

async fn connect(driver: &Driver, addr: SocketAddrV4) -> Option<PeersClient<PeerChannel>> {
    let stream = Async::<TcpStream>::connect(addr).await.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let spawner = LocalSpawner(driver.executor.clone());
    let (sender, connection) =
        hyper::client::conn::http2::handshake(spawner, FuturesIo::new(stream)).await.ok()?;
    driver.spawn(async move {
        let _ = connection.await;
    });
    Some(PeersClient::new(PeerChannel { sender, authority: addr.to_string() }))
}

/// Exchanges views with one peer until the process ends.
pub(crate) async fn exchange_views(driver: Rc<Driver>, addr: SocketAddrV4, interval: Duration) {
    let mut client: Option<PeersClient<PeerChannel>> = None;
    loop {
        Timer::after(interval).await;
        for view in driver.mailbox.take_received_views() {
            driver.feed(Input::PeerView(view));
        }
        let own_view = driver.view_for_peers();
        driver.mailbox.set_own_view(&own_view);
        let call = async {
            if client.is_none() {
                client = connect(&driver, addr).await;
            }
            client.as_mut()?.exchange(own_view).await.ok().map(tonic::Response::into_inner)
        };
        let timeout = async {
            Timer::after(interval).await;
            None
        };
        match future::or(call, timeout).await {
            Some(view) => driver.feed(Input::PeerView(view)),
            None => client = None,
        }
    }
}
