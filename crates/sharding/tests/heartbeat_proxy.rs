//! Simulation of one worker, two proxies that serve its heartbeats, a leader and its
//! successor. Every message between nodes may be delayed, lost or reordered.

use anisecroft_sharding::{
    HeartbeatForwarding, HeartbeatProxy, LeaderIdentity, ProxyAction, ProxyId, ProxySafetyChecks, RequestId,
    ZoneReachability,
};
use protocol::peer::{ForwardReply, ForwardRequest, MachineCommands, Op, TaskCommand};
use protocol::worker::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Settings, Timing};
use std::collections::BTreeMap;

const NODES: [&str; 2] = ["chiefs-1", "chiefs-2"];
const MACHINE: &str = "vm-000001";

/// Returns the timing of the example settings, and the duration of worker leases.
fn timing() -> (Timing, f64) {
    let settings = Settings::parse(include_str!("../../../docs/example.toml")).unwrap();
    (Timing::from(&settings), settings.params.workers.lease_s)
}

/// A leader that responds to every held heartbeat with a start command. The attempt of the
/// command encodes the leader's token and the heartbeat's sequence number.
struct Leader {
    token: u64,
    forwarding: HeartbeatForwarding,
    newest_position: (u64, u64),
    content_position: (u64, u64),
    last_response_at: f64,
    /// Time at which its own lease expires. Until then it delegates leases.
    lease_expires_at: f64,
}

struct World {
    rng: SmallRng,
    timing: Timing,
    lease_s: f64,
    now: f64,
    proxies: Vec<HeartbeatProxy>,
    leaders: Vec<Leader>,
    /// Requests in flight: arrival time, index of the proxy, and request.
    requests: Vec<(f64, usize, ForwardRequest)>,
    /// Replies in flight: arrival time, index of the proxy, number of the request, and reply.
    replies: Vec<(f64, usize, u64, ForwardReply)>,
    /// Open requests at a leader: index of the proxy, and number of the request.
    open_requests: BTreeMap<RequestId, (usize, u64)>,
    /// The call that each proxy waits for: number of the request, and time of sending.
    calls: BTreeMap<usize, (u64, f64)>,
    /// Heartbeats that wait at nodes: sequence number, and time of sending.
    waiting_heartbeats: BTreeMap<RequestId, (u64, f64)>,
    sequence: u64,
    /// The heartbeat that the worker waits for, and the time of sending.
    in_flight: Option<(RequestId, f64)>,
    /// Time from which the worker's lease counts.
    lease_renewed_at: f64,
    last_request_id: RequestId,
    partitioned_until: f64,
    responses: u64,
    launches: u64,
    /// Late copies of replies, if any are made: arrival time, index of the proxy, and reply.
    copies: Option<Vec<(f64, usize, ForwardReply)>>,
    /// Number of copies that arrived while the proxy was waiting for another reply.
    copies_taken_for_replies: u64,
    restarts: u64,
    violation: Option<&'static str>,
}

impl World {
    fn new(seed: u64, checks: ProxySafetyChecks) -> Self {
        let (timing, lease_s) = timing();
        let proxies = NODES.iter().map(|node| {
            let mut proxy = HeartbeatProxy::new(node, 7, timing);
            proxy.checks = checks;
            proxy
        });
        World {
            rng: SmallRng::seed_from_u64(seed),
            timing,
            lease_s,
            now: 0.0,
            proxies: proxies.collect(),
            leaders: vec![Leader::new(1, 0.0)],
            requests: vec![],
            replies: vec![],
            open_requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting_heartbeats: BTreeMap::new(),
            sequence: 0,
            in_flight: None,
            lease_renewed_at: 0.0,
            last_request_id: 0,
            partitioned_until: 0.0,
            responses: 0,
            launches: 0,
            copies: None,
            copies_taken_for_replies: 0,
            restarts: 0,
            violation: None,
        }
    }

    /// Returns when a message between nodes arrives: shortly after it is sent, or when a
    /// partition ends, or never.
    fn arrival_time(&mut self) -> Option<f64> {
        let undelayed = self.now + self.rng.gen_range(0.001..0.02);
        let is_partitioned = self.now < self.partitioned_until;
        (!self.rng.gen_bool(0.03)).then_some(if is_partitioned {
            self.partitioned_until + 0.01
        } else {
            undelayed
        })
    }

    fn perform_actions(&mut self, proxy_index: usize) {
        for action in self.proxies[proxy_index].take_actions() {
            match action {
                ProxyAction::Respond(id, response) => self.on_response(id, &response),
                ProxyAction::Redirect(id, _) | ProxyAction::Reject(id, _) => {
                    self.waiting_heartbeats.remove(&id);
                }
                ProxyAction::Forward(_, request) => {
                    self.calls.insert(proxy_index, (request.number, self.now));
                    if let Some(at) = self.arrival_time() {
                        self.requests.push((at, proxy_index, request));
                    }
                }
            }
        }
    }

