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
    shelf: Arc<peers::RelayMailbox>,
    relays: peers::HeartbeatForwarding,
    /// Direct commands that wait for a connection, and how many have one.
    orders: RefCell<VecDeque<(CallId, String, DirectCommands)>>,
    orders_open: Cell<usize>,
    core: RefCell<Controller>,
    client: Client,
    settings: Settings,
    derived: Timing,
    start: Instant,
    next: Cell<RequestId>,
    waiting: RefCell<HashMap<RequestId, async_channel::Sender<HttpResponse>>>,
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
        let outputs = self.core.borrow_mut().handle(now, wall, input);
        for o in outputs {
            self.carry_out(o);
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output) {
        let this = self.clone();
        match output {
            Output::Answer(id, answer) => {
                if let Some(s) = self.waiting.borrow_mut().remove(&id) {
                    let _ = s.try_send(answer);
                }
            }
            Output::State(call, op) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.derived.state_timeout_s);
                let reply = services::state(&this.client, this.settings.services.state, op, timeout).await;
                this.feed(Input::State(call, reply));
            }),
            Output::Cloud(call, op) => self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.derived.cloud_timeout_s);
                let reply = services::cloud(&this.client, this.settings.services.cloud, op, timeout).await;
                this.feed(Input::Cloud(call, reply));
            }),
            Output::Relay(call, node, request) => self.spawn(async move {
                let reply = peers::relay(&this, &node, request).await;
                this.feed(Input::RelayReply(call, reply));
            }),
            Output::RelayReply(id, reply) => {
                if let Some(s) = self.relays.waiting.borrow_mut().remove(&id) {
                    let _ = s.try_send(reply);
                }
            }
            Output::Worker(call, addr, body) => {
                self.orders.borrow_mut().push_back((call, addr, body));
                self.send_orders();
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
    fn send_orders(self: &Rc<Self>) {
        while self.orders_open.get() < self.derived.worker_calls {
            let Some((call, addr, body)) = self.orders.borrow_mut().pop_front() else { return };
            self.orders_open.set(self.orders_open.get() + 1);
            let this = self.clone();
            self.spawn(async move {
                let timeout = Duration::from_secs_f64(this.derived.worker_timeout_s / 2.0);
                let reply = services::worker(&this.client, &addr, body, timeout).await;
                this.orders_open.set(this.orders_open.get() - 1);
                this.feed(Input::Worker(call, reply));
                this.send_orders();
            });
        }
    }

    /// Puts a request to the core and waits for its answer.
    pub(crate) async fn ask(self: &Rc<Self>, request: Request) -> Option<HttpResponse> {
        let id = self.next_id();
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(id, sender);
        self.feed(Input::Request(id, request));
        let answer = self.client.deadlines.within(LONGEST_ANSWER, receiver.recv()).await;
        self.waiting.borrow_mut().remove(&id);
        answer?.ok()
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let pause = self.core.borrow().wake_s();
            let due = Instant::now() + Duration::from_secs_f64(pause);
            Timer::at(due).await;
            self.core.borrow_mut().note_lateness(due.elapsed().as_secs_f64());
            self.client.deadlines.sweep();
            self.feed(Input::Tick);
        }
    }
}

/// Serves until the process is ended. Fails only if an address cannot be bound.
pub fn run(settings: Settings, operator: Operator) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(settings.listen)?;
    let peer_listener = Async::<TcpListener>::bind(settings.peer_listen)?;
    let seed = settings
        .node
        .bytes()
        .fold(u64::from(std::process::id()), |h, b| h.wrapping_mul(0x0100_0000_01b3) ^ u64::from(b));
    let executor = Rc::new(LocalExecutor::new());
    let (shelf, calls) = peers::RelayMailbox::new();
    let driver = Rc::new(Driver {
        executor: executor.clone(),
        shelf,
        relays: peers::HeartbeatForwarding::default(),
        orders: RefCell::default(),
        orders_open: Cell::new(0),
        core: RefCell::new(Controller::new(settings.clone(), operator, seed)),
        client: Client::default(),
        derived: Timing::from(&settings),
        settings,
        start: Instant::now(),
        next: Cell::new(0),
        waiting: RefCell::new(HashMap::new()),
    });
    driver.spawn(driver.clone().tick());
    driver.spawn(peers::serve(driver.clone(), peer_listener));
    driver.spawn(peers::take_relays(driver.clone(), calls));
    let every = Duration::from_secs_f64(driver.derived.renew_s);
    for p in driver.settings.peers.clone() {
        driver.spawn(peers::exchange(driver.clone(), p.addr, every));
    }
    driver.feed(Input::Tick);
    let most = driver.derived.front_sockets;
    async_io::block_on(executor.run(server::serve(driver, listener, most)));
    Ok(())
}
