//! Stub servers for the store and the cloud, and a controller that runs against them.

use super::{listen, CannedReply, HttpMessage, TIMEOUT};
use controller::records::Value;
use controller::{StoreReply, StoreRequest};
use protocol::job::ErrorResponse;
use protocol::state::{Committed, GrantLease, Lease, Missing, Transaction};
use settings::{Operator, Settings};
use simulation::state::Store;
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a waiting watch checks the store.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Machine types of the stub cloud: large machines in two zones, small ones in one of them.
const MACHINE_TYPES: &str = r#"{"breeds":[
    {"sku":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":200,"pullGbPerS":1.0,
     "price":12.0,"lowPrice":4.5,"bootS":45,"yards":["a","b"]},
    {"sku":"s1","cores":8,"accelerators":0,"memGb":64,"localGb":50,"pullGbPerS":1.0,
     "price":1.0,"lowPrice":0.5,"bootS":45,"yards":["a"]}]}"#;

/// Whether a stub service refuses every request.
type Outage = Arc<AtomicBool>;

/// Serves any number of connections in background threads.
fn serve(
    listener: TcpListener,
    outage: Outage,
    respond: impl Fn(&HttpMessage) -> CannedReply + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let outage = outage.clone();
            let respond = respond.clone();
            thread::spawn(move || serve_connection(stream, &outage, respond));
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    outage: &AtomicBool,
    respond: impl Fn(&HttpMessage) -> CannedReply,
) {
    while let Some(request) = HttpMessage::read(&mut stream) {
        let reply = if outage.load(Ordering::SeqCst) {
            CannedReply::json(503, r#"{"error":"trouble"}"#)
        } else {
            respond(&request)
        };
        if reply.write(&mut stream).is_err() {
            return;
        }
    }
}

/// Parses a request to the store; None if it is not valid.
fn store_request(request: &HttpMessage) -> Option<StoreRequest> {
    let mut words = request.first_line.split(' ');
    let method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.clone().find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    };
    let number = |name: &str| parameter(name)?.parse::<u64>().ok();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (method, parts.as_slice()) {
        ("GET", ["kv"]) => {
            Some(StoreRequest::List { prefix: parameter("starts")?, after: parameter("since") })
        }
        ("GET", ["kv", key @ ..]) => Some(StoreRequest::Get(key.join("/"))),
        ("POST", ["commit"]) => {
            let transaction: Transaction<Value> = protocol::decode(&request.body).ok()?;
            Some(StoreRequest::Commit(transaction))
        }
        ("POST", ["grants"]) => {
            let GrantLease { ttl_ms } = protocol::decode(&request.body).ok()?;
            Some(StoreRequest::Grant { ttl_ms })
        }
        ("POST", ["grants", id, "renew"]) => Some(StoreRequest::Renew(id.parse().ok()?)),
        ("DELETE", ["grants", id]) => Some(StoreRequest::Revoke(id.parse().ok()?)),
        ("GET", ["follow"]) => Some(StoreRequest::Watch {
            prefix: parameter("starts")?,
            after: number("since")?,
            wait_ms: number("blockMs")?,
        }),
        _ => None,
    }
}

/// Converts a reply of the store into an HTTP response.
fn store_reply(request: &StoreRequest, reply: StoreReply) -> CannedReply {
    let error = |text: &str| protocol::encode(&ErrorResponse { error: text.into() });
    match (request, reply) {
        (_, StoreReply::Item(item)) => CannedReply(200, protocol::encode(&item)),
        (_, StoreReply::Missing(revision)) => CannedReply(404, protocol::encode(&Missing { revision })),
        (_, StoreReply::Page(page)) => CannedReply(200, protocol::encode(&page)),
        (_, StoreReply::Committed(revision)) => CannedReply(200, protocol::encode(&Committed { revision })),
        (_, StoreReply::Conflict(conflict)) => CannedReply(409, protocol::encode(&conflict)),
        (_, StoreReply::Granted(lease)) => CannedReply(200, protocol::encode(&Lease { lease })),
        (_, StoreReply::Events(events)) => CannedReply(200, protocol::encode(&events)),
        (_, StoreReply::Done) => CannedReply::empty(200),
        (StoreRequest::Commit(_), StoreReply::Gone) => CannedReply(400, error("no such lease")),
        (StoreRequest::Watch { .. }, StoreReply::Gone) => CannedReply::empty(410),
        (_, StoreReply::Gone) => CannedReply::empty(404),
        (_, StoreReply::Limited) => CannedReply::empty(429),
        _ => CannedReply::empty(400),
    }
}

/// Executes a request. A watch without changes waits for at most its `wait_ms`.
fn execute(store: &Mutex<Store>, started_at: Instant, request: &StoreRequest) -> StoreReply {
    let deadline = match request {
        StoreRequest::Watch { wait_ms, .. } => Instant::now() + Duration::from_millis(*wait_ms),
        _ => Instant::now(),
    };
    loop {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        let now = started_at.elapsed().as_secs_f64();
        store.expire_leases(now);
        if let Some(reply) = store.execute(now, request) {
            return reply;
        }
        if Instant::now() >= deadline {
            return store.no_events();
        }
        drop(store);
        thread::sleep(WATCH_POLL_INTERVAL);
    }
}

