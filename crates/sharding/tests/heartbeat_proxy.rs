//! One worker, two proxies that serve its heartbeats, a leader and its successor, with
//! every message between nodes delayed, lost or reordered.

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

fn timing() -> (Timing, f64) {
    let s = Settings::parse(include_str!("../../../docs/example.toml")).unwrap();
    (Timing::from(&s), s.params.workers.lease_s)
}

/// A leader that answers every held heartbeat with a start command, whose attempt says
/// by which leader and for which heartbeat it was given.
struct Leader {
    token: u64,
    forwarding: HeartbeatForwarding,
    newest: (u64, u64),
    content: (u64, u64),
    answered: f64,
    /// It replies until then; later its own lease is over.
    until: f64,
}

struct World {
    rng: SmallRng,
    timing: Timing,
    lease_s: f64,
    now: f64,
    proxies: Vec<HeartbeatProxy>,
    leaders: Vec<Leader>,
    /// Messages on their way, with when they arrive.
    requests: Vec<(f64, usize, ForwardRequest)>,
    replies: Vec<(f64, usize, u64, ForwardReply)>,
    /// Which node's request a leader has, and its number.
    asked: BTreeMap<RequestId, (usize, u64)>,
    /// The request of each node that is on its way, and since when.
    calls: BTreeMap<usize, (u64, f64)>,
    /// Heartbeats that wait at nodes: their sequence number, and when they were sent.
    waiting_heartbeats: BTreeMap<RequestId, (u64, f64)>,
    seq: u64,
    /// The heartbeat in flight.
    in_flight: Option<(RequestId, f64)>,
    renewed: f64,
    next: RequestId,
    cut_until: f64,
    answers: u64,
    launches: u64,
    broken: Option<&'static str>,
}

