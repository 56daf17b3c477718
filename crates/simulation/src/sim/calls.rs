//! Executes the outputs of controllers: responses, and calls to the store, the cloud, workers and
//! other controllers.

use super::*;
use protocol::peer::{ForwardReply, ForwardRequest};

/// Time for which a controller waits for the store, in seconds. The wait of a watch is added.
const STORE_TIMEOUT_S: f64 = 1.5;
/// Time for which a controller waits for the cloud, in seconds.
const CLOUD_TIMEOUT_S: f64 = 5.0;
/// Time for which a controller waits for a worker that it calls, in seconds.
const WORKER_TIMEOUT_S: f64 = 2.0;
/// Duration of a call to the cloud in addition to the network delay, in seconds.
const CLOUD_LATENCY_S: f64 = 0.1;
/// Shortest delay of a transaction that is applied late, in seconds.
const MIN_WRITE_DELAY_S: f64 = 2.0;

impl Simulation {
    pub(super) fn execute_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Response(id, response) => self.respond(node, id, response),
            Output::Store(call, request) => self.call_store(self.call_key(node, call), request),
            Output::Cloud(call, request) => self.call_cloud(self.call_key(node, call), request),
            Output::Worker(call, address, body) => {
                self.call_worker(self.call_key(node, call), address, body);
            }
            Output::Forward(call, peer, request) => {
                self.forward(self.call_key(node, call), &peer, request);
            }
            Output::ForwardReply(id, reply) => self.reply_to_forward(node, id, reply),
        }
    }

    /// Returns the key of a call of the current process of `node`.
    fn call_key(&self, node: usize, call: CallId) -> CallKey {
        CallKey { node, incarnation: self.nodes[node].incarnation, call }
    }

    /// Opens a call. Without a reply within `timeout_s`, the controller receives `unknown`.
    fn open_call(&mut self, call: CallKey, timeout_s: f64, unknown: Input) {
        self.open_calls.insert(call);
        self.schedule(self.now + timeout_s, Event::CallTimeout(call, unknown));
    }

    /// Passes the outcome of a call to the controller, unless it already has one or its process has
    /// ended.
    pub(super) fn finish_call(&mut self, call: CallKey, outcome: Input) {
        if self.open_calls.remove(&call) && self.is_running(call.node, call.incarnation) {
            self.deliver_input(call.node, outcome);
        }
    }

    /// Sends the reply to a call over a link that is cut until `cut_until`. `from` is the replying
    /// node, if the reply comes from a node.
    pub(super) fn reply(&mut self, to: CallKey, input: Input, cut_until: f64, from: Option<usize>) {
        if let Some(at) = self.arrival(cut_until) {
            self.send_reply(at, to, input, from);
        }
    }

    /// Sends the reply to a call so that it arrives at `at`.
    pub(super) fn send_reply(&mut self, at: f64, to: CallKey, input: Input, from: Option<usize>) {
        let CallKey { node, incarnation, .. } = to;
        self.send(at, from, Event::ReplyArrives { node, incarnation, input });
    }

    fn respond(&mut self, node: usize, id: RequestId, response: HttpResponse) {
        match self.take_requester(node, id) {
            Some(Requester::Worker { machine, sequence }) => {
                let cut_until = self.worker_link_cut_until(&machine, node);
                let extra_delay_s = self.worker_response_delay();
                if let Some(at) = self.arrival(cut_until).map(|at| at + extra_delay_s) {
                    let event = Event::HeartbeatResponseArrives { machine, sequence, node, response };
                    self.send(at, Some(node), event);
                }
            }
            Some(Requester::User { job, number }) => {
                let at = self.now + self.delay();
                self.send(at, Some(node), Event::UserResponseArrives { job, number, response });
            }
            Some(Requester::Node(_)) | None => {}
        }
    }

    fn call_store(&mut self, call: CallKey, request: StoreRequest) {
        let node = call.node;
        let is_commit = matches!(request, StoreRequest::Commit(_));
        if let StoreRequest::Commit(transaction) = &request {
            self.metrics.mutations += transaction.mutations.len() as u64;
        }
        let wait_s = match &request {
            StoreRequest::Watch { wait_ms, .. } => *wait_ms as f64 / 1000.0,
            _ => 0.0,
        };
        let unknown = Input::Store(call.call, StoreReply::Unknown);
        self.open_call(call, STORE_TIMEOUT_S + wait_s, unknown);
        if is_commit && self.is_delayed_write() {
            let at = self.now + self.rng.gen_range(MIN_WRITE_DELAY_S..fault::MAX_WRITE_DELAY_S);
            return self.send(at, Some(node), Event::UnansweredWriteArrives(call, request));
        }
        let cut_until = self.store_link_cut_until(node);
        let delay_s = self.store_delay();
        if is_commit && self.store_serves(node) && self.is_write_response_lost() {
            let at = self.arrival(cut_until).unwrap_or(self.now);
            return self.send(at + delay_s, Some(node), Event::UnansweredWriteArrives(call, request));
        }
        if let Some(at) = self.arrival(cut_until) {
            self.send(at + delay_s, Some(node), Event::StoreRequestArrives(call, request));
        }
    }

    fn is_delayed_write(&mut self) -> bool {
        let fault = self.faults.delayed_writes;
        fault.is_active(self.now) && self.rng.gen_bool(fault.strength)
    }

    fn is_write_response_lost(&mut self) -> bool {
        let fault = self.faults.lost_write_responses;
        fault.is_active(self.now) && self.rng.gen_bool(fault.strength)
    }

    fn call_cloud(&mut self, call: CallKey, request: CloudRequest) {
        let node = call.node;
        self.metrics.cloud_calls_by_replaced_leaders += u64::from(self.is_replaced(node));
        self.open_call(call, CLOUD_TIMEOUT_S, Input::Cloud(call.call, CloudReply::Unknown));
        if let Some(at) = self.arrival(0.0) {
            self.send(at + CLOUD_LATENCY_S, Some(node), Event::CloudRequestArrives(call, request));
        }
    }

    fn call_worker(&mut self, call: CallKey, address: String, body: DirectCommands) {
        let node = call.node;
        self.metrics.direct_calls += 1;
        self.open_call(call, WORKER_TIMEOUT_S, Input::Worker(call.call, WorkerReply::Failed));
        let cut_until = self.address_link_cut_until(&address, node);
        let extra_delay_s = self.worker_response_delay();
        if let Some(at) = self.arrival(cut_until).map(|at| at + extra_delay_s) {
            self.send(at, Some(node), Event::DirectCommandsArrive { call, address, body });
        }
    }

    fn forward(&mut self, call: CallKey, peer: &str, request: ForwardRequest) {
        self.metrics.forward_requests += 1;
        self.metrics.forwarded_heartbeats += request.entries.len() as u64;
        self.metrics.forward_bytes += request.encoded_len() as u64;
        let failed = || Input::ForwardReply(call.call, None);
        self.open_call(call, self.forward_timeout_s, failed());
        let Some(to) = NODE_NAMES.iter().position(|name| *name == peer) else { return };
        if self.now < self.faults.peer_connections_refused_until {
            return self.reply(call, failed(), 0.0, None);
        }
        if let Some(at) = self.arrival(self.peer_link_cut_until(call.node, to)) {
            self.send(at, Some(call.node), Event::ForwardRequestArrives { call, to, request });
        }
    }

    fn reply_to_forward(&mut self, node: usize, id: RequestId, reply: ForwardReply) {
        let Some(Requester::Node(caller)) = self.take_requester(node, id) else { return };
        self.metrics.forward_bytes += reply.encoded_len() as u64;
        let cut_until = self.peer_link_cut_until(node, caller.node);
        self.reply(caller, Input::ForwardReply(caller.call, Some(reply)), cut_until, Some(node));
    }
}
