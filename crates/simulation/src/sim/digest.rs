//! Digest of all inputs and outputs of controllers in their wire format. If two versions of the code
//! have equal digests for a run, they behaved identically in it, regardless of the names of their
//! types and fields.

use super::Simulation;
use controller::*;
use prost::Message;
use protocol::cloud::Machines;
use protocol::state::{Committed, GrantLease, Lease, Missing};
use serde::Serialize;

/// FNV-1a hash of the empty input.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a multiplier for each byte.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Number and hash of all messages so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Number of messages so far.
    pub messages: u64,
    /// 64-bit FNV-1a hash of the messages.
    pub value: u64,
}

impl Default for Digest {
    fn default() -> Self {
        Digest { messages: 0, value: FNV_OFFSET_BASIS }
    }
}

/// Parties and direction of a message. The numbers are part of the digests.
#[derive(Clone, Copy)]
enum Channel {
    Request = 1,
    Response = 2,
    Store = 3,
    StoreReply = 4,
    Cloud = 5,
    CloudReply = 6,
    Commands = 7,
    CommandsReply = 8,
    ForwardSent = 9,
    ForwardReplyReceived = 10,
    ForwardReceived = 11,
    ForwardReplySent = 12,
    PeerView = 13,
}

/// Bytes of one message. Each field has a fixed length or is preceded by its length.
#[derive(Default)]
struct WireForm(Vec<u8>);

impl WireForm {
    /// Creates a wire form that begins with the kind of the message.
    fn kind(kind: u8) -> Self {
        WireForm(vec![kind])
    }

    fn number(mut self, number: u64) -> Self {
        self.0.extend(number.to_be_bytes());
        self
    }

    fn bytes(self, bytes: &[u8]) -> Self {
        let mut form = self.number(bytes.len() as u64);
        form.0.extend(bytes);
        form
    }

    fn text(self, text: &str) -> Self {
        self.bytes(text.as_bytes())
    }

    fn optional(self, text: Option<&str>) -> Self {
        let form = self.number(u64::from(text.is_some()));
        form.text(text.unwrap_or_default())
    }

    /// Appends a body that is encoded as MessagePack on the wire.
    fn body<T: Serialize>(self, body: &T) -> Self {
        let bytes = protocol::encode(body);
        assert!(!bytes.is_empty(), "a message has no wire form");
        self.bytes(&bytes)
    }
}

fn request_form(request: &Request) -> WireForm {
    match request {
        Request::Submit(body) => WireForm::kind(1).bytes(body),
        Request::QueryStatus(id) => WireForm::kind(2).text(id),
        Request::Cancel(id) => WireForm::kind(3).text(id),
        Request::Heartbeat(body) => WireForm::kind(4).bytes(body),
        Request::HealthCheck => WireForm::kind(5),
    }
}

fn response_form(response: &HttpResponse) -> WireForm {
    let retry = response.retry_after_s.map_or(u64::MAX, u64::from);
    WireForm::default().number(response.status.into()).bytes(&response.body).number(retry)
}

fn store_request_form(request: &StoreRequest) -> WireForm {
    match request {
        StoreRequest::Get(key) => WireForm::kind(1).text(key),
        StoreRequest::List { prefix, after } => WireForm::kind(2).text(prefix).optional(after.as_deref()),
        StoreRequest::Commit(txn) => WireForm::kind(3).body(txn),
        StoreRequest::Grant { ttl_ms } => WireForm::kind(4).body(&GrantLease { ttl_ms: *ttl_ms }),
        StoreRequest::Renew(id) => WireForm::kind(5).number(*id),
        StoreRequest::Revoke(id) => WireForm::kind(6).number(*id),
        StoreRequest::Watch { prefix, after, wait_ms } => {
            WireForm::kind(7).text(prefix).number(*after).number(*wait_ms)
        }
    }
}

fn store_reply_form(reply: &StoreReply) -> WireForm {
    match reply {
        StoreReply::Item(item) => WireForm::kind(1).body(item),
        StoreReply::Missing(revision) => WireForm::kind(2).body(&Missing { revision: *revision }),
        StoreReply::Page(page) => WireForm::kind(3).body(page),
        StoreReply::Committed(revision) => WireForm::kind(4).body(&Committed { revision: *revision }),
        StoreReply::Conflict(conflict) => WireForm::kind(5).body(conflict),
        StoreReply::Granted(lease) => WireForm::kind(6).body(&Lease { lease: *lease }),
        StoreReply::Done => WireForm::kind(7),
        StoreReply::Events(events) => WireForm::kind(8).body(events),
        StoreReply::Gone => WireForm::kind(9),
        StoreReply::Invalid => WireForm::kind(10),
        StoreReply::Limited => WireForm::kind(11),
        StoreReply::Refused => WireForm::kind(12),
        StoreReply::Unknown => WireForm::kind(13),
    }
}