    fn on_response(&mut self, id: RequestId, response: &HeartbeatResponse) {
        let Some((sequence, sent_at)) = self.waiting_heartbeats.remove(&id) else { return };
        self.responses += 1;
        for command in &response.commands {
            self.launches += 1;
            if command.attempt != response.fencing_token * 1_000_000 + sequence {
                self.violation = Some("a command was sent in response to another heartbeat");
            }
        }
        if self.in_flight == Some((id, sent_at)) && self.now < sent_at + 4.0 {
            self.in_flight = None;
            self.lease_renewed_at = sent_at;
        }
    }

    /// Sends the worker's next heartbeat to a random node, unless the worker still waits for the
    /// response to the previous one.
    fn send_heartbeat(&mut self) {
        if self.in_flight.is_some_and(|(_, sent_at)| self.now < sent_at + 4.0) {
            return;
        }
        self.sequence += 1;
        self.last_request_id += 1;
        let task = TaskStatus {
            task: "req-1/0".into(),
            attempt: 1,
            state: TaskState::Running,
            exit_cause: None,
            checkpointed: None,
        };
        // The content changes often because the machine is sometimes idle.
        let tasks = if self.rng.gen_bool(0.4) { vec![] } else { vec![task] };
        let heartbeat = Heartbeat {
            machine: MACHINE.into(),
            addr: String::new(),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: self.sequence,
            fencing_token: 0,
            notice_s: None,
            tasks,
        };
        self.in_flight = Some((self.last_request_id, self.now));
        self.waiting_heartbeats.insert(self.last_request_id, (self.sequence, self.now));
        let proxy_index = self.rng.gen_range(0..NODES.len());
        self.proxies[proxy_index].on_heartbeat(self.now, self.last_request_id, heartbeat);
        self.perform_actions(proxy_index);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let requests = std::mem::take(&mut self.requests);
        for (at, proxy_index, request) in requests {
            if at > now {
                self.requests.push((at, proxy_index, request));
                continue;
            }
            self.last_request_id += 1;
            self.open_requests.insert(self.last_request_id, (proxy_index, request.number));
            let newest_leader = self.leaders.len() - 1;
            // A request is delivered to the leader for which it was sent.
            let leader_index =
                self.leaders.iter().position(|leader| leader.token == request.token).unwrap_or(newest_leader);
            self.leaders[leader_index].on_request(now, self.last_request_id, &request);
        }
        let replies = std::mem::take(&mut self.replies);
        for (at, proxy_index, number, reply) in replies {
            if at > now {
                self.replies.push((at, proxy_index, number, reply));
            } else if self.calls.get(&proxy_index).is_some_and(|call| call.0 == number) {
                self.calls.remove(&proxy_index);
                self.proxies[proxy_index].on_reply(now, Some(reply));
                self.perform_actions(proxy_index);
            }
        }
    }

    /// Makes a copy of a reply that arrives within a second, or up to three leases later.
    fn copy_reply(&mut self, proxy_index: usize, reply: &ForwardReply) {
        let Some(copies) = &mut self.copies else { return };
        let max_delay_s = if self.rng.gen() { 1.0 } else { 3.0 * self.lease_s };
        copies.push((self.now + self.rng.gen_range(0.0..max_delay_s), proxy_index, reply.clone()));
    }

    /// Delivers the copies that are due, each as if it were the reply that the proxy waits for.
    fn deliver_copies(&mut self) {
        let now = self.now;
        let Some(copies) = &mut self.copies else { return };
        let (due, later) = std::mem::take(copies).into_iter().partition(|(at, ..)| *at <= now);
        *copies = later;
        let due: Vec<(f64, usize, ForwardReply)> = due;
        for (_, proxy_index, reply) in due {
            self.copies_taken_for_replies += u64::from(self.calls.contains_key(&proxy_index));
            self.proxies[proxy_index].on_reply(now, Some(reply));
            self.perform_actions(proxy_index);
        }
    }

    /// Ends a random proxy's process now and then; it is back at once, without any state.
    fn restart_a_proxy(&mut self) {
        if self.copies.is_none() || !self.rng.gen_bool(0.01) {
            return;
        }
        let proxy_index = self.rng.gen_range(0..NODES.len());
        self.restarts += 1;
        let incarnation = 7 + self.restarts;
        self.proxies[proxy_index] = HeartbeatProxy::new(NODES[proxy_index], incarnation, self.timing);
        self.calls.remove(&proxy_index);
    }

