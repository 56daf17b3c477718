//! Every message that crosses a border, numbered, and troubles that strike at one of them.
//!
//! Nothing here draws at random, so a run without troubles is the same whether it is
//! recorded or not, and one with troubles is the same up to the first of them.

use super::*;

/// A message, or a turn of a node's timer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Border {
    Timer,
    /// To the state service; `writes`: it may change something.
    State {
        writes: bool,
    },
    StateReply,
    Cloud,
    CloudReply,
    Relay,
    RelayReply,
    Report,
    ReportAnswer,
    Direct,
    DirectReply,
    User,
    UserAnswer,
}

/// What can happen at a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// It does not arrive.
    Lost,
    /// It arrives that much later; a node's timer: the node stands still for that long.
    Late(f64),
    /// A copy of it arrives that much later.
    Copied(f64),
    /// Its sender ends just before, or just after, and is back after that time. A machine stays away.
    EndsBefore(f64),
    EndsAfter(f64),
    /// Its receiver is cut off from there on.
    Cut(f64),
    /// The state service refuses its sender alone from there on.
    Refused(f64),
    /// The machine that sends or takes it hangs from there on.
    Hangs(f64),
    /// Users cancel every job that goes on.
    Cancel,
    /// Users ask for every job at every node, and repeat their submissions.
    Ask,
}

/// A message that was recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct Crossing {
    /// Its number in the run, from 1 on.
    pub number: u64,
    pub at: f64,
    pub border: Border,
    /// Kind, purpose and the state of what it is about.
    pub label: String,
}

/// What is to happen at which message, and what crossed.
#[derive(Default)]
pub(super) struct Interference {
    /// By number.
    plan: Vec<(u64, Trouble)>,
    count: u64,
    struck: usize,
    record: Option<Record>,
}

#[derive(Default)]
struct Record {
    crossings: Vec<Crossing>,
    /// What calls that wait for a reply were for.
    asked: BTreeMap<(usize, u64, CallId), String>,
}

impl Simulation {
    /// Has troubles strike at messages of these numbers (from 1 on), and records what crosses.
    pub fn interfere(&mut self, mut plan: Vec<(u64, Trouble)>, record: bool) {
        plan.sort_by_key(|p| p.0);
        let record = record.then(Record::default);
        self.interference = Some(Interference { plan, record, ..Interference::default() });
    }

    /// What crossed a border so far.
    pub fn crossings(&self) -> &[Crossing] {
        let record = self.interference.as_ref().and_then(|i| i.record.as_ref());
        record.map_or(&[], |r| &r.crossings)
    }

    /// How many of the planned troubles came about.
    pub fn struck(&self) -> usize {
        self.interference.as_ref().map_or(0, |i| i.struck)
    }

    /// Until when troubles go on.
    pub fn quiet_from(&self) -> f64 {
        self.quiet_from
    }

    /// Sends a message, `from` a node if that is known: the one place in which troubles strike.
    pub(super) fn send(&mut self, at: f64, from: Option<usize>, ev: Ev) {
        let Some(i) = &mut self.interference else { return self.push(at, ev) };
        i.count += 1;
        let number = i.count;
        let due: Vec<Trouble> = i.plan.iter().filter(|p| p.0 == number).map(|p| p.1).collect();
        if i.record.is_some() {
            self.note(number, &ev);
        }
        if due.is_empty() {
            return self.push(at, ev);
        }
        let mut message = Some((at, ev));
        for trouble in due {
            let Some((at, ev)) = message.take() else { break };
            message = self.meet(trouble, at, from, ev);
        }
        if let Some((at, ev)) = message {
            self.push(at, ev);
        }
    }