fn cloud_request_form(request: &CloudRequest) -> WireForm {
    match request {
        CloudRequest::Types => WireForm::kind(1),
        CloudRequest::List { after } => WireForm::kind(2).optional(after.as_deref()),
        CloudRequest::Rent(rent) => WireForm::kind(3).body(rent),
        CloudRequest::Delete(names) => WireForm::kind(4).body(&Machines { machines: names.clone() }),
    }
}

fn cloud_reply_form(reply: &CloudReply) -> WireForm {
    match reply {
        CloudReply::Types(types) => WireForm::kind(1).body(types),
        CloudReply::List(list) => WireForm::kind(2).body(list),
        CloudReply::Machines(machines) => WireForm::kind(3).body(machines),
        CloudReply::NoCapacity => WireForm::kind(4),
        CloudReply::Done => WireForm::kind(5),
        CloudReply::Malformed => WireForm::kind(6),
        CloudReply::Refused => WireForm::kind(7),
        CloudReply::Unknown => WireForm::kind(8),
    }
}

fn direct_reply_form(reply: &WorkerReply) -> WireForm {
    match reply {
        WorkerReply::Heartbeat { executed, report } => {
            WireForm::kind(1).number((*executed).into()).body(report)
        }
        WorkerReply::Failed => WireForm::kind(2),
    }
}

impl Digest {
    fn add(&mut self, now: f64, channel: Channel, node: usize, id: u64, form: WireForm) {
        let head = WireForm::kind(channel as u8).number(now.to_bits()).number(node as u64).number(id);
        for byte in head.bytes(&form.0).0 {
            self.value = (self.value ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        self.messages += 1;
    }

    /// Adds an input of a controller. A failed call counts as its reply. Timers are not included.
    pub(super) fn add_input(&mut self, now: f64, node: usize, input: &Input) {
        let (channel, id, form) = match input {
            Input::Tick => return,
            Input::Request(id, request) => (Channel::Request, *id, request_form(request)),
            Input::Store(call, reply) => (Channel::StoreReply, *call, store_reply_form(reply)),
            Input::Cloud(call, reply) => (Channel::CloudReply, *call, cloud_reply_form(reply)),
            Input::Worker(call, reply) => (Channel::CommandsReply, *call, direct_reply_form(reply)),
            Input::PeerView(view) => (Channel::PeerView, 0, WireForm::default().bytes(&view.encode_to_vec())),
            Input::ForwardRequest(id, request) => {
                (Channel::ForwardReceived, *id, WireForm::default().bytes(&request.encode_to_vec()))
            }
            Input::ForwardReply(call, reply) => {
                let form = match reply {
                    Some(reply) => WireForm::kind(1).bytes(&reply.encode_to_vec()),
                    None => WireForm::kind(0),
                };
                (Channel::ForwardReplyReceived, *call, form)
            }
        };
        self.add(now, channel, node, id, form);
    }

    /// Adds an output of a controller.
    pub(super) fn add_output(&mut self, now: f64, node: usize, output: &Output) {
        let (channel, id, form) = match output {
            Output::Response(id, response) => (Channel::Response, *id, response_form(response)),
            Output::Store(call, request) => (Channel::Store, *call, store_request_form(request)),
            Output::Cloud(call, request) => (Channel::Cloud, *call, cloud_request_form(request)),
            Output::Worker(call, addr, body) => {
                (Channel::Commands, *call, WireForm::default().text(addr).body(body))
            }
            Output::Forward(call, peer, request) => {
                (Channel::ForwardSent, *call, WireForm::default().text(peer).bytes(&request.encode_to_vec()))
            }
            Output::ForwardReply(id, reply) => {
                (Channel::ForwardReplySent, *id, WireForm::default().bytes(&reply.encode_to_vec()))
            }
        };
        self.add(now, channel, node, id, form);
    }
}

impl Simulation {
    /// Starts the digest: all messages from now on are included.
    pub fn record_digest(&mut self) {
        self.digest = Some(Digest::default());
    }

    /// Returns the digest of all messages since `record_digest`. None if it was not called.
    pub fn digest(&self) -> Option<Digest> {
        self.digest
    }
}
