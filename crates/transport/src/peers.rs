//! Views exchanged with the other controllers: gRPC by `tonic`, carried by
//! hyper's HTTP/2 over this thread's sockets instead of tonic's own transport.

use crate::Driver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use controller::{Input, RequestId};
use futures_lite::future;
use hyper::client::conn::http2::SendRequest;
use protocol::peer::peers_client::PeersClient;
use protocol::peer::peers_server::{Peers, PeersServer};
use protocol::peer::{ForwardReply, ForwardRequest, View};
use smol_hyper::rt::FuturesIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::BoxBody;
use tracing::{debug, warn};

/// Most connections of other controllers at a time.
const MOST_PEERS: usize = 16;

#[derive(Clone)]
struct Local(Rc<LocalExecutor<'static>>);

impl<F: Future + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, f: F) {
        self.0
            .spawn(async move {
                f.await;
            })
            .detach();
    }
}

/// The server's side. tonic wants it to be `Send`; the core is not, so the
/// views pass through a shelf that the driver fills and empties, and relays
/// through a channel.
pub struct RelayMailbox {
    own_view: Mutex<View>,
    received_views: Mutex<Vec<View>>,
    forwards: async_channel::Sender<InboundForward>,
}

/// A relay and where its reply goes.
pub type InboundForward = (ForwardRequest, async_channel::Sender<ForwardReply>);

impl RelayMailbox {
    pub fn new() -> (Arc<RelayMailbox>, async_channel::Receiver<InboundForward>) {
        let (relays, calls) = async_channel::bounded(MOST_PEERS);
        (
            Arc::new(RelayMailbox {
                own_view: Mutex::default(),
                received_views: Mutex::default(),
                forwards: relays,
            }),
            calls,
        )
    }
}

/// Relays on both sides: connections to the nodes that lead or led, by name,
/// and replies that this node owes.
#[derive(Default)]
pub struct HeartbeatForwarding {
    /// With how many calls in a row were not answered in time.
    links: RefCell<HashMap<String, (PeersClient<PeerChannel>, u32)>>,
    pub waiting: RefCell<HashMap<RequestId, async_channel::Sender<ForwardReply>>>,
}

#[derive(Clone)]
struct Service(Arc<RelayMailbox>);

#[tonic::async_trait]
impl Peers for Service {
    async fn exchange(&self, r: tonic::Request<View>) -> Result<tonic::Response<View>, tonic::Status> {
        let lost = |_| tonic::Status::internal("view lost");
        let mut heard = self.0.received_views.lock().map_err(|_| lost(()))?;
        if heard.len() < MOST_PEERS {
            heard.push(r.into_inner());
        }
        let own = self.0.own_view.lock().map_err(|_| lost(()))?.clone();
        Ok(tonic::Response::new(own))
    }

    async fn relay(
        &self,
        r: tonic::Request<ForwardRequest>,
    ) -> Result<tonic::Response<ForwardReply>, tonic::Status> {
        let (sender, reply) = async_channel::bounded(1);
        let busy = |_| tonic::Status::resource_exhausted("too many relays");
        self.0.forwards.try_send((r.into_inner(), sender)).map_err(busy)?;
        let gone = |_| tonic::Status::unavailable("not answered");
        Ok(tonic::Response::new(reply.recv().await.map_err(gone)?))
    }
}

pub async fn serve(driver: Rc<Driver>, listener: Async<TcpListener>) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = match listener.accept().await {
            Ok((s, _)) if open.get() < MOST_PEERS => s,
            Ok(_) => continue,
            Err(e) => {
                warn!(error = %e, "cannot accept peer connection");
                Timer::after(Duration::from_millis(200)).await;
                continue;
            }
        };
        open.set(open.get() + 1);
        let (this, open) = (driver.clone(), open.clone());
        driver.spawn(async move {
            let service = Hyper(PeersServer::new(Service(this.mailbox.clone())));
            let served = hyper::server::conn::http2::Builder::new(Local(this.executor.clone()))
                .max_concurrent_streams(4)
                .serve_connection(FuturesIo::new(stream), service)
                .await;
            if let Err(e) = served {
                debug!(error = %e, "peer connection closed");
            }
            open.set(open.get() - 1);
        });
    }
}

/// tonic's generated service as one of hyper's.
struct Hyper(PeersServer<Service>);

impl hyper::service::Service<http::Request<hyper::body::Incoming>> for Hyper {
    type Response = http::Response<BoxBody>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn call(&self, r: http::Request<hyper::body::Incoming>) -> Self::Future {
        tower_service::Service::call(&mut self.0.clone(), r)
    }
}