    /// What is left of a message after trouble met it.
    fn meet(&mut self, trouble: Trouble, at: f64, from: Option<usize>, ev: Ev) -> Option<(f64, Ev)> {
        if let Some(i) = &mut self.interference {
            i.struck += 1;
        }
        match trouble {
            Trouble::Lost => return None,
            Trouble::Late(by) => {
                if let Ev::Tick(node, _) = ev {
                    self.strike(Fault::Silent { node, for_s: by });
                    return Some((at, ev));
                }
                self.quiet_from = self.quiet_from.max(at + by);
                return Some((at + by, ev));
            }
            Trouble::Copied(by) => {
                self.quiet_from = self.quiet_from.max(at + by);
                if let Some(copy) = copy_of(&ev) {
                    self.push(at + by, copy);
                }
            }
            Trouble::EndsBefore(for_s) | Trouble::EndsAfter(for_s) => {
                self.sender_ends(from, &ev, for_s);
                if matches!(trouble, Trouble::EndsBefore(_)) {
                    return None;
                }
            }
            Trouble::Cut(for_s) => self.receiver_cut(from, &ev, for_s),
            Trouble::Refused(for_s) => {
                if let Some(node) = from {
                    self.strike(Fault::StateRefuses { node, for_s });
                }
            }
            Trouble::Hangs(for_s) => {
                if let Some(nth) = self.machine_of(&ev) {
                    self.strike(Fault::Hang { nth, for_s });
                }
            }
            Trouble::Cancel => self.cancel_all(),
            Trouble::Ask => self.ask_all(),
        }
        Some((at, ev))
    }

    fn sender_ends(&mut self, from: Option<usize>, ev: &Ev, for_s: f64) {
        match from {
            Some(node) => self.strike(Fault::Crash { node, for_s }),
            None => {
                if let Some(nth) = self.machine_of(ev) {
                    self.strike(Fault::Take { nth });
                }
            }
        }
    }

    fn receiver_cut(&mut self, from: Option<usize>, ev: &Ev, for_s: f64) {
        match ev {
            Ev::StateArrives(..) | Ev::LateWrite(..) => self.strike(Fault::StateOutage { for_s }),
            Ev::CloudArrives(..) => self.strike(Fault::CloudOutage { for_s }),
            Ev::Reply(node, _, Input::Store(..)) => self.strike(Fault::Alone { node: *node, for_s }),
            Ev::Reply(node, _, Input::ForwardReply(..)) | Ev::RelayArrives(_, _, _, node, _) => {
                self.strike(Fault::PeersCut { node: *node, for_s });
            }
            Ev::ReportArrives(_, _, node, _) | Ev::Reply(node, _, Input::Worker(..)) => {
                self.strike(Fault::Cut { node: *node, state: false, workers: true, for_s });
            }
            Ev::UserArrives(_, _, node, _) => self.strike(Fault::Silent { node: *node, for_s }),
            Ev::AnswerArrives(..) | Ev::DoArrives(..) => {
                if let Some(nth) = self.machine_of(ev) {
                    self.strike(Fault::Deaf { nth, for_s });
                }
            }
            _ => {
                if let Some(node) = from {
                    self.strike(Fault::Silent { node, for_s });
                }
            }
        }
    }

    /// The place among the workers of the one that sends or takes a message.
    fn machine_of(&self, ev: &Ev) -> Option<usize> {
        let id = match ev {
            Ev::ReportArrives(vm, ..) | Ev::AnswerArrives(vm, ..) => vm.clone(),
            Ev::DoArrives(_, _, _, addr, _) => {
                let to = self.workers.values().find(|w| w.place.addr.as_deref() == Some(addr));
                to?.place.id.clone()
            }
            Ev::Reply(_, _, Input::Worker(_, WorkerReply::Heartbeat { report, .. })) => {
                report.machine.clone()
            }
            _ => return None,
        };
        self.workers.keys().position(|k| *k == id)
    }

    fn note(&mut self, number: u64, ev: &Ev) {
        let Some(border) = border_of(ev) else { return };
        let label = self.label(ev);
        let at = self.now;
        let Some(record) = self.interference.as_mut().and_then(|i| i.record.as_mut()) else { return };
        let label = match call_of(ev) {
            Some((call, true)) => {
                record.asked.insert(call, label.clone());
                label
            }
            Some((call, false)) => {
                let asked = record.asked.get(&call).map_or("", String::as_str);
                format!("{asked} -> {label}")
            }
            None => label,
        };
        record.crossings.push(Crossing { number, at, border, label });
    }