    fn step(&mut self) {
        self.now += self.rng.gen_range(0.01..0.06);
        let now = self.now;
        self.deliver_copies();
        self.restart_a_proxy();
        if now > self.partitioned_until + 3.0 && self.rng.gen_bool(0.01) {
            // Some partitions last longer than a worker's lease and a delegated lease.
            let max_duration_s = if self.rng.gen_bool(0.2) { 45.0 } else { 9.0 };
            self.partitioned_until = now + self.rng.gen_range(0.5..max_duration_s);
        }
        if self.leaders.len() == 1 && now > 30.0 {
            // Proxies may respond on leases of the previous leader until these expire.
            let mut successor = Leader::new(2, now);
            successor.last_response_at = now + self.timing.delegated_lease_s;
            self.leaders[0].lease_expires_at = now + 2.0;
            self.leaders.push(successor);
        }
        for proxy_index in 0..NODES.len() {
            // The nodes learn of the successor at different times.
            let is_unaware = self.leaders.len() == 2 && now < 31.0 + 3.0 * proxy_index as f64;
            let token = self.leaders.len() as u64 - u64::from(is_unaware);
            self.proxies[proxy_index]
                .set_leader(now, Some(LeaderIdentity { node: "chiefs-0".into(), fencing_token: token }));
            self.proxies[proxy_index].tick(now);
            self.perform_actions(proxy_index);
            if self.calls.get(&proxy_index).is_some_and(|call| now > call.1 + 6.0) {
                self.calls.remove(&proxy_index);
                self.proxies[proxy_index].on_reply(now, None);
                self.perform_actions(proxy_index);
            }
        }
        if self.rng.gen_bool(0.05) {
            self.send_heartbeat();
        }
        self.deliver();
        for leader_index in 0..self.leaders.len() {
            let lease_s =
                self.timing.delegated_lease_s.min(self.leaders[leader_index].lease_expires_at - now);
            let token = self.leaders[leader_index].token;
            for due in self.leaders[leader_index].forwarding.take_due_replies(
                now,
                token,
                lease_s,
                self.timing.forward_interval_s,
            ) {
                let Some((proxy_index, number)) = self.open_requests.remove(&due.request) else { continue };
                self.copy_reply(proxy_index, &due.reply);
                if let Some(at) = self.arrival_time() {
                    self.replies.push((at, proxy_index, number, due.reply));
                }
            }
        }
        let current = &self.leaders[self.leaders.len() - 1];
        let has_expired =
            current.forwarding.lease_certainly_expired(current.last_response_at, self.lease_s, now);
        // A copy that is taken for another reply extends the delegated lease. Connections rule that out;
        // here it only has to deliver no command.
        if has_expired && now < self.lease_renewed_at + self.lease_s && self.copies.is_none() {
            self.violation = Some("a lease has expired for the leader but not for the worker");
        }
    }
}

impl Leader {
    fn new(token: u64, now: f64) -> Self {
        Leader {
            token,
            forwarding: HeartbeatForwarding::default(),
            newest_position: (0, 0),
            content_position: (0, 0),
            last_response_at: now,
            lease_expires_at: f64::MAX,
        }
    }

    fn on_request(&mut self, now: f64, id: RequestId, request: &ForwardRequest) {
        let source = ProxyId { node: request.node.clone(), incarnation: request.incarnation };
        let ready = request.token == self.token;
        self.forwarding.on_request(now, id, request, ready);
        for entry in request.entries.iter().filter(|_| ready) {
            let position = (entry.session, entry.seq);
            if position <= self.newest_position {
                continue;
            }
            if entry.content.is_none() && self.content_position != (entry.session, entry.same_as) {
                self.forwarding.request_content(&source, &entry.machine);
                continue;
            }
            self.newest_position = position;
            self.last_response_at = now;
            if entry.content.is_some() {
                self.content_position = position;
            }
            if entry.held {
                let attempt = self.token * 1_000_000 + entry.seq;
                let command =
                    TaskCommand { op: Op::Start.into(), task: "req-2/0".into(), attempt, grace_s: None };
                let (machine, seq) = (entry.machine.clone(), entry.seq);
                self.forwarding.add_commands(
                    &source,
                    MachineCommands { machine, session: 1, seq, orders: vec![command] },
                );
            }
        }
    }
}

/// Runs the simulation until 150 s have passed or a safety property is violated.
fn run(seed: u64, checks: ProxySafetyChecks) -> World {
    let mut world = World::new(seed, checks);
    while world.now < 150.0 && world.violation.is_none() {
        world.step();
    }
    world
}

#[test]
fn responses_and_leases_are_safe_with_every_message_delayed() {
    let (mut responses, mut launches) = (0, 0);
    for seed in 0..300 {
        let world = run(seed, ProxySafetyChecks::default());
        assert_eq!(world.violation, None, "seed {seed} at {}", world.now);
        (responses, launches) = (responses + world.responses, launches + world.launches);
    }
    assert!(responses > 300 * 15 && launches > 300 * 3, "{responses} responses, {launches} launches");
}