impl World {
    fn new(seed: u64, checks: ProxySafetyChecks) -> Self {
        let (timing, lease_s) = timing();
        let proxies = NODES.iter().map(|n| {
            let mut proxy = HeartbeatProxy::new(n, 7, timing);
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
            asked: BTreeMap::new(),
            calls: BTreeMap::new(),
            waiting_heartbeats: BTreeMap::new(),
            seq: 0,
            in_flight: None,
            renewed: 0.0,
            next: 0,
            cut_until: 0.0,
            answers: 0,
            launches: 0,
            broken: None,
        }
    }

    /// When a message between nodes arrives: soon, or when a cut ends, or never.
    fn way(&mut self) -> Option<f64> {
        let soon = self.now + self.rng.gen_range(0.001..0.02);
        let held = self.now < self.cut_until;
        (!self.rng.gen_bool(0.03)).then_some(if held { self.cut_until + 0.01 } else { soon })
    }

    fn perform_actions(&mut self, n: usize) {
        for act in self.proxies[n].take_actions() {
            match act {
                ProxyAction::Respond(id, answer) => self.answered(id, &answer),
                ProxyAction::Redirect(id, _) | ProxyAction::Reject(id, _) => {
                    self.waiting_heartbeats.remove(&id);
                }
                ProxyAction::Forward(_, request) => {
                    self.calls.insert(n, (request.number, self.now));
                    if let Some(at) = self.way() {
                        self.requests.push((at, n, request));
                    }
                }
            }
        }
    }

    fn answered(&mut self, id: RequestId, answer: &HeartbeatResponse) {
        let Some((seq, sent)) = self.waiting_heartbeats.remove(&id) else { return };
        self.answers += 1;
        for c in &answer.commands {
            self.launches += 1;
            if c.attempt != answer.fencing_token * 1_000_000 + seq {
                self.broken = Some("a command in another answer than it was given for");
            }
        }
        if self.in_flight == Some((id, sent)) && self.now < sent + 4.0 {
            self.in_flight = None;
            self.renewed = sent;
        }
    }

    /// The worker sends a heartbeat to a random node.
    fn send_heartbeat(&mut self) {
        if self.in_flight.is_some_and(|(_, sent)| self.now < sent + 4.0) {
            return;
        }
        self.seq += 1;
        self.next += 1;
        let task = TaskStatus {
            task: "req-1/0".into(),
            attempt: 1,
            state: TaskState::Running,
            exit_cause: None,
            checkpointed: None,
        };
        // Now and then something is new, or it is idle.
        let tasks = if self.rng.gen_bool(0.4) { vec![] } else { vec![task] };
        let heartbeat = Heartbeat {
            machine: MACHINE.into(),
            addr: String::new(),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: self.seq,
            fencing_token: 0,
            notice_s: None,
            tasks,
        };
        self.in_flight = Some((self.next, self.now));
        self.waiting_heartbeats.insert(self.next, (self.seq, self.now));
        let n = self.rng.gen_range(0..NODES.len());
        self.proxies[n].on_heartbeat(self.now, self.next, heartbeat);
        self.perform_actions(n);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let requests = std::mem::take(&mut self.requests);
        for (at, n, r) in requests {
            if at > now {
                self.requests.push((at, n, r));
                continue;
            }
            self.next += 1;
            self.asked.insert(self.next, (n, r.number));
            let last = self.leaders.len() - 1;
            // A request goes to the leader that it was meant for.
            let l = self.leaders.iter().position(|l| l.token == r.token).unwrap_or(last);
            self.leaders[l].on_request(now, self.next, &r);
        }
        let replies = std::mem::take(&mut self.replies);
        for (at, n, number, reply) in replies {
            if at > now {
                self.replies.push((at, n, number, reply));
            } else if self.calls.get(&n).is_some_and(|c| c.0 == number) {
                self.calls.remove(&n);
                self.proxies[n].on_reply(now, Some(reply));
                self.perform_actions(n);
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.gen_range(0.01..0.06);
        let now = self.now;
        if now > self.cut_until + 3.0 && self.rng.gen_bool(0.01) {
            // Some last longer than a worker's lease and a delegated lease.
            let longest = if self.rng.gen_bool(0.2) { 45.0 } else { 9.0 };
            self.cut_until = now + self.rng.gen_range(0.5..longest);
        }
        if self.leaders.len() == 1 && now > 30.0 {
            // What the old leader granted ends with its grace.
            let mut new = Leader::new(2, now);
            new.answered = now + self.timing.delegated_lease_s;
            self.leaders[0].until = now + 2.0;
            self.leaders.push(new);
        }
        for n in 0..NODES.len() {
            // The nodes hear of the successor at different times.
            let unheard = self.leaders.len() == 2 && now < 31.0 + 3.0 * n as f64;
            let token = self.leaders.len() as u64 - u64::from(unheard);
            self.proxies[n]
                .set_leader(now, Some(LeaderIdentity { node: "chiefs-0".into(), fencing_token: token }));
            self.proxies[n].tick(now);
            self.perform_actions(n);
            if self.calls.get(&n).is_some_and(|c| now > c.1 + 6.0) {
                self.calls.remove(&n);
                self.proxies[n].on_reply(now, None);
                self.perform_actions(n);
            }
        }
        if self.rng.gen_bool(0.05) {
            self.send_heartbeat();
        }
        self.deliver();
        for l in 0..self.leaders.len() {
            let leave = self.timing.delegated_lease_s.min(self.leaders[l].until - now);
            let token = self.leaders[l].token;
            for due in
                self.leaders[l].forwarding.take_due_replies(now, token, leave, self.timing.forward_interval_s)
            {
                let Some((n, number)) = self.asked.remove(&due.request) else { continue };
                if let Some(at) = self.way() {
                    self.replies.push((at, n, number, due.reply));
                }
            }
        }
        let current = &self.leaders[self.leaders.len() - 1];
        let over = current.forwarding.lease_surely_expired(current.answered, self.lease_s, now);
        if over && now < self.renewed + self.lease_s {
            self.broken = Some("a lease is over for the leader and not for the worker");
        }
    }
}

impl Leader {
    fn new(token: u64, now: f64) -> Self {
        Leader {
            token,
            forwarding: HeartbeatForwarding::default(),
            newest: (0, 0),
            content: (0, 0),
            answered: now,
            until: f64::MAX,
        }
    }

    fn on_request(&mut self, now: f64, id: RequestId, r: &ForwardRequest) {
        let source = ProxyId { node: r.node.clone(), incarnation: r.incarnation };
        let ready = r.token == self.token;
        self.forwarding.on_request(now, id, r, ready);
        for e in r.entries.iter().filter(|_| ready) {
            let place = (e.session, e.seq);
            if place <= self.newest {
                continue;
            }
            if e.content.is_none() && self.content != (e.session, e.same_as) {
                self.forwarding.request_content(&source, &e.machine);
                continue;
            }
            self.newest = place;
            self.answered = now;
            if e.content.is_some() {
                self.content = place;
            }
            if e.held {
                let attempt = self.token * 1_000_000 + e.seq;
                let order =
                    TaskCommand { op: Op::Start.into(), task: "req-2/0".into(), attempt, grace_s: None };
                let (machine, seq) = (e.machine.clone(), e.seq);
                self.forwarding
                    .add_commands(&source, MachineCommands { machine, session: 1, seq, orders: vec![order] });
            }
        }
    }
}

fn run(seed: u64, checks: ProxySafetyChecks) -> World {
    let mut world = World::new(seed, checks);
    while world.now < 150.0 && world.broken.is_none() {
        world.step();
    }
    world
}

#[test]
fn responses_and_leases_are_safe_with_every_message_delayed() {
    let (mut answers, mut launches) = (0, 0);
    for seed in 0..300 {
        let world = run(seed, ProxySafetyChecks::default());
        assert_eq!(world.broken, None, "seed {seed} at {}", world.now);
        (answers, launches) = (answers + world.answers, launches + world.launches);
    }
    assert!(answers > 300 * 15 && launches > 300 * 3, "{answers} answers, {launches} launches");
}

/// A proxy that answers after its lease has expired renews worker leases that the leader
/// takes for expired.
#[test]
fn without_lease_expiry_a_worker_lease_outlives_the_leaders_view() {
    let checks = ProxySafetyChecks { lease_expiry: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, checks).broken.is_some()));
}

/// Commands that were given for one heartbeat answer another, or go out with a later
/// leader's token.
#[test]
fn without_fencing_a_command_answers_another_heartbeat() {
    let checks = ProxySafetyChecks { fencing: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, checks).broken.is_some()));
}

