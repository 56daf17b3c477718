//! A digest of every message that goes into a core or comes out of it, in the form that it has
//! on the wire: two versions of the code behave alike on a day if their digests are equal,
//! whatever their types and fields are called.

use super::Simulation;
use controller::*;
use prost::Message;
use protocol::cloud::Machines;
use protocol::state::{Committed, GrantLease, Lease, Missing};
use serde::Serialize;

/// How many messages crossed so far, and the FNV-1a hash (64 bits) of all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    pub messages: u64,
    pub value: u64,
}

impl Default for Digest {
    fn default() -> Self {
        Digest { messages: 0, value: 0xcbf2_9ce4_8422_2325 }
    }
}

/// Which way and over which border a message goes. The numbers are part of the digests.
#[derive(Clone, Copy)]
enum Way {
    Request = 1,
    Answer = 2,
    State = 3,
    StateReply = 4,
    Cloud = 5,
    CloudReply = 6,
    Direct = 7,
    DirectReply = 8,
    RelaySent = 9,
    RelayReplyReceived = 10,
    RelayReceived = 11,
    RelayReplySent = 12,
    View = 13,
}

/// The bytes of one message, each part with its length or of a fixed length.
#[derive(Default)]
struct Parts(Vec<u8>);

impl Parts {
    /// What kind of message it is.
    fn kind(kind: u8) -> Self {
        Parts(vec![kind])
    }

    fn number(mut self, number: u64) -> Self {
        self.0.extend(number.to_be_bytes());
        self
    }

    fn bytes(self, bytes: &[u8]) -> Self {
        let mut parts = self.number(bytes.len() as u64);
        parts.0.extend(bytes);
        parts
    }

    fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes())
    }

    fn optional(self, text: Option<&str>) -> Self {
        let parts = self.number(u64::from(text.is_some()));
        parts.text(text.unwrap_or_default())
    }

    /// What is MessagePack on the wire.
    fn body<T: Serialize>(self, body: &T) -> Self {
        let bytes = protocol::encode(body);
        assert!(!bytes.is_empty(), "a message has no wire form");
        self.bytes(&bytes)
    }
}

fn request(request: &Request) -> Parts {
    match request {
        Request::Submit(body) => Parts::kind(1).bytes(body),
        Request::QueryStatus(id) => Parts::kind(2).text(id),
        Request::Cancel(id) => Parts::kind(3).text(id),
        Request::Heartbeat(body) => Parts::kind(4).bytes(body),
        Request::HealthCheck => Parts::kind(5),
    }
}

fn answer(answer: &HttpResponse) -> Parts {
    let retry = answer.retry_after_s.map_or(u64::MAX, u64::from);
    Parts::default().number(answer.status.into()).bytes(&answer.body).number(retry)
}

fn state(op: &StoreRequest) -> Parts {
    match op {
        StoreRequest::Get(key) => Parts::kind(1).text(key),
        StoreRequest::List { prefix, after } => Parts::kind(2).text(prefix).optional(after.as_deref()),
        StoreRequest::Commit(txn) => Parts::kind(3).body(txn),
        StoreRequest::Grant { ttl_ms } => Parts::kind(4).body(&GrantLease { ttl_ms: *ttl_ms }),
        StoreRequest::Renew(id) => Parts::kind(5).number(*id),
        StoreRequest::Revoke(id) => Parts::kind(6).number(*id),
        StoreRequest::Watch { prefix, after, wait_ms } => {
            Parts::kind(7).text(prefix).number(*after).number(*wait_ms)
        }
    }
}

fn state_reply(reply: &StoreReply) -> Parts {
    match reply {
        StoreReply::Item(item) => Parts::kind(1).body(item),
        StoreReply::Missing(revision) => Parts::kind(2).body(&Missing { revision: *revision }),
        StoreReply::Page(page) => Parts::kind(3).body(page),
        StoreReply::Committed(revision) => Parts::kind(4).body(&Committed { revision: *revision }),
        StoreReply::Conflict(conflict) => Parts::kind(5).body(conflict),
        StoreReply::Granted(lease) => Parts::kind(6).body(&Lease { lease: *lease }),
        StoreReply::Done => Parts::kind(7),
        StoreReply::Events(events) => Parts::kind(8).body(events),
        StoreReply::Gone => Parts::kind(9),
        StoreReply::Invalid => Parts::kind(10),
        StoreReply::Limited => Parts::kind(11),
        StoreReply::Refused => Parts::kind(12),
        StoreReply::Unknown => Parts::kind(13),
    }
}