    fn label(&self, ev: &Ev) -> String {
        match ev {
            Ev::Tick(n, _) => format!("timer of {}", self.role(*n)),
            Ev::StateArrives(n, _, _, op) | Ev::LateWrite(n, _, _, op) => {
                format!("{}: {}", self.role(*n), state_label(op))
            }
            Ev::CloudArrives(_, _, _, op) => format!("cloud {}", first_word(op)),
            Ev::DoArrives(_, _, _, _, body) => format!("direct {}", verbs(&body.commands)),
            Ev::RelayArrives(_, _, _, to, r) => {
                let full = r.entries.iter().filter(|e| e.content.is_some()).count();
                format!("relay to {}, entries in full: {}", self.role(*to), full > 0)
            }
            Ev::Reply(_, _, input) => reply_label(input),
            Ev::ReportArrives(_, _, to, body) => format!("report to {}: {}", self.role(*to), tasks(body)),
            Ev::AnswerArrives(_, _, n, a) => {
                let commands = protocol::decode::<HeartbeatResponse>(&a.body).map(|r| verbs(&r.commands));
                format!("answer of {} {} {}", self.role(*n), a.status, commands.unwrap_or_default())
            }
            Ev::UserArrives(id, _, _, r) => {
                let told = self.ledger.told.get(id).map_or("nothing".into(), first_word);
                format!("user {}, told {told}", first_word(r))
            }
            Ev::UserAnswer(_, _, a) => {
                let status = protocol::decode::<JobView>(&a.body).map(|v| first_word(&v.status));
                format!("to user {} {}", a.status, status.unwrap_or_default())
            }
            _ => String::new(),
        }
    }

    fn role(&self, n: usize) -> &'static str {
        if self.token(n).is_some() {
            "leader"
        } else {
            "another"
        }
    }
}

/// Which border a message crosses.
fn border_of(ev: &Ev) -> Option<Border> {
    Some(match ev {
        Ev::Tick(..) => Border::Timer,
        Ev::StateArrives(_, _, _, op) | Ev::LateWrite(_, _, _, op) => {
            let reads =
                matches!(op, StoreRequest::Get(_) | StoreRequest::List { .. } | StoreRequest::Watch { .. });
            Border::State { writes: !reads }
        }
        Ev::CloudArrives(..) => Border::Cloud,
        Ev::DoArrives(..) => Border::Direct,
        Ev::RelayArrives(..) => Border::Relay,
        Ev::Reply(_, _, Input::Store(..)) => Border::StateReply,
        Ev::Reply(_, _, Input::Cloud(..)) => Border::CloudReply,
        Ev::Reply(_, _, Input::Worker(..)) => Border::DirectReply,
        Ev::Reply(..) => Border::RelayReply,
        Ev::ReportArrives(..) => Border::Report,
        Ev::AnswerArrives(..) => Border::ReportAnswer,
        Ev::UserArrives(..) => Border::User,
        Ev::UserAnswer(..) => Border::UserAnswer,
        _ => return None,
    })
}

/// A copy of a message that may come twice.
fn copy_of(ev: &Ev) -> Option<Ev> {
    match ev {
        Ev::ReportArrives(vm, _, to, body) => {
            Some(Ev::ReportArrives(vm.clone(), u64::MAX, *to, body.clone()))
        }
        Ev::UserArrives(id, asked, n, r) => Some(Ev::UserArrives(id.clone(), *asked, *n, r.clone())),
        _ => None,
    }
}

