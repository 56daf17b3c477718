//! Runs a core on sockets and clocks, all on one thread.

mod client;
mod peers;
mod server;
mod services;
mod socket;
mod timeouts;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use client::Client;
use controller::{CallId, Controller, HttpResponse, Input, Output, Request, RequestId};
use protocol::worker::DirectCommands;
use settings::{Operator, Settings, Timing};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Driver {
    executor: Rc<LocalExecutor<'static>>,
    mailbox: Arc<peers::RelayMailbox>,
    forwards: peers::HeartbeatForwarding,
    /// Direct commands that wait for a connection, and how many have one.
    worker_calls: RefCell<VecDeque<(CallId, String, DirectCommands)>>,
    open_worker_calls: Cell<usize>,
    controller: RefCell<Controller>,
    client: Client,
    settings: Settings,
    timing: Timing,
    start: Instant,
    next: Cell<RequestId>,
    pending_requests: RefCell<HashMap<RequestId, async_channel::Sender<HttpResponse>>>,
}

/// Longest wait for an answer of the core's own making.
const LONGEST_ANSWER: Duration = Duration::from_secs(5);

impl Driver {
    pub(crate) fn spawn(&self, f: impl std::future::Future<Output = ()> + 'static) {
        self.executor.spawn(f).detach();
    }

    fn feed(self: &Rc<Self>, input: Input) {
        let now = self.start.elapsed().as_secs_f64();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        let outputs = self.controller.borrow_mut().handle(now, wall, input);
        for o in outputs {
            self.carry_out(o);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        let this = self.clone();
        match output {
            Output::Response(id, answer) => {
                if let Some(s) = self.pending_requests.borrow_mut().remove(&id) {
                    let _ = s.try_send(answer);
                }
            }
            Output::Store(call, op) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.store_timeout_s);
                let reply = services::state(&this.client, this.settings.services.store, op, timeout).await;
                this.feed(Input::Store(call, reply));
            }),
            Output::Cloud(call, op) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.cloud_timeout_s);
                let reply = services::cloud(&this.client, this.settings.services.cloud, op, timeout).await;
                this.feed(Input::Cloud(call, reply));
            }),
            Output::Forward(call, node, request) => self.spawn(async move {
                let reply = peers::relay(&this, &node, request).await;
                this.feed(Input::ForwardReply(call, reply));
            }),
            Output::ForwardReply(id, reply) => {
                if let Some(s) = self.forwards.waiting.borrow_mut().remove(&id) {
                    let _ = s.try_send(reply);
                }
            }
            Output::Worker(call, addr, body) => {
                self.worker_calls.borrow_mut().push_back((call, addr, body));
                self.send_worker_calls();
            }
        }
    }

    pub(crate) fn next_id(&self) -> RequestId {
        let id = self.next.get() + 1;
        self.next.set(id);
        id
    }

    /// Sends direct commands as far as connections may be opened for them; the
    /// others wait their turn. (A gang's or a huge array's stops once took every
    /// socket that the node had left.)
    fn send_worker_calls(self: &Rc<Self>) {
        while self.open_worker_calls.get() < self.timing.max_worker_calls {
            let Some((call, addr, body)) = self.worker_calls.borrow_mut().pop_front() else { return };
            self.open_worker_calls.set(self.open_worker_calls.get() + 1);
            let this = self.clone();
            self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.timing.worker_timeout_s / 2.0);
                let reply = services::worker(&this.client, &addr, body, timeout).await;
                this.open_worker_calls.set(this.open_worker_calls.get() - 1);
                this.feed(Input::Worker(call, reply));
                this.send_worker_calls();
            });
        }
    }

    /// Puts a request to the core and waits for its answer.
    pub(crate) async fn ask(self: &Rc<Self>, request: Request) -> Option<HttpResponse> {
        let id = self.next_id();
        let (sender, receiver) = async_channel::bounded(1);
        self.pending_requests.borrow_mut().insert(id, sender);
        self.feed(Input::Request(id, request));
        let answer = self.client.timeouts.within(LONGEST_ANSWER, receiver.recv()).await;
        self.pending_requests.borrow_mut().remove(&id);
        answer?.ok()
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let pause = self.controller.borrow().wake_interval_s();
            let due = Instant::now() + Duration::from_secs_f64(pause);
            Timer::at(due).await;
            self.controller.borrow_mut().record_event_loop_lag(due.elapsed().as_secs_f64());
            self.client.timeouts.sweep();
            self.feed(Input::Tick);
        }
    }
}

/// Serves until the process is ended. Fails only if an address cannot be bound.
pub fn run(settings: Settings, operator: Operator) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(settings.client_addr)?;
    let peer_listener = Async::<TcpListener>::bind(settings.peer_addr)?;
    let seed = settings
        .node
        .bytes()
        .fold(u64::from(std::process::id()), |h, b| h.wrapping_mul(0x0100_0000_01b3) ^ u64::from(b));
    let executor = Rc::new(LocalExecutor::new());
    let (shelf, calls) = peers::RelayMailbox::new();
    let driver = Rc::new(Driver {
        executor: executor.clone(),
        mailbox: shelf,
        forwards: peers::HeartbeatForwarding::default(),
        worker_calls: RefCell::default(),
        open_worker_calls: Cell::new(0),
        controller: RefCell::new(Controller::new(settings.clone(), operator, seed)),
        client: Client::default(),
        timing: Timing::from(&settings),
        settings,
        start: Instant::now(),
        next: Cell::new(0),
        pending_requests: RefCell::new(HashMap::new()),
    });
    driver.spawn(driver.clone().tick());
    driver.spawn(peers::serve(driver.clone(), peer_listener));
    driver.spawn(peers::take_relays(driver.clone(), calls));
    let every = Duration::from_secs_f64(driver.timing.renewal_interval_s);
    for p in driver.settings.peers.clone() {
        driver.spawn(peers::exchange(driver.clone(), p.addr, every));
    }
    driver.feed(Input::Tick);
    let most = driver.timing.max_front_connections;
    async_io::block_on(executor.run(server::serve(driver, listener, most)));
    Ok(())
}