fn cloud(op: &CloudRequest) -> Parts {
    match op {
        CloudRequest::Types => Parts::kind(1),
        CloudRequest::List { after } => Parts::kind(2).optional(after.as_deref()),
        CloudRequest::Rent(rent) => Parts::kind(3).body(rent),
        CloudRequest::Delete(names) => Parts::kind(4).body(&Machines { machines: names.clone() }),
    }
}

fn cloud_reply(reply: &CloudReply) -> Parts {
    match reply {
        CloudReply::Types(types) => Parts::kind(1).body(types),
        CloudReply::List(list) => Parts::kind(2).body(list),
        CloudReply::Machines(machines) => Parts::kind(3).body(machines),
        CloudReply::NoCapacity => Parts::kind(4),
        CloudReply::Done => Parts::kind(5),
        CloudReply::Malformed => Parts::kind(6),
        CloudReply::Refused => Parts::kind(7),
        CloudReply::Unknown => Parts::kind(8),
    }
}

fn direct_reply(reply: &WorkerReply) -> Parts {
    match reply {
        WorkerReply::Heartbeat { executed, report } => Parts::kind(1).number((*executed).into()).body(report),
        WorkerReply::Failed => Parts::kind(2),
    }
}

impl Digest {
    fn add(&mut self, now: f64, way: Way, node: usize, id: u64, parts: Parts) {
        let head = Parts::kind(way as u8).number(now.to_bits()).number(node as u64).number(id);
        for byte in head.bytes(&parts.0).0 {
            self.value = (self.value ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.messages += 1;
    }

    /// What goes into the core of node `n`; a call's own failure counts as its reply, a timer not.
    pub(super) fn input(&mut self, now: f64, n: usize, input: &Input) {
        let (way, id, parts) = match input {
            Input::Tick => return,
            Input::Request(id, r) => (Way::Request, *id, request(r)),
            Input::Store(call, r) => (Way::StateReply, *call, state_reply(r)),
            Input::Cloud(call, r) => (Way::CloudReply, *call, cloud_reply(r)),
            Input::Worker(call, r) => (Way::DirectReply, *call, direct_reply(r)),
            Input::PeerView(view) => (Way::View, 0, Parts::default().bytes(&view.encode_to_vec())),
            Input::ForwardRequest(id, r) => {
                (Way::RelayReceived, *id, Parts::default().bytes(&r.encode_to_vec()))
            }
            Input::ForwardReply(call, r) => {
                let parts = match r {
                    Some(r) => Parts::kind(1).bytes(&r.encode_to_vec()),
                    None => Parts::kind(0),
                };
                (Way::RelayReplyReceived, *call, parts)
            }
        };
        self.add(now, way, n, id, parts);
    }

    /// What comes out of the core of node `n`.
    pub(super) fn output(&mut self, now: f64, n: usize, output: &Output) {
        let (way, id, parts) = match output {
            Output::Response(id, a) => (Way::Answer, *id, answer(a)),
            Output::Store(call, op) => (Way::State, *call, state(op)),
            Output::Cloud(call, op) => (Way::Cloud, *call, cloud(op)),
            Output::Worker(call, addr, body) => (Way::Direct, *call, Parts::default().text(addr).body(body)),
            Output::Forward(call, node, r) => {
                (Way::RelaySent, *call, Parts::default().text(node).bytes(&r.encode_to_vec()))
            }
            Output::ForwardReply(id, r) => {
                (Way::RelayReplySent, *id, Parts::default().bytes(&r.encode_to_vec()))
            }
        };
        self.add(now, way, n, id, parts);
    }
}

impl Simulation {
    /// Takes the digest of every message from here on.
    pub fn record_digest(&mut self) {
        self.digest = Some(Digest::default());
    }

    /// The digest of what crossed since then; None: it is not taken.
    pub fn digest(&self) -> Option<Digest> {
        self.digest
    }
}
