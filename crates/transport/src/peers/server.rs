//! Server side: receives views and forwarded heartbeats from other controllers.
//!
//! tonic requires its service to be `Send`, and the controller is not. Views are therefore
//! exchanged through a mailbox that the driver fills and empties, and forwarded heartbeats
//! through a channel.

use super::LocalSpawner;
use crate::driver::Driver;
use async_io::{Async, Timer};
use controller::Input;
use protocol::peer::peers_server::{Peers, PeersServer};
use protocol::peer::{ForwardReply, ForwardRequest, View};
use smol_hyper::rt::FuturesIo;
use std::cell::Cell;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tonic::body::BoxBody;
use tracing::{debug, warn};

/// Maximum number of open connections from other controllers. The same limit applies to the
/// received views and to the forwarded batches that wait for the driver.
const MAX_PEER_CONNECTIONS: usize = 16;
/// Maximum number of concurrent requests on a connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 4;
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Data exchanged between the gRPC service and the driver.
pub(crate) struct PeerMailbox {
    /// This node's view, sent to peers in response to theirs.
    own_view: Mutex<View>,
    /// Peers' views that the driver has not taken yet.
    received_views: Mutex<Vec<View>>,
    forward_sender: async_channel::Sender<InboundForward>,
}

/// A forwarded batch and the channel for its reply.
pub(crate) struct InboundForward {
    request: ForwardRequest,
    reply: async_channel::Sender<ForwardReply>,
}

impl PeerMailbox {
    /// Creates an empty mailbox and the channel of batches that other controllers forward.
    pub(crate) fn new() -> (Arc<PeerMailbox>, async_channel::Receiver<InboundForward>) {
        let (forward_sender, inbound_forwards) = async_channel::bounded(MAX_PEER_CONNECTIONS);
        let mailbox =
            PeerMailbox { own_view: Mutex::default(), received_views: Mutex::default(), forward_sender };
        (Arc::new(mailbox), inbound_forwards)
    }

    /// Sets the view that is sent to peers.
    pub(super) fn set_own_view(&self, view: &View) {
        if let Ok(mut own_view) = self.own_view.lock() {
            own_view.clone_from(view);
        }
    }

    /// Removes and returns the views that peers have sent.
    pub(super) fn take_received_views(&self) -> Vec<View> {
        self.received_views.lock().map(|mut views| std::mem::take(&mut *views)).unwrap_or_default()
    }
}

#[derive(Clone)]
struct PeerService(Arc<PeerMailbox>);

#[tonic::async_trait]
impl Peers for PeerService {
    async fn exchange(&self, request: tonic::Request<View>) -> Result<tonic::Response<View>, tonic::Status> {
        let poisoned = || tonic::Status::internal("view lost");
        let mut received = self.0.received_views.lock().map_err(|_| poisoned())?;
        if received.len() < MAX_PEER_CONNECTIONS {
            received.push(request.into_inner());
        }
        let own_view = self.0.own_view.lock().map_err(|_| poisoned())?.clone();
        Ok(tonic::Response::new(own_view))
    }

    async fn relay(
        &self,
        request: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardReply>, tonic::Status> {
        let (sender, receiver) = async_channel::bounded(1);
        let forward = InboundForward { request: request.into_inner(), reply: sender };
        let too_many_relays = |_| tonic::Status::resource_exhausted("too many relays");
        self.0.forward_sender.try_send(forward).map_err(too_many_relays)?;
        let unanswered = |_| tonic::Status::unavailable("not answered");
        Ok(tonic::Response::new(receiver.recv().await.map_err(unanswered)?))
    }
}

/// Adapter from tonic's generated service to hyper's service trait.
struct HyperService(PeersServer<PeerService>);

impl hyper::service::Service<http::Request<hyper::body::Incoming>> for HyperService {
    type Response = http::Response<BoxBody>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn call(&self, request: http::Request<hyper::body::Incoming>) -> Self::Future {
        tower_service::Service::call(&mut self.0.clone(), request)
    }
}

/// Accepts connections from other controllers until the process ends.
pub(crate) async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>) {
    let open_connections = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(error = %error, "cannot accept peer connection");
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.get() >= MAX_PEER_CONNECTIONS {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let this = driver.clone();
        let open_connections = open_connections.clone();
        driver.spawn(async move {
            serve_connection(&this, stream).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve_connection(driver: &Driver, stream: Async<TcpStream>) {
    let service = HyperService(PeersServer::new(PeerService(driver.mailbox.clone())));
    let result = hyper::server::conn::http2::Builder::new(LocalSpawner(driver.executor.clone()))
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = result {
        debug!(error = %error, "peer connection closed");
    }
}

/// Passes batches that other controllers forward to this node's controller.
pub(crate) async fn receive_forwards(
    driver: Rc<Driver>,
    inbound_forwards: async_channel::Receiver<InboundForward>,
) {
    while let Ok(forward) = inbound_forwards.recv().await {
        let id = driver.next_request_id();
        driver.forwarding.register(id, forward.reply);
        driver.feed(Input::ForwardRequest(id, forward.request));
    }
}
