//! Connects the controller's inputs and outputs to the sockets.

use crate::client::Client;
use crate::{cloud_client, peers, server, store_client, worker_client};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use controller::{CallId, Controller, HttpResponse, Input, Output, Request, RequestId};
use protocol::worker::DirectCommands;
use settings::{Operator, Settings, Timing};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest wait for the controller's response to a request.
const MAX_RESPONSE_WAIT: Duration = Duration::from_secs(5);
/// Multiplier of the FNV-1a hash with which the controller's seed is computed.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Direct commands that are queued until a connection to their worker may be opened.
struct WorkerCall {
    call: CallId,
    addr: String,
    commands: DirectCommands,
}

/// The controller and everything that it needs to run. All tasks of the thread share it,
/// so no borrow of a `RefCell` may be held across an await.
pub(crate) struct Driver {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) mailbox: Arc<peers::PeerMailbox>,
    pub(crate) forwarding: peers::HeartbeatForwarding,
    pub(crate) client: Client,
    pub(crate) settings: Settings,
    pub(crate) timing: Timing,
    controller: RefCell<Controller>,
    queued_worker_calls: RefCell<VecDeque<WorkerCall>>,
    open_worker_calls: Cell<usize>,
    started_at: Instant,
    last_request_id: Cell<RequestId>,
    pending_requests: RefCell<HashMap<RequestId, async_channel::Sender<HttpResponse>>>,
}

impl Driver {
    fn new(
        settings: Settings,
        operator: Operator,
        executor: Rc<LocalExecutor<'static>>,
        mailbox: Arc<peers::PeerMailbox>,
    ) -> Self {
        let seed = process_seed(&settings.node);
        Driver {
            executor,
            mailbox,
            forwarding: peers::HeartbeatForwarding::default(),
            client: Client::default(),
            controller: RefCell::new(Controller::new(settings.clone(), operator, seed)),
            timing: Timing::from(&settings),
            settings,
            queued_worker_calls: RefCell::default(),
            open_worker_calls: Cell::new(0),
            started_at: Instant::now(),
            last_request_id: Cell::new(0),
            pending_requests: RefCell::default(),
        }
    }

    /// Runs a task on the driver's thread.
    pub(crate) fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Passes `input` to the controller and carries out the resulting outputs.
    pub(crate) fn feed(self: &Rc<Self>, input: Input) {
        let now = self.started_at.elapsed().as_secs_f64();
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64());
        let outputs = self.controller.borrow_mut().handle(now, wall_clock, input);
        for output in outputs {
            self.perform(output);
        }
    }

    fn perform(self: &Rc<Self>, output: Output) {
        let this = self.clone();
        match output {
            Output::Response(id, response) => {
                if let Some(sender) = self.pending_requests.borrow_mut().remove(&id) {
                    let _ = sender.try_send(response);
                }
            }
            Output::Store(call, request) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.store_timeout_s);
                let addr = this.settings.services.store;
                let reply = store_client::call(&this.client, addr, request, timeout).await;
                this.feed(Input::Store(call, reply));
            }),
            Output::Cloud(call, request) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.cloud_timeout_s);
                let addr = this.settings.services.cloud;
                let reply = cloud_client::call(&this.client, addr, request, timeout).await;
                this.feed(Input::Cloud(call, reply));
            }),
            Output::Forward(call, node, request) => self.spawn(async move {
                let reply = peers::forward(&this, &node, request).await;
                this.feed(Input::ForwardReply(call, reply));
            }),
            Output::ForwardReply(id, reply) => self.forwarding.reply(id, reply),
            Output::Worker(call, addr, commands) => {
                self.queued_worker_calls.borrow_mut().push_back(WorkerCall { call, addr, commands });
                self.send_worker_calls();
            }
        }
    }

    /// Returns a new id for a request from outside.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        id
    }

    /// Returns this node's view, as it is sent to peers.
    pub(crate) fn view_for_peers(&self) -> protocol::peer::View {
        self.controller.borrow().view_for_peers()
    }

    /// Sends queued direct commands until the limit of open connections is reached. Without
    /// the limit, the kills of a gang or of a huge array once used up all of the node's
    /// remaining sockets.
    fn send_worker_calls(self: &Rc<Self>) {
        while self.open_worker_calls.get() < self.timing.max_worker_calls {
            let Some(worker_call) = self.queued_worker_calls.borrow_mut().pop_front() else { return };
            self.open_worker_calls.set(self.open_worker_calls.get() + 1);
            let this = self.clone();
            self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.worker_timeout_s / 2.0);
                let reply =
                    worker_client::call(&this.client, &worker_call.addr, worker_call.commands, timeout).await;
                this.open_worker_calls.set(this.open_worker_calls.get() - 1);
                this.feed(Input::Worker(worker_call.call, reply));
                this.send_worker_calls();
            });
        }
    }

    /// Passes a request to the controller and waits for its response. Returns None if that
    /// takes longer than [`MAX_RESPONSE_WAIT`].
    pub(crate) async fn request(self: &Rc<Self>, request: Request) -> Option<HttpResponse> {
        let id = self.next_request_id();
        let (sender, receiver) = async_channel::bounded(1);
        self.pending_requests.borrow_mut().insert(id, sender);
        self.feed(Input::Request(id, request));
        let response = self.client.timeouts.within(MAX_RESPONSE_WAIT, receiver.recv()).await;
        self.pending_requests.borrow_mut().remove(&id);
        response?.ok()
    }

    /// Sends ticks to the controller at the intervals that it requests, and fires expired
    /// timeouts, until the process ends.
    async fn run_ticks(self: Rc<Self>) {
        loop {
            let interval_s = self.controller.borrow().wake_interval_s();
            let due = Instant::now() + Duration::from_secs_f64(interval_s);
            Timer::at(due).await;
            self.controller.borrow_mut().record_event_loop_lag(due.elapsed().as_secs_f64());
            self.client.timeouts.fire_expired();
            self.feed(Input::Tick);
        }
    }

    fn spawn_services(
        self: &Rc<Self>,
        peer_listener: Async<TcpListener>,
        inbound_forwards: async_channel::Receiver<peers::InboundForward>,
    ) {
        self.spawn(self.clone().run_ticks());
        self.spawn(peers::serve(self.clone(), peer_listener));
        self.spawn(peers::receive_forwards(self.clone(), inbound_forwards));
        let interval = Duration::from_secs_f64(self.timing.renewal_interval_s);
        for peer in &self.settings.peers {
            self.spawn(peers::exchange_views(self.clone(), peer.addr, interval));
        }
    }
}

/// Returns a seed that differs between nodes and between processes of the same node.
fn process_seed(node: &str) -> u64 {
    node.bytes()
        .fold(u64::from(std::process::id()), |hash, byte| hash.wrapping_mul(FNV_PRIME) ^ u64::from(byte))
}

/// Runs a controller until the process ends.
///
/// # Errors
///
/// Fails if the client address or the peer address of `settings` cannot be bound.
pub fn run(settings: Settings, operator: Operator) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(settings.client_addr)?;
    let peer_listener = Async::<TcpListener>::bind(settings.peer_addr)?;
    let executor = Rc::new(LocalExecutor::new());
    let (mailbox, inbound_forwards) = peers::PeerMailbox::new();
    let driver = Rc::new(Driver::new(settings, operator, executor.clone(), mailbox));
    driver.spawn_services(peer_listener, inbound_forwards);
    driver.feed(Input::Tick);
    let max_connections = driver.timing.max_front_connections;
    async_io::block_on(executor.run(server::serve(driver, listener, max_connections)));
    Ok(())
}