fn serve_store(listener: TcpListener, outage: Outage) {
    let store = Arc::new(Mutex::new(Store::default()));
    let started_at = Instant::now();
    serve(listener, outage, move |request| match store_request(request) {
        Some(request) => store_reply(&request, execute(&store, started_at, &request)),
        None => CannedReply::empty(400),
    });
}

/// Serves a cloud that has no machines to rent.
fn serve_cloud(listener: TcpListener, outage: Outage) {
    serve(listener, outage, |request| {
        let target = request.first_line.split(' ').nth(1).unwrap_or_default();
        match target.split('?').next() {
            Some("/machine_types") => CannedReply::json(200, MACHINE_TYPES),
            Some("/rentals") if request.first_line.starts_with("GET") => {
                CannedReply::json(200, r#"{"stalls":[],"hasNext":false}"#)
            }
            Some("/rentals") => CannedReply::json(503, r#"{"error":"no capacity"}"#),
            _ => CannedReply::empty(200),
        }
    });
}

/// Returns the settings of a deployment with one controller.
fn settings(
    client_addr: SocketAddrV4,
    peer_addr: SocketAddrV4,
    cloud: SocketAddrV4,
    store: SocketAddrV4,
) -> Settings {
    let text = format!(
        r#"
        label = "stable-0"
        location = "a"
        front = "{client_addr}"
        back = "{peer_addr}"
        [external]
        cloud = "{cloud}"
        state = "{store}"
        [params]
        size = 1
        zones = ["a", "b"]
        clock_error_ms = 5.0
        [[params.teams]]
        name = "vision"
        gpus = 8.0
        gpus_max = 32.0
        [params.workers]
        report_s = 3.0
        lease_s = 19.0
        gang_wait_s = 50.0
        gang_peer_s = 4.0
        cancel_s = 39.0
        [params.state]
        rps = 1000.0
        write_rps = 500.0
        value_kb = 32.0
        txn_ops = 48
        [params.cloud]
        rps = 20.0
        list_lag_s = 0.1
        [params.resources]
        cpu_share = 1.0
        memory_mb = 100.0
        max_connections = 500
        "#
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// A controller on loopback sockets, with stub servers for the services that it needs.
pub(super) struct Platform {
    client_addr: SocketAddrV4,
    store_outage: Outage,
    cloud_outage: Outage,
}

impl Platform {
    /// Starts a controller during an outage of the cloud, so that it knows no machine types.
    pub(super) fn start() -> Self {
        let (store_listener, store) = listen();
        let (cloud_listener, cloud) = listen();
        let (client_listener, client_addr) = listen();
        let (peer_listener, peer_addr) = listen();
        let store_outage = Outage::default();
        let cloud_outage = Outage::default();
        cloud_outage.store(true, Ordering::SeqCst);
        serve_store(store_listener, store_outage.clone());
        serve_cloud(cloud_listener, cloud_outage.clone());
        let settings = settings(client_addr, peer_addr, cloud, store);
        // The controller binds the two addresses itself.
        drop((client_listener, peer_listener));
        thread::spawn(move || crate::run(settings, Operator::default()));
        Platform { client_addr, store_outage, cloud_outage }
    }

    /// Starts a controller and waits until it is healthy.
    pub(super) fn start_healthy() -> Self {
        let platform = Platform::start();
        platform.set_cloud_outage(false);
        platform.wait_for_status("GET", "/up", &[], "HTTP/1.1 200 OK");
        platform
    }

    pub(super) fn set_cloud_outage(&self, outage: bool) {
        self.cloud_outage.store(outage, Ordering::SeqCst);
    }

    pub(super) fn set_store_outage(&self, outage: bool) {
        self.store_outage.store(outage, Ordering::SeqCst);
    }

    /// Sends a request on a new connection and returns the response.
    pub(super) fn request(&self, method: &str, path: &str, body: &[u8]) -> HttpMessage {
        self.try_request(method, path, body).expect("a response")
    }

    /// Returns None if the controller does not listen yet.
    fn try_request(&self, method: &str, path: &str, body: &[u8]) -> Option<HttpMessage> {
        let mut stream = TcpStream::connect(self.client_addr).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        write!(stream, "{method} {path} HTTP/1.1\r\nhost: node\r\ncontent-length: {}\r\n\r\n", body.len())
            .ok()?;
        stream.write_all(body).ok()?;
        HttpMessage::read(&mut stream)
    }

    /// Repeats a request until its response has the status line `status`.
    pub(super) fn wait_for_status(&self, method: &str, path: &str, body: &[u8], status: &str) -> HttpMessage {
        let deadline = Instant::now() + 3 * TIMEOUT;
        loop {
            let response = self.try_request(method, path, body);
            match response {
                Some(response) if response.first_line == status => return response,
                last => assert!(Instant::now() < deadline, "no {status}, the last response is {last:?}"),
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
