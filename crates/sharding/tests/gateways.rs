//! One worker, two nodes that take its reports, a leader and its successor, with
//! every message between nodes delivered late, lost or out of turn.

use anisecroft_sharding::{
    HeartbeatForwarding, HeartbeatProxy, ProxyAction, ProxyId, ProxySafetyChecks, RequestId, ZoneReachability,
};
use protocol::peer::{ForwardReply, ForwardRequest, MachineCommands, Op, TaskCommand};
use protocol::worker::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Settings, Timing};
use std::collections::BTreeMap;

const NODES: [&str; 2] = ["chiefs-1", "chiefs-2"];
const MACHINE: &str = "vm-000001";

fn derived() -> (Timing, f64) {
    let s = Settings::parse(include_str!("../../../docs/example.toml")).unwrap();
    (Timing::from(&s), s.params.workers.lease_s)
}

/// A leader that answers every held report with a launch, whose attempt says by
/// whom and for which report it was given.
struct Leader {
    token: u64,
    relays: HeartbeatForwarding,
    newest: (u64, u64),
    content: (u64, u64),
    answered: f64,
    /// It replies until then; later its own lease is over.
    until: f64,
}

struct World {
    rng: SmallRng,
    d: Timing,
    lease_s: f64,
    now: f64,
    gateways: Vec<HeartbeatProxy>,
    leaders: Vec<Leader>,
    /// Messages on their way, with when they arrive.
    requests: Vec<(f64, usize, ForwardRequest)>,
    replies: Vec<(f64, usize, u64, ForwardReply)>,
    /// Which node's request a leader has, and its number.
    asked: BTreeMap<RequestId, (usize, u64)>,
    /// The request of each node that is on its way, and since when.
    calls: BTreeMap<usize, (u64, f64)>,
    /// Reports that wait at nodes: their number, and when they were sent.
    reports: BTreeMap<RequestId, (u64, f64)>,
    seq: u64,
    /// The report in flight.
    in_flight: Option<(RequestId, f64)>,
    renewed: f64,
    next: RequestId,
    cut_until: f64,
    answers: u64,
    launches: u64,
    broken: Option<&'static str>,
}