/// Hands relays of other nodes to the core.
pub async fn take_relays(driver: Rc<Driver>, calls: async_channel::Receiver<InboundForward>) {
    while let Ok((request, reply)) = calls.recv().await {
        let id = driver.next_id();
        let mut waiting = driver.forwards.waiting.borrow_mut();
        // Callers that have given up.
        waiting.retain(|_, s: &mut async_channel::Sender<ForwardReply>| !s.is_closed());
        waiting.insert(id, reply);
        drop(waiting);
        driver.feed(Input::ForwardRequest(id, request));
    }
}

/// Passes reports to `node`; None if no reply comes in time.
pub async fn relay(driver: &Rc<Driver>, node: &str, request: ForwardRequest) -> Option<ForwardReply> {
    let addr = driver.settings.peers.iter().find(|p| p.node == node)?.addr;
    let kept = driver.forwards.links.borrow_mut().remove(node);
    let longest = Duration::from_secs_f64(driver.timing.forward_timeout_s);
    let within = |call| driver.client.timeouts.within(longest, call);
    let (client, late) = match kept {
        Some(link) => link,
        None => (driver.client.timeouts.within(longest, connect(driver, addr)).await??, 0),
    };
    let keep = |client, late| {
        driver.forwards.links.borrow_mut().insert(node.to_string(), (client, late));
    };
    // One that failed is not kept, and the next call connects anew. One that is
    // only late is: a busy node may have no socket left for another.
    match within(client.clone().relay(request)).await {
        Some(Ok(reply)) => {
            keep(client, 0);
            Some(reply.into_inner())
        }
        Some(Err(_)) => None,
        None if late < MOST_LATE => {
            keep(client, late + 1);
            None
        }
        None => None,
    }
}

/// Calls in a row that a connection may leave unanswered.
const MOST_LATE: u32 = 3;

/// A connection's requests as tonic's client wants them.
#[derive(Clone)]
struct PeerChannel {
    send: SendRequest<BoxBody>,
    authority: String,
}

impl tower_service::Service<http::Request<BoxBody>> for PeerChannel {
    type Response = http::Response<hyper::body::Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.send.poll_ready(cx)
    }

    fn call(&mut self, mut r: http::Request<BoxBody>) -> Self::Future {
        let path = r.uri().path_and_query().map_or("/", |p| p.as_str());
        if let Ok(uri) = format!("http://{}{path}", self.authority).parse() {
            *r.uri_mut() = uri;
        }
        Box::pin(self.send.send_request(r))
    }
}

async fn connect(driver: &Driver, addr: SocketAddrV4) -> Option<PeersClient<PeerChannel>> {
    let stream = Async::<TcpStream>::connect(addr).await.ok()?;
    let _ = stream.get_ref().set_nodelay(true);
    let local = Local(driver.executor.clone());
    let (send, connection) =
        hyper::client::conn::http2::handshake(local, FuturesIo::new(stream)).await.ok()?;
    driver.spawn(async move {
        let _ = connection.await;
    });
    Some(PeersClient::new(PeerChannel { send, authority: addr.to_string() }))
}

/// Exchanges views with one peer for as long as the process runs.
pub async fn exchange(driver: Rc<Driver>, addr: SocketAddrV4, every: Duration) {
    let mut client: Option<PeersClient<PeerChannel>> = None;
    loop {
        Timer::after(every).await;
        driver.take_views();
        let own = driver.own_view();
        let call = async {
            if client.is_none() {
                client = connect(&driver, addr).await;
            }
            client.as_mut()?.exchange(own).await.ok().map(tonic::Response::into_inner)
        };
        let view = future::or(call, async {
            Timer::after(every).await;
            None
        })
        .await;
        match view {
            Some(v) => driver.feed(Input::PeerView(v)),
            None => client = None,
        }
    }
}

impl Driver {
    fn own_view(&self) -> View {
        let view = self.controller.borrow().view_for_peers();
        if let Ok(mut own) = self.mailbox.own_view.lock() {
            own.clone_from(&view);
        }
        view
    }

    /// Hands the core what peers have left on the shelf.
    fn take_views(self: &Rc<Self>) {
        let heard =
            self.mailbox.received_views.lock().map(|mut h| std::mem::take(&mut *h)).unwrap_or_default();
        for v in heard {
            self.feed(Input::PeerView(v));
        }
    }
}