/// Late copies of the leader's replies reach proxies that wait for another reply, or that have
/// restarted in between. No command reaches a heartbeat other than the one for which it was issued.
#[test]
fn late_copies_of_replies_deliver_no_command_again() {
    let (mut copies, mut launches) = (0, 0);
    for seed in 0..300 {
        let mut world = World::new(seed, ProxySafetyChecks::default());
        world.copies = Some(Vec::new());
        while world.now < 150.0 && world.violation.is_none() {
            world.step();
        }
        assert_eq!(world.violation, None, "seed {seed} at {}", world.now);
        (copies, launches) = (copies + world.copies_taken_for_replies, launches + world.launches);
    }
    assert!(copies > 300 * 10 && launches > 300, "{copies} copies, {launches} launches");
}

/// A proxy that responds after its lease has expired renews worker leases that the leader
/// considers expired.
#[test]
fn without_lease_expiry_a_worker_lease_outlives_the_leaders_view() {
    let checks = ProxySafetyChecks { lease_expiry: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, checks).violation.is_some()));
}

/// Without fencing, commands that were issued for one heartbeat are sent in response to
/// another, or with the token of a later leader.
#[test]
fn without_fencing_a_command_answers_another_heartbeat() {
    let checks = ProxySafetyChecks { fencing: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, checks).violation.is_some()));
}

/// If 500 workers send heartbeats within the same half second after a failover, the leader
/// receives all of them, in full and with their age, in two requests.
#[test]
fn a_failover_forwards_five_hundred_heartbeats_in_two_requests() {
    let (timing, _) = timing();
    let mut proxy = HeartbeatProxy::new(NODES[0], 7, timing);
    let lease_reply = |token| ForwardReply { token, leave_ms: 5000, ready: true, ..ForwardReply::default() };
    proxy.set_leader(0.0, Some(LeaderIdentity { node: "chiefs-0".into(), fencing_token: 3 }));
    proxy.tick(timing.forward_interval_s);
    proxy.on_reply(timing.forward_interval_s, Some(lease_reply(3)));
    proxy.take_actions();
    for n in 0..500u64 {
        let heartbeat = Heartbeat {
            machine: format!("vm-{n:06}"),
            addr: "10.1.0.1:9000".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: 5,
            fencing_token: 2,
            notice_s: None,
            tasks: vec![],
        };
        proxy.on_heartbeat(1.0 + n as f64 / 1000.0, n, heartbeat);
    }
    let (mut forwarded, mut requests, mut now) = (0, 0, 1.5);
    let mut max_age_ms = 0;
    while forwarded < 500 && requests < 10 {
        proxy.tick(now);
        for action in proxy.take_actions() {
            let ProxyAction::Forward(_, request) = action else { continue };
            requests += 1;
            forwarded += request.entries.len();
            max_age_ms = request.entries.iter().map(|entry| entry.age_ms).max().unwrap_or(0).max(max_age_ms);
            assert!(request.entries.iter().all(|entry| entry.content.is_some()));
            assert_eq!(request.complete, forwarded == 500);
            proxy.on_reply(now, Some(lease_reply(3)));
        }
        now += timing.forward_interval_s;
    }
    assert_eq!((forwarded, requests), (500, 2));
    assert!((500..1000).contains(&max_age_ms), "{max_age_ms} ms");
}

/// A zone counts as recovered when half of its machines are heard, while the other half is
/// about to reconnect. Without a waiting time, a third of a zone is declared dead at that
/// moment.
#[test]
fn a_zone_that_has_just_recovered_is_waited_for() {
    let mut reachability = ZoneReachability::default();
    let update = |reachability: &mut ZoneReachability, now, heard: usize| {
        let machines = (0..10).map(|n| ("a", n < heard)).chain((0..10).map(|_| ("b", true)));
        reachability.update(now, machines);
        (reachability.is_unreachable("a"), reachability.recovered_within("a", now, 25.0))
    };
    assert_eq!(update(&mut reachability, 10.0, 10), (false, false));
    assert_eq!(update(&mut reachability, 20.0, 2), (true, false));
    assert_eq!(update(&mut reachability, 90.0, 4), (true, false));
    assert_eq!(update(&mut reachability, 91.0, 5), (false, true));
    assert_eq!(update(&mut reachability, 115.0, 9), (false, true));
    assert_eq!(update(&mut reachability, 117.0, 10), (false, false));
    // All machines of the zone are scaled in while it is unreachable. It then no longer counts as
    // unreachable, so that machines may be added there.
    assert_eq!(update(&mut reachability, 200.0, 0), (true, false));
    assert!(reachability.update(300.0, (0..10).map(|_| ("b", true))));
    assert!(!reachability.is_unreachable("a"));
}