impl World {
    fn new(seed: u64, guards: ProxySafetyChecks) -> Self {
        let (d, lease_s) = derived();
        let gateways = NODES.iter().map(|n| {
            let mut g = HeartbeatProxy::new(n, 7, d);
            g.checks = guards;
            g
        });
        World {
            rng: SmallRng::seed_from_u64(seed),
            d,
            lease_s,
            now: 0.0,
            gateways: gateways.collect(),
            leaders: vec![Leader::new(1, 0.0)],
            requests: vec![],
            replies: vec![],
            asked: BTreeMap::new(),
            calls: BTreeMap::new(),
            reports: BTreeMap::new(),
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

    fn carry_out(&mut self, n: usize) {
        for act in self.gateways[n].take_actions() {
            match act {
                ProxyAction::Respond(id, answer) => self.answered(id, &answer),
                ProxyAction::Redirect(id, _) | ProxyAction::Reject(id, _) => {
                    self.reports.remove(&id);
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
        let Some((seq, sent)) = self.reports.remove(&id) else { return };
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

    /// The worker reports, to whichever node.
    fn report(&mut self) {
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
        let report = Heartbeat {
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
        self.reports.insert(self.next, (self.seq, self.now));
        let n = self.rng.gen_range(0..NODES.len());
        self.gateways[n].on_heartbeat(self.now, self.next, report);
        self.carry_out(n);
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
                self.gateways[n].on_reply(now, Some(reply));
                self.carry_out(n);
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.gen_range(0.01..0.06);
        let now = self.now;
        if now > self.cut_until + 3.0 && self.rng.gen_bool(0.01) {
            // Some last longer than a worker's lease and a leave.
            let longest = if self.rng.gen_bool(0.2) { 45.0 } else { 9.0 };
            self.cut_until = now + self.rng.gen_range(0.5..longest);
        }
        if self.leaders.len() == 1 && now > 30.0 {
            // What the old leader granted ends with its grace.
            let mut new = Leader::new(2, now);
            new.answered = now + self.d.delegated_lease_s;
            self.leaders[0].until = now + 2.0;
            self.leaders.push(new);
        }
        for n in 0..NODES.len() {
            // The nodes hear of the successor at different times.
            let unheard = self.leaders.len() == 2 && now < 31.0 + 3.0 * n as f64;
            let token = self.leaders.len() as u64 - u64::from(unheard);
            self.gateways[n].set_leader(now, Some(("chiefs-0".into(), token)));
            self.gateways[n].tick(now);
            self.carry_out(n);
            if self.calls.get(&n).is_some_and(|c| now > c.1 + 6.0) {
                self.calls.remove(&n);
                self.gateways[n].on_reply(now, None);
                self.carry_out(n);
            }
        }
        if self.rng.gen_bool(0.05) {
            self.report();
        }
        self.deliver();
        for l in 0..self.leaders.len() {
            let leave = self.d.delegated_lease_s.min(self.leaders[l].until - now);
            let token = self.leaders[l].token;
            for due in self.leaders[l].relays.take_due_replies(now, token, leave, self.d.forward_interval_s) {
                let Some((n, number)) = self.asked.remove(&due.request) else { continue };
                if let Some(at) = self.way() {
                    self.replies.push((at, n, number, due.reply));
                }
            }
        }
        let current = &self.leaders[self.leaders.len() - 1];
        let over = current.relays.lease_surely_expired(current.answered, self.lease_s, now);
        if over && now < self.renewed + self.lease_s {
            self.broken = Some("a lease is over for the leader and not for the worker");
        }
    }
}

impl Leader {
    fn new(token: u64, now: f64) -> Self {
        Leader {
            token,
            relays: HeartbeatForwarding::default(),
            newest: (0, 0),
            content: (0, 0),
            answered: now,
            until: f64::MAX,
        }
    }

    fn on_request(&mut self, now: f64, id: RequestId, r: &ForwardRequest) {
        let source: ProxyId = (r.node.clone(), r.incarnation);
        let ready = r.token == self.token;
        self.relays.on_request(now, id, r, ready);
        for e in r.entries.iter().filter(|_| ready) {
            let place = (e.session, e.seq);
            if place <= self.newest {
                continue;
            }
            if e.content.is_none() && self.content != (e.session, e.same_as) {
                self.relays.request_content(&source, &e.machine);
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
                self.relays
                    .add_commands(&source, MachineCommands { machine, session: 1, seq, orders: vec![order] });
            }
        }
    }
}

fn run(seed: u64, guards: ProxySafetyChecks) -> World {
    let mut w = World::new(seed, guards);
    while w.now < 150.0 && w.broken.is_none() {
        w.step();
    }
    w
}

#[test]
fn answers_and_leases_hold_with_every_message_late() {
    let (mut answers, mut launches) = (0, 0);
    for seed in 0..300 {
        let w = run(seed, ProxySafetyChecks::default());
        assert_eq!(w.broken, None, "seed {seed} at {}", w.now);
        (answers, launches) = (answers + w.answers, launches + w.launches);
    }
    assert!(answers > 300 * 15 && launches > 300 * 3, "{answers} answers, {launches} launches");
}

/// A gateway that answers on after its leave renews leases that the leader takes
/// for over.
#[test]
fn without_the_leave_a_lease_is_taken_for_over() {
    let guards = ProxySafetyChecks { lease_expiry: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, guards).broken.is_some()));
}

/// Commands once given for one report that answer another, or go out with a later
/// leader's token.
#[test]
fn without_the_token_a_command_answers_another_report() {
    let guards = ProxySafetyChecks { fencing: false, ..ProxySafetyChecks::default() };
    assert!((0..300).any(|seed| run(seed, guards).broken.is_some()));
}

/// 500 workers report in the same half second after a takeover: the leader has all
/// of them, in full and with their age, after two requests.
#[test]
fn a_takeover_hears_five_hundred_reports_in_two_requests() {
    let (d, _) = derived();
    let mut g = HeartbeatProxy::new(NODES[0], 7, d);
    let leave = |token| ForwardReply { token, leave_ms: 5000, ready: true, ..ForwardReply::default() };
    g.set_leader(0.0, Some(("chiefs-0".into(), 3)));
    g.tick(d.forward_interval_s);
    g.on_reply(d.forward_interval_s, Some(leave(3)));
    g.take_actions();
    for n in 0..500u64 {
        let report = Heartbeat {
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
        g.on_heartbeat(1.0 + n as f64 / 1000.0, n, report);
    }
    let (mut heard, mut requests, mut now) = (0, 0, 1.5);
    let mut oldest = 0;
    while heard < 500 && requests < 10 {
        g.tick(now);
        for act in g.take_actions() {
            let ProxyAction::Forward(_, request) = act else { continue };
            requests += 1;
            heard += request.entries.len();
            oldest = request.entries.iter().map(|e| e.age_ms).max().unwrap_or(0).max(oldest);
            assert!(request.entries.iter().all(|e| e.content.is_some()));
            assert_eq!(request.complete, heard == 500);
            g.on_reply(now, Some(leave(3)));
        }
        now += d.forward_interval_s;
    }
    assert_eq!((heard, requests), (500, 2));
    assert!((500..1000).contains(&oldest), "{oldest} ms");
}

/// A zone counts as back when half of its machines are heard. The other half is on its way:
/// a third of a zone was once given up in that moment.
#[test]
fn a_zone_that_is_just_back_is_waited_for() {
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
    // Its machines are given back while it is away: new ones may be rented there.
    assert_eq!(look(&mut reach, 200.0, 0), (true, false));
    assert!(reach.update(300.0, (0..10).map(|_| ("b", true))));
    assert!(!reach.is_unreachable("a"));
}