/// 500 workers send heartbeats in the same half second after a failover: the leader has
/// all of them, in full and with their age, after two requests.
#[test]
fn a_failover_forwards_five_hundred_heartbeats_in_two_requests() {
    let (timing, _) = timing();
    let mut proxy = HeartbeatProxy::new(NODES[0], 7, timing);
    let leave = |token| ForwardReply { token, leave_ms: 5000, ready: true, ..ForwardReply::default() };
    proxy.set_leader(0.0, Some(LeaderIdentity { node: "chiefs-0".into(), fencing_token: 3 }));
    proxy.tick(timing.forward_interval_s);
    proxy.on_reply(timing.forward_interval_s, Some(leave(3)));
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
    let (mut heard, mut requests, mut now) = (0, 0, 1.5);
    let mut oldest = 0;
    while heard < 500 && requests < 10 {
        proxy.tick(now);
        for act in proxy.take_actions() {
            let ProxyAction::Forward(_, request) = act else { continue };
            requests += 1;
            heard += request.entries.len();
            oldest = request.entries.iter().map(|e| e.age_ms).max().unwrap_or(0).max(oldest);
            assert!(request.entries.iter().all(|e| e.content.is_some()));
            assert_eq!(request.complete, heard == 500);
            proxy.on_reply(now, Some(leave(3)));
        }
        now += timing.forward_interval_s;
    }
    assert_eq!((heard, requests), (500, 2));
    assert!((500..1000).contains(&oldest), "{oldest} ms");
}

/// A zone counts as back when half of its machines are heard. The other half is on its way:
/// a third of a zone was once declared dead in that moment.
#[test]
fn a_zone_that_has_just_recovered_is_waited_for() {
    let mut reach = ZoneReachability::default();
    let look = |reach: &mut ZoneReachability, now, heard: usize| {
        let machines = (0..10).map(|n| ("a", n < heard)).chain((0..10).map(|_| ("b", true)));
        reach.update(now, machines);
        (reach.is_unreachable("a"), reach.recovered_within("a", now, 25.0))
    };
    assert_eq!(look(&mut reach, 10.0, 10), (false, false));
    assert_eq!(look(&mut reach, 20.0, 2), (true, false));
    assert_eq!(look(&mut reach, 90.0, 4), (true, false));
    assert_eq!(look(&mut reach, 91.0, 5), (false, true));
    assert_eq!(look(&mut reach, 115.0, 9), (false, true));
    assert_eq!(look(&mut reach, 117.0, 10), (false, false));
    // It is scaled in to nothing while it is unreachable: new machines may be added there.
    assert_eq!(look(&mut reach, 200.0, 0), (true, false));
    assert!(reach.update(300.0, (0..10).map(|_| ("b", true))));
    assert!(!reach.is_unreachable("a"));
}