/// The call that a message makes (true) or is the reply to.
fn call_of(ev: &Ev) -> Option<((usize, u64, CallId), bool)> {
    match ev {
        Ev::StateArrives(n, inc, call, _) | Ev::LateWrite(n, inc, call, _) => Some(((*n, *inc, *call), true)),
        Ev::CloudArrives(n, inc, call, _) => Some(((*n, *inc, *call), true)),
        Ev::DoArrives(n, inc, call, _, _) => Some(((*n, *inc, *call), true)),
        Ev::RelayArrives(n, inc, call, _, _) => Some(((*n, *inc, *call), true)),
        Ev::Reply(n, inc, input) => {
            let call = match input {
                Input::Store(c, _) | Input::Cloud(c, _) | Input::Worker(c, _) | Input::ForwardReply(c, _) => {
                    *c
                }
                _ => return None,
            };
            Some(((*n, *inc, call), false))
        }
        _ => None,
    }
}

/// The name of a value's variant: what is written of it up to the first other character.
fn first_word<T: std::fmt::Debug>(value: &T) -> String {
    struct Word(String);
    impl std::fmt::Write for Word {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            let end = text.find(|c: char| !c.is_alphanumeric());
            self.0.push_str(&text[..end.unwrap_or(text.len())]);
            // The rest may be long.
            end.map_or(Ok(()), |_| Err(std::fmt::Error))
        }
    }
    let mut word = Word(String::new());
    let _ = std::fmt::Write::write_fmt(&mut word, format_args!("{value:?}"));
    word.0
}

/// Different ones in their order.
fn each(mut words: Vec<String>) -> String {
    words.sort();
    words.dedup();
    words.join(",")
}

fn verbs(commands: &[Command]) -> String {
    each(commands.iter().map(|c| first_word(&c.kind)).collect())
}

fn tasks(body: &[u8]) -> String {
    let Ok(report) = protocol::decode::<Heartbeat>(body) else { return String::new() };
    let state = |t: &TaskStatus| match t.exit_cause {
        Some(cause) => format!("{:?} {cause:?}", t.state),
        None => first_word(&t.state),
    };
    let session = if report.epoch > 1 { "later session " } else { "" };
    format!("{session}{}", each(report.tasks.iter().map(state).collect()))
}

fn prefix(key: &str) -> &str {
    match key.split_once('/') {
        Some(("a", rest)) if !rest.starts_with("n-") => key,
        Some((first, _)) => first,
        None => key,
    }
}

fn state_label(op: &StoreRequest) -> String {
    match op {
        StoreRequest::Get(key) => format!("get {}", prefix(key)),
        StoreRequest::List { prefix: p, .. } => format!("list {p}"),
        StoreRequest::Watch { prefix: p, .. } => format!("watch {p}"),
        StoreRequest::Commit(txn) => {
            format!("commit {}", each(txn.mutations.iter().map(change_label).collect()))
        }
        other => first_word(other),
    }
}

fn change_label(change: &protocol::state::Mutation<controller::records::Value>) -> String {
    use controller::records::Value;
    use protocol::state::Mutation;
    match change {
        Mutation::Delete { key } => format!("{} gone", prefix(key)),
        Mutation::Put { key, value: Value::Job(j), .. } => {
            let placed = if j.first_page.placements.is_empty() { "" } else { " placed" };
            let done = if j.first_page.done.chars().any(|c| c != '0') { " some done" } else { "" };
            format!("{} {:?}{placed}{done}", prefix(key), j.status)
        }
        Mutation::Put { key, value: Value::Terminal(o), .. } => format!("{} {:?}", prefix(key), o.status),
        Mutation::Put { key, .. } => prefix(key).to_string(),
    }
}

fn reply_label(input: &Input) -> String {
    match input {
        Input::Store(_, StoreReply::Events(e)) => format!("events: {}", !e.events.is_empty()),
        Input::Store(_, r) => first_word(r),
        Input::Cloud(_, r) => first_word(r),
        Input::Worker(_, WorkerReply::Heartbeat { executed, .. }) => format!("executed: {executed}"),
        Input::ForwardReply(_, Some(r)) => {
            let ops = r.orders.iter().flat_map(|o| &o.orders).map(|o| first_word(&o.op()));
            format!("ready: {}, orders {}", r.ready, each(ops.collect()))
        }
        other => first_word(other),
    }
}
