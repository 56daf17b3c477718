//! Stand-ins for the cases of the second review: state service, cloud, workers, users and the
//! platform that starts the controllers. Standard library only. They follow the pages of the
//! protocol; where a page is silent they behave like a sound service.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- record

/// Writes `record.txt`: what was sent, answered and run, with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| quit(&format!("cannot write {path}: {error}")));
        Arc::new(Record { started: Instant::now(), file: Mutex::new(file) })
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the case as one that could not run.
pub fn quit(text: &str) -> ! {
    eprintln!("{text}");
    std::process::exit(2);
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Whether the disruption takes place (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- MessagePack

#[derive(Debug, Clone, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(u64),
    Neg(i64),
    Num(f64),
    Str(String),
    List(Vec<V>),
    Map(Vec<(String, V)>),
}

pub fn s(text: &str) -> V {
    V::Str(text.to_string())
}
pub fn map(fields: Vec<(&str, V)>) -> V {
    V::Map(fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> Option<&V> {
        match self {
            V::Map(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(V::Str(text)) => text.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(V::Int(value)) => *value,
            Some(V::Num(value)) => *value as u64,
            _ => 0,
        }
    }
    pub fn num(&self, key: &str) -> f64 {
        match self.get(key) {
            Some(V::Int(value)) => *value as f64,
            Some(V::Neg(value)) => *value as f64,
            Some(V::Num(value)) => *value,
            _ => 0.0,
        }
    }
    pub fn list(&self, key: &str) -> &[V] {
        match self.get(key) {
            Some(V::List(items)) => items,
            _ => &[],
        }
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(value) => out.push(if *value { 0xc3 } else { 0xc2 }),
            V::Int(value) if *value < 128 => out.push(*value as u8),
            V::Int(value) => {
                out.push(0xcf);
                out.extend(value.to_be_bytes());
            }
            V::Neg(value) => {
                out.push(0xd3);
                out.extend(value.to_be_bytes());
            }
            V::Num(value) => {
                out.push(0xcb);
                out.extend(value.to_be_bytes());
            }
            V::Str(text) => {
                if text.len() < 32 {
                    out.push(0xa0 | text.len() as u8);
                } else {
                    out.push(0xdb);
                    out.extend((text.len() as u32).to_be_bytes());
                }
                out.extend(text.as_bytes());
            }
            V::List(items) => {
                if items.len() < 16 {
                    out.push(0x90 | items.len() as u8);
                } else {
                    out.push(0xdd);
                    out.extend((items.len() as u32).to_be_bytes());
                }
                items.iter().for_each(|item| item.write(out));
            }
            V::Map(fields) => {
                if fields.len() < 16 {
                    out.push(0x80 | fields.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend((fields.len() as u32).to_be_bytes());
                }
                for (key, value) in fields {
                    V::Str(key.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }
    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let value = V::read(bytes, &mut at)?;
        (at == bytes.len()).then_some(value)
    }
    fn read(bytes: &[u8], at: &mut usize) -> Option<V> {
        fn take<'a>(bytes: &'a [u8], at: &mut usize, len: usize) -> Option<&'a [u8]> {
            let part = bytes.get(*at..*at + len)?;
            *at += len;
            Some(part)
        }
        fn number(bytes: &[u8], at: &mut usize, len: usize) -> Option<u64> {
            Some(take(bytes, at, len)?.iter().fold(0u64, |sum, byte| sum << 8 | u64::from(*byte)))
        }
        fn text(bytes: &[u8], at: &mut usize, len: usize) -> Option<V> {
            Some(V::Str(String::from_utf8(take(bytes, at, len)?.to_vec()).ok()?))
        }
        fn items(bytes: &[u8], at: &mut usize, len: usize) -> Option<V> {
            (0..len).map(|_| V::read(bytes, at)).collect::<Option<Vec<V>>>().map(V::List)
        }
        fn fields(bytes: &[u8], at: &mut usize, len: usize) -> Option<V> {
            let mut fields = Vec::new();
            for _ in 0..len {
                let V::Str(key) = V::read(bytes, at)? else { return None };
                fields.push((key, V::read(bytes, at)?));
            }
            Some(V::Map(fields))
        }
        let marker = take(bytes, at, 1)?[0];
        Some(match marker {
            0x00..=0x7f => V::Int(u64::from(marker)),
            0x80..=0x8f => return fields(bytes, at, usize::from(marker & 15)),
            0x90..=0x9f => return items(bytes, at, usize::from(marker & 15)),
            0xa0..=0xbf => return text(bytes, at, usize::from(marker & 31)),
            0xc0 => V::Nil,
            0xc2 => V::Bool(false),
            0xc3 => V::Bool(true),
            0xca => V::Num(f64::from(f32::from_bits(number(bytes, at, 4)? as u32))),
            0xcb => V::Num(f64::from_bits(number(bytes, at, 8)?)),
            0xcc..=0xcf => V::Int(number(bytes, at, 1 << (marker - 0xcc))?),
            0xd0 => V::Neg(i64::from(number(bytes, at, 1)? as i8)),
            0xd1 => V::Neg(i64::from(number(bytes, at, 2)? as i16)),
            0xd2 => V::Neg(i64::from(number(bytes, at, 4)? as i32)),
            0xd3 => V::Neg(number(bytes, at, 8)? as i64),
            0xd9..=0xdb => {
                let len = number(bytes, at, 1 << (marker - 0xd9))? as usize;
                return text(bytes, at, len);
            }
            0xdc | 0xdd => {
                let len = number(bytes, at, 2 << (marker - 0xdc))? as usize;
                return items(bytes, at, len);
            }
            0xde | 0xdf => {
                let len = number(bytes, at, 2 << (marker - 0xde))? as usize;
                return fields(bytes, at, len);
            }
            0xe0..=0xff => V::Neg(i64::from(marker as i8)),
            _ => return None,
        })
    }
    /// JSON text, the form in which the pages count sizes.
    pub fn json(&self) -> String {
        fn quoted(text: &str) -> String {
            let mut out = String::from("\"");
            for character in text.chars() {
                match character {
                    '"' => out.push_str("\\\""),
                    '\\' => out.push_str("\\\\"),
                    control if (control as u32) < 32 => out.push_str(&format!("\\u{:04x}", control as u32)),
                    other => out.push(other),
                }
            }
            out + "\""
        }
        match self {
            V::Nil => "null".to_string(),
            V::Bool(value) => value.to_string(),
            V::Int(value) => value.to_string(),
            V::Neg(value) => value.to_string(),
            V::Num(value) => format!("{value:?}"),
            V::Str(text) => quoted(text),
            V::List(items) => format!("[{}]", items.iter().map(V::json).collect::<Vec<_>>().join(",")),
            V::Map(fields) => {
                let fields: Vec<String> =
                    fields.iter().map(|(key, value)| format!("{}:{}", quoted(key), value.json())).collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

// ---------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn answer(status: u16, body: V) -> Option<Response> {
    Some(Response { status, body: body.encode() })
}

/// Reads a message: its first line, its headers in lower case, and its body.
fn read_message(
    stream: &mut TcpStream,
    buffered: &mut Vec<u8>,
) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let head_end = loop {
        if let Some(end) = buffered.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        if !read_more(stream, buffered) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffered[..head_end]).to_string();
    buffered.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_string();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let end = loop {
                if let Some(end) = buffered.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                if !read_more(stream, buffered) {
                    return None;
                }
            };
            let size = usize::from_str_radix(String::from_utf8_lossy(&buffered[..end]).trim(), 16).ok()?;
            buffered.drain(..end + 2);
            while buffered.len() < size + 2 {
                if !read_more(stream, buffered) {
                    return None;
                }
            }
            body.extend(buffered.drain(..size));
            buffered.drain(..2);
            if size == 0 {
                return Some((first, headers, body));
            }
        }
    }
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffered.len() < length {
        if !read_more(stream, buffered) {
            return None;
        }
    }
    body.extend(buffered.drain(..length));
    Some((first, headers, body))
}

fn read_more(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> bool {
    let mut part = [0u8; 16384];
    match stream.read(&mut part) {
        Ok(0) | Err(_) => false,
        Ok(count) => {
            buffered.extend(&part[..count]);
            true
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).to_string()
}

/// Serves requests on a free port of the loopback address; a handler that returns None closes the
/// connection without an answer.
pub fn serve(handler: Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| quit(&format!("no port: {error}")));
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffered = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut buffered) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_string();
                    let target = words.next().unwrap_or_default().to_string();
                    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                    let query = query
                        .split('&')
                        .filter_map(|part| part.split_once('='))
                        .map(|(key, value)| (key.to_string(), unescape(value)))
                        .collect();
                    let request = Request { method, path: path.to_string(), query, body };
                    let Some(response) = handler(request) else { return };
                    let mut bytes = format!(
                        "HTTP/1.1 {} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
                        response.status,
                        response.body.len()
                    )
                    .into_bytes();
                    bytes.extend(&response.body);
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                    if headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// One connection of a user, a worker or a load balancer.
pub struct Connection {
    stream: TcpStream,
    buffered: Vec<u8>,
    pub addr: SocketAddr,
}

impl Connection {
    pub fn open(addr: SocketAddr, timeout_s: f64) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs_f64(timeout_s)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, buffered: Vec::new(), addr })
    }
    /// Sends a request and waits for the response. None: no response in time; the connection must
    /// not be used again.
    pub fn call(&mut self, method: &str, path: &str, body: Option<&V>, timeout_s: f64) -> Option<Response> {
        let body = body.map(V::encode);
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nhost: {}\r\n", self.addr);
        if let Some(body) = &body {
            bytes += &format!("content-type: application/msgpack\r\ncontent-length: {}\r\n", body.len());
        }
        bytes += "\r\n";
        let mut bytes = bytes.into_bytes();
        bytes.extend(body.unwrap_or_default());
        let _ = self.stream.set_read_timeout(Some(Duration::from_secs_f64(timeout_s)));
        self.stream.write_all(&bytes).ok()?;
        let (first, _, body) = read_message(&mut self.stream, &mut self.buffered)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        Some(Response { status, body })
    }
}

pub fn call_once(addr: SocketAddr, method: &str, path: &str, body: Option<&V>, timeout_s: f64) -> Option<Response> {
    Connection::open(addr, timeout_s)?.call(method, path, body, timeout_s)
}

// ---------------------------------------------------------------- a network path

/// A path to a server that can be cut: packets are held while it is cut, and connections opened
/// meanwhile hang; afterwards everything is delivered in order.
pub struct Path {
    pub cut: Arc<AtomicBool>,
    pub addr: SocketAddr,
}

impl Path {
    pub fn to(target: SocketAddr) -> Path {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| quit(&format!("no port: {error}")));
        let addr = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                let cut = shared.clone();
                thread::spawn(move || {
                    while cut.load(Ordering::Relaxed) {
                        sleep(0.02);
                    }
                    let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_secs(2)) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else { return };
                    let back = cut.clone();
                    thread::spawn(move || pump(server, client, &back));
                    pump(from, to, &cut);
                });
            }
        });
        Path { cut, addr }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut part = [0u8; 16384];
    loop {
        let count = from.read(&mut part).unwrap_or(0);
        while cut.load(Ordering::Relaxed) {
            sleep(0.01);
        }
        if count == 0 || to.write_all(&part[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

// ---------------------------------------------------------------- state service

/// Token bucket with a burst of one second's worth.
struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, left: rate, at: Instant::now() }
    }
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + now.duration_since(self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.left < count {
            return false;
        }
        self.left -= count;
        true
    }
}

#[derive(Clone)]
struct Entry {
    value: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Grant {
    ttl: Duration,
    ends: Instant,
}

struct StoreState {
    entries: BTreeMap<String, Entry>,
    grants: HashMap<u64, Grant>,
    ledger: u64,
    next_grant: u64,
    /// Changes in their order: stamp, key, value (None: deleted).
    changes: VecDeque<(u64, String, Option<V>)>,
    requests: Bucket,
    writes: Bucket,
    value_bytes: usize,
    txn_ops: usize,
}

/// What becomes of a request to the state service.
pub enum Fate {
    Serve,
    /// 503.
    Refuse,
    /// Carried out, but the answer is lost.
    LoseAnswer,
    /// Held on its way until the flag is lowered, then carried out; nobody waits for the answer.
    HoldWhile(Arc<AtomicBool>),
}

type FateOf = Box<dyn Fn(usize, &Request) -> Fate + Send + Sync>;

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    fate: Mutex<Option<Arc<FateOf>>>,
    latency_s: f64,
    record: Arc<Record>,
    pub refusals: AtomicU64,
}

pub struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub latency_s: f64,
}

impl Store {
    /// Starts the service with one address for each of `nodes` controllers.
    pub fn start(record: &Arc<Record>, limits: &StoreLimits, nodes: usize) -> (Arc<Store>, Vec<SocketAddr>) {
        let store = Arc::new(Store {
            state: Mutex::new(StoreState {
                entries: BTreeMap::new(),
                grants: HashMap::new(),
                ledger: 0,
                next_grant: 1,
                changes: VecDeque::new(),
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
                value_bytes: (limits.value_kb * 1024.0) as usize,
                txn_ops: limits.txn_ops,
            }),
            changed: Condvar::new(),
            fate: Mutex::new(None),
            latency_s: limits.latency_s,
            record: record.clone(),
            refusals: AtomicU64::new(0),
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            sleep(0.02);
            expiring.expire();
        });
        let addrs = (0..nodes)
            .map(|node| {
                let store = store.clone();
                serve(Arc::new(move |request| store.handle(node, request)))
            })
            .collect();
        (store, addrs)
    }

    pub fn set_fate(&self, fate: FateOf) {
        *self.fate.lock().unwrap() = Some(Arc::new(fate));
    }

    /// Lowers the limits, as the pages announce it in the settings.
    pub fn lower_limits(&self, write_rps: f64, value_kb: f64, txn_ops: usize) {
        let mut state = self.state.lock().unwrap();
        state.writes = Bucket::new(write_rps);
        state.value_bytes = (value_kb * 1024.0) as usize;
        state.txn_ops = txn_ops;
        self.record.line(&format!("state service: limits are now {write_rps} changes/s, {value_kb} KiB, {txn_ops} changes a transaction"));
    }

    /// Stored value of a key, in JSON.
    pub fn peek(&self, key: &str) -> Option<String> {
        self.state.lock().unwrap().entries.get(key).map(|entry| entry.value.json())
    }

    pub fn ledger(&self) -> u64 {
        self.state.lock().unwrap().ledger
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state.grants.iter().filter(|(_, grant)| now >= grant.ends).map(|(&id, _)| id).collect();
        for id in ended {
            state.end_grant(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, node: usize, request: Request) -> Option<Response> {
        let fate = self.fate.lock().unwrap().clone();
        let fate = fate.map_or(Fate::Serve, |fate| fate(node, &request));
        if let Fate::HoldWhile(held) = &fate {
            while held.load(Ordering::Relaxed) {
                sleep(0.02);
            }
            let _ = self.serve(&request);
            return None;
        }
        if matches!(fate, Fate::Refuse) {
            return answer(503, map(vec![("error", s("trouble"))]));
        }
        sleep(self.latency_s);
        if !self.state.lock().unwrap().requests.take(1.0) {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            return answer(429, map(vec![("error", s("too many requests"))]));
        }
        let response = self.serve(&request);
        match fate {
            Fate::LoseAnswer => {
                self.record.line(&format!("state service: answer to {} {} lost", request.method, request.path));
                sleep(30.0);
                None
            }
            _ => response,
        }
    }

    fn serve(&self, request: &Request) -> Option<Response> {
        let malformed = || answer(400, map(vec![("error", s("malformed"))]));
        let parts: Vec<&str> = request.path.split('/').collect();
        match (request.method.as_str(), parts.get(1).copied().unwrap_or_default()) {
            ("GET", "kv") if parts.len() > 2 => {
                let key = unescape(&request.path["/kv/".len()..]);
                let state = self.state.lock().unwrap();
                match state.entries.get(&key) {
                    Some(entry) => {
                        let mut fields =
                            vec![("path", s(&key)), ("v", entry.value.clone()), ("stamp", V::Int(entry.stamp))];
                        fields.extend(entry.permit.map(|permit| ("permit", V::Int(permit))));
                        answer(200, map(fields))
                    }
                    None => answer(404, map(vec![("ledger", V::Int(state.ledger))])),
                }
            }
            ("GET", "kv") => self.list(request),
            ("POST", "commit") => match V::decode(&request.body) {
                Some(body) => self.commit(&body),
                None => malformed(),
            },
            ("POST", "grants") if parts.len() == 2 => {
                let Some(body) = V::decode(&request.body) else { return malformed() };
                let ttl = Duration::from_millis(body.int("ttlMs"));
                let mut state = self.state.lock().unwrap();
                let id = state.next_grant;
                state.next_grant += 1;
                state.grants.insert(id, Grant { ttl, ends: Instant::now() + ttl });
                answer(200, map(vec![("permit", V::Int(id))]))
            }
            ("POST", "grants") => {
                let id: u64 = parts[2].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.grants.get_mut(&id) {
                    Some(grant) => {
                        grant.ends = Instant::now() + grant.ttl;
                        answer(200, map(vec![]))
                    }
                    None => answer(404, map(vec![])),
                }
            }
            ("DELETE", "grants") => {
                let id: u64 = parts[2].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                if !state.grants.contains_key(&id) {
                    return answer(404, map(vec![]));
                }
                state.end_grant(id);
                self.changed.notify_all();
                answer(200, map(vec![]))
            }
            ("GET", "follow") => self.follow(request),
            _ => malformed(),
        }
    }

    fn list(&self, request: &Request) -> Option<Response> {
        let prefix = request.query.get("starts").cloned().unwrap_or_default();
        let after = request.query.get("since").cloned();
        let most: usize = request.query.get("most").and_then(|text| text.parse().ok()).unwrap_or(1000);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_next = false;
        for (key, entry) in state.entries.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            let row =
                map(vec![("path", s(key)), ("v", entry.value.clone()), ("stamp", V::Int(entry.stamp))]);
            bytes += row.json().len();
            if rows.len() >= most.min(1000) || bytes > 512 * 1024 && !rows.is_empty() {
                has_next = true;
                break;
            }
            rows.push(row);
        }
        answer(
            200,
            map(vec![("rows", V::List(rows)), ("hasNext", V::Bool(has_next)), ("ledger", V::Int(state.ledger))]),
        )
    }

    fn commit(&self, body: &V) -> Option<Response> {
        let bad = |text: &str| answer(400, map(vec![("error", s(text))]));
        let when = body.list("when");
        let writes = body.list("writes");
        let mut state = self.state.lock().unwrap();
        if writes.len() > state.txn_ops || when.len() > 4 * state.txn_ops || body.json().len() > 64 * 1024 {
            return bad("transaction too large");
        }
        let too_large = |write: &V| write.get("v").is_some_and(|value| value.json().len() > state.value_bytes);
        if let Some(write) = writes.iter().find(|write| too_large(write)) {
            self.record.line(&format!("state service: value of {} is too large", write.text("write")));
            return bad("value too large");
        }
        if writes.iter().any(|write| write.get("permit").is_some() && !state.grants.contains_key(&write.int("permit"))) {
            return bad("no such lease");
        }
        if !state.writes.take(writes.len() as f64) {
            self.refusals.fetch_add(1, Ordering::Relaxed);
            return answer(429, map(vec![("error", s("too many changes"))]));
        }
        let failed: Vec<V> = when
            .iter()
            .filter(|item| state.entries.get(&item.text("path")).map_or(0, |entry| entry.stamp) != item.int("stamp"))
            .map(|item| s(&item.text("path")))
            .collect();
        if !failed.is_empty() {
            return answer(409, map(vec![("failed", V::List(failed)), ("ledger", V::Int(state.ledger))]));
        }
        if !writes.is_empty() {
            state.ledger += 1;
            let stamp = state.ledger;
            for write in writes {
                if write.get("write").is_some() {
                    let key = write.text("write");
                    let value = write.get("v").cloned().unwrap_or(V::Nil);
                    let permit = write.get("permit").map(|_| write.int("permit"));
                    state.entries.insert(key.clone(), Entry { value: value.clone(), stamp, permit });
                    state.change(stamp, key, Some(value));
                } else {
                    let key = write.text("delete");
                    if state.entries.remove(&key).is_some() {
                        state.change(stamp, key, None);
                    }
                }
            }
            self.changed.notify_all();
        }
        answer(200, map(vec![("ledger", V::Int(state.ledger))]))
    }

    fn follow(&self, request: &Request) -> Option<Response> {
        let prefix = request.query.get("starts").cloned().unwrap_or_default();
        let since: u64 = request.query.get("since").and_then(|text| text.parse().ok()).unwrap_or(0);
        let block: u64 = request.query.get("blockMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.changes.len() >= 10_000 && state.changes.front().is_some_and(|(stamp, ..)| *stamp > since + 1) {
                return answer(410, map(vec![("error", s("too old"))]));
            }
            let newer = state.changes.partition_point(|(stamp, ..)| *stamp <= since);
            let events: Vec<V> = state
                .changes
                .iter()
                .skip(newer)
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(stamp, key, value)| match value {
                    Some(value) => {
                        map(vec![("write", s(key)), ("v", value.clone()), ("stamp", V::Int(*stamp))])
                    }
                    None => map(vec![("delete", s(key)), ("stamp", V::Int(*stamp))]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends {
                let fields = vec![("ledger", V::Int(state.ledger)), ("events", V::List(events))];
                return answer(200, map(fields));
            }
            state = self.changed.wait_timeout(state, ends - now).unwrap().0;
        }
    }
}

impl StoreState {
    fn change(&mut self, stamp: u64, key: String, value: Option<V>) {
        self.changes.push_back((stamp, key, value));
        while self.changes.len() > 10_000 {
            self.changes.pop_front();
        }
    }
    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.permit == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.ledger += 1;
            let stamp = self.ledger;
            for key in keys {
                self.entries.remove(&key);
                self.change(stamp, key, None);
            }
        }
    }
}

// ---------------------------------------------------------------- jobs and what runs where

/// What the owner of a job knows about it.
#[derive(Clone)]
pub struct JobInfo {
    pub run_s: f64,
    pub service: bool,
    /// Number of tasks of a gang; 0 for arrays and services.
    pub gang: usize,
}

/// One attempt of a gang.
#[derive(Default)]
struct Gang {
    /// Tasks that have their image.
    ready: Vec<String>,
    started_at: Option<f64>,
    /// When a task left before the gang was done.
    broken_at: Option<f64>,
}

#[derive(Default)]
struct WorldState {
    jobs: HashMap<String, JobInfo>,
    /// Machines that a task is on, by task.
    on: HashMap<String, Vec<String>>,
    starts: HashMap<String, u32>,
    done: HashMap<String, bool>,
    gangs: HashMap<(String, u64), Gang>,
    ran_twice: u32,
}

/// Everything that the stand-ins see of the jobs.
pub struct World {
    pub record: Arc<Record>,
    state: Mutex<WorldState>,
}

impl World {
    pub fn new(record: &Arc<Record>) -> Arc<World> {
        Arc::new(World { record: record.clone(), state: Mutex::default() })
    }
    pub fn add_job(&self, id: &str, info: JobInfo) {
        self.state.lock().unwrap().jobs.insert(id.to_string(), info);
    }
    fn job(&self, id: &str) -> Option<JobInfo> {
        self.state.lock().unwrap().jobs.get(id).cloned()
    }
    fn is_done(&self, task: &str) -> bool {
        self.state.lock().unwrap().done.contains_key(task)
    }
    fn arrives(&self, task: &str, attempt: u64, machine: &str) {
        let mut state = self.state.lock().unwrap();
        *state.starts.entry(task.to_string()).or_default() += 1;
        let on = state.on.entry(task.to_string()).or_default();
        on.push(machine.to_string());
        let twice = on.len() > 1;
        let where_ = on.join(", ");
        state.ran_twice += u32::from(twice);
        drop(state);
        self.record.line(&format!("{machine}: {task} try {attempt} starts"));
        if twice {
            self.record.line(&format!("RULE ran_twice: {task} is on {where_}"));
        }
    }
    fn leaves(&self, task: &str, machine: &str, cause: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(on) = state.on.get_mut(task) {
            on.retain(|name| name != machine);
        }
        if cause == "done" {
            state.done.insert(task.to_string(), true);
            // The tasks of a gang complete together.
            let job = job_of(task).unwrap_or_default();
            let gang = state.jobs.get(&job).map_or(0, |info| info.gang);
            for number in 0..gang {
                state.done.insert(format!("{job}/{number}"), true);
            }
        }
        drop(state);
        self.record.line(&format!("{machine}: {task} ends, {cause}"));
    }
    /// A task of a gang has its image; the last one starts the gang.
    fn gang_ready(&self, job: &str, attempt: u64, leg: &str, tasks: usize, now: f64) {
        let mut state = self.state.lock().unwrap();
        let gang = state.gangs.entry((job.to_string(), attempt)).or_default();
        if !gang.ready.iter().any(|name| name == leg) {
            gang.ready.push(leg.to_string());
        }
        if gang.ready.len() == tasks && gang.started_at.is_none() {
            gang.started_at = Some(now);
        }
    }
    /// A task of a gang is gone before the gang was done.
    fn gang_leaves(&self, job: &str, attempt: u64, leg: &str, now: f64) {
        let mut state = self.state.lock().unwrap();
        let gang = state.gangs.entry((job.to_string(), attempt)).or_default();
        if gang.started_at.is_some() {
            gang.broken_at = gang.broken_at.or(Some(now));
        } else {
            gang.ready.retain(|name| name != leg);
        }
    }
    /// Start of the gang and time at which it lost a task.
    fn gang_times(&self, job: &str, attempt: u64) -> (Option<f64>, Option<f64>) {
        let state = self.state.lock().unwrap();
        let gang = state.gangs.get(&(job.to_string(), attempt));
        (gang.and_then(|gang| gang.started_at), gang.and_then(|gang| gang.broken_at))
    }
    pub fn starts(&self, task: &str) -> u32 {
        self.state.lock().unwrap().starts.get(task).copied().unwrap_or(0)
    }
    pub fn on(&self, task: &str) -> Vec<String> {
        self.state.lock().unwrap().on.get(task).cloned().unwrap_or_default()
    }
    /// All tasks that are on a machine, with the machines.
    pub fn all_on(&self) -> Vec<(String, Vec<String>)> {
        let state = self.state.lock().unwrap();
        state.on.iter().filter(|(_, on)| !on.is_empty()).map(|(task, on)| (task.clone(), on.clone())).collect()
    }
    /// Whether a task has completed.
    pub fn has_completed(&self, task: &str) -> bool {
        self.is_done(task)
    }
    pub fn ran_twice(&self) -> u32 {
        self.state.lock().unwrap().ran_twice
    }
    pub fn done_count(&self) -> usize {
        self.state.lock().unwrap().done.len()
    }
}

// ---------------------------------------------------------------- workers

#[derive(Clone)]
struct Task {
    leg: String,
    attempt: u64,
    status: &'static str,
    cause: Option<&'static str>,
    image_at: f64,
    ends_at: f64,
}

struct WorkerState {
    shift: u64,
    tally: u64,
    baton: u64,
    tasks: Vec<Task>,
    /// Start of the lease: sending time of the last answered report, or start of the session.
    lease_from: f64,
    changed: bool,
    gone: bool,
    hung: bool,
}

pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub fetch_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
}

pub struct Worker {
    pub id: String,
    breed: String,
    yard: String,
    loaners: bool,
    endpoint: Mutex<String>,
    nodes: Vec<(String, SocketAddr)>,
    times: Arc<WorkerTimes>,
    state: Mutex<WorkerState>,
    world: Arc<World>,
    pub mute: AtomicBool,
}

impl Worker {
    fn start(
        id: &str,
        breed: &str,
        yard: &str,
        loaners: bool,
        nodes: &[(String, SocketAddr)],
        times: &Arc<WorkerTimes>,
        world: &Arc<World>,
    ) -> Arc<Worker> {
        let worker = Arc::new(Worker {
            id: id.to_string(),
            breed: breed.to_string(),
            yard: yard.to_string(),
            loaners,
            endpoint: Mutex::new(String::new()),
            nodes: nodes.to_vec(),
            times: times.clone(),
            state: Mutex::new(WorkerState {
                shift: 1,
                tally: 0,
                baton: 0,
                tasks: Vec::new(),
                lease_from: world.record.now(),
                changed: true,
                gone: false,
                hung: false,
            }),
            world: world.clone(),
            mute: AtomicBool::new(false),
        });
        let direct = worker.clone();
        let addr = serve(Arc::new(move |request| direct.direct(&request)));
        *worker.endpoint.lock().unwrap() = addr.to_string();
        let ticking = worker.clone();
        thread::spawn(move || {
            while !ticking.state.lock().unwrap().gone {
                sleep(0.02);
                ticking.tick();
            }
        });
        let reporting = worker.clone();
        thread::spawn(move || reporting.report_loop());
        worker
    }

    /// Tasks that take resources of the machine.
    pub fn active_legs(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.tasks.iter().filter(|task| task.status != "ended").map(|task| task.leg.clone()).collect()
    }
    pub fn is_gone(&self) -> bool {
        self.state.lock().unwrap().gone
    }
    pub fn breed_name(&self) -> &str {
        &self.breed
    }
    pub fn yard(&self) -> &str {
        &self.yard
    }

    fn end(&self, cause: &str) {
        let mut state = self.state.lock().unwrap();
        state.gone = true;
        for task in std::mem::take(&mut state.tasks) {
            self.drop_task(&task, cause);
        }
    }

    /// A task that was on the machine is gone.
    fn drop_task(&self, task: &Task, cause: &str) {
        if task.status != "running" && task.status != "waiting" {
            return;
        }
        self.world.leaves(&task.leg, &self.id, cause);
        let job = job_of(&task.leg).unwrap_or_default();
        if self.world.job(&job).is_some_and(|info| info.gang > 0) {
            self.world.gang_leaves(&job, task.attempt, &task.leg, self.world.record.now());
        }
    }

    fn tick(&self) {
        let now = self.world.record.now();
        let mut state = self.state.lock().unwrap();
        if state.gone || state.hung {
            return;
        }
        if now > state.lease_from + self.times.lease_s {
            self.world.record.line(&format!("{}: lease over, session {}", self.id, state.shift + 1));
            state.shift += 1;
            state.tally = 0;
            state.lease_from = now;
            state.changed = true;
            for task in std::mem::take(&mut state.tasks) {
                self.drop_task(&task, "lease");
            }
        }
        let mut changed = false;
        for task in &mut state.tasks {
            let job = job_of(&task.leg).unwrap_or_default();
            let info = self.world.job(&job);
            let gang = info.as_ref().map_or(0, |info| info.gang);
            let run_s = info.map_or(1.0, |info| if info.service { 1e9 } else { info.run_s });
            let times = if gang > 0 { self.world.gang_times(&job, task.attempt) } else { (None, None) };
            match task.status {
                "fetching" if now >= task.image_at => {
                    changed = true;
                    self.world.arrives(&task.leg, task.attempt, &self.id);
                    let done = self.world.is_done(&task.leg);
                    if gang > 0 && !done {
                        task.status = "waiting";
                        task.ends_at = now + self.times.gang_wait_s;
                        self.world.gang_ready(&job, task.attempt, &task.leg, gang, now);
                    } else {
                        task.status = "running";
                        task.ends_at = if done { now } else { now + run_s };
                    }
                }
                "waiting" if times.0.is_some() => {
                    task.status = "running";
                    task.ends_at = times.0.unwrap_or(now) + run_s;
                    changed = true;
                }
                "waiting" if now >= task.ends_at => {
                    self.drop_task(task, "alone");
                    task.status = "ended";
                    task.cause = Some("alone");
                    changed = true;
                }
                "running" if times.1.is_some_and(|broken| now >= broken + self.times.gang_peer_s / 2.0 && broken < task.ends_at) => {
                    self.drop_task(task, "peers");
                    task.status = "ended";
                    task.cause = Some("peers");
                    changed = true;
                }
                "running" if now >= task.ends_at && times.1.is_none_or(|broken| broken >= task.ends_at) => {
                    task.status = "ended";
                    task.cause = Some("done");
                    changed = true;
                    self.world.leaves(&task.leg, &self.id, "done");
                }
                _ => {}
            }
        }
        state.changed |= changed;
    }

    fn report(&self, state: &mut WorkerState) -> V {
        state.tally += 1;
        let legs = state
            .tasks
            .iter()
            .map(|task| {
                let mut fields =
                    vec![("leg", s(&task.leg)), ("try", V::Int(task.attempt)), ("status", s(task.status))];
                fields.extend(task.cause.map(|cause| ("cause", s(cause))));
                map(fields)
            })
            .collect();
        map(vec![
            ("stall", s(&self.id)),
            ("endpoint", s(&self.endpoint.lock().unwrap())),
            ("breed", s(&self.breed)),
            ("yard", s(&self.yard)),
            ("loaners", V::Bool(self.loaners)),
            ("shift", V::Int(state.shift)),
            ("tally", V::Int(state.tally)),
            ("baton", V::Int(state.baton)),
            ("recallS", V::Nil),
            ("legs", V::List(legs)),
        ])
    }

    fn execute(&self, state: &mut WorkerState, orders: &[V]) {
        let now = self.world.record.now();
        for order in orders {
            let (verb, leg, attempt) = (order.text("verb"), order.text("leg"), order.int("try"));
            let found = state.tasks.iter().position(|task| task.leg == leg && task.attempt == attempt);
            match (verb.as_str(), found) {
                ("launch", None) => {
                    let busy = state.tasks.iter().any(|task| task.leg == leg && task.status != "ended");
                    let known = job_of(&leg).is_some_and(|job| self.world.job(&job).is_some());
                    let (status, cause) = match (known, busy) {
                        (false, _) => ("ended", Some("unknown")),
                        (true, true) => ("ended", Some("in_use")),
                        (true, false) => ("fetching", None),
                    };
                    if !known {
                        self.world.record.line(&format!("{}: launch of {leg}, which nobody submitted", self.id));
                    }
                    let image_at = now + self.times.fetch_s;
                    state.tasks.push(Task { leg, attempt, status, cause, image_at, ends_at: f64::MAX });
                    state.changed = true;
                }
                ("stop", Some(at)) if state.tasks[at].status != "ended" => {
                    self.drop_task(&state.tasks[at], "stopped");
                    state.tasks[at].status = "ended";
                    state.tasks[at].cause = Some("stopped");
                    state.changed = true;
                }
                ("clear", Some(at)) if state.tasks[at].status == "ended" => {
                    state.tasks.remove(at);
                }
                _ => {}
            }
        }
    }

    fn direct(&self, request: &Request) -> Option<Response> {
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return None;
        }
        if request.path == "/inspect" {
            return answer(200, self.report(&mut state));
        }
        let body = V::decode(&request.body)?;
        if body.get("baton").is_none() || body.get("shift").is_none() {
            return answer(400, map(vec![]));
        }
        let fits = body.int("baton") >= state.baton && body.int("shift") == state.shift;
        if fits {
            state.baton = body.int("baton");
            self.execute(&mut state, body.list("orders"));
        }
        answer(if fits { 200 } else { 409 }, self.report(&mut state))
    }

    fn report_loop(&self) {
        let mut node = self.id.bytes().map(usize::from).sum::<usize>() % self.nodes.len();
        let mut connection: Option<Connection> = None;
        let mut last_sent = f64::MIN;
        loop {
            sleep(0.02);
            let now = self.world.record.now();
            let (report, shift) = {
                let mut state = self.state.lock().unwrap();
                if state.gone {
                    return;
                }
                let due = now - last_sent >= self.times.report_s || state.changed && now - last_sent >= 0.5;
                if !due || state.hung || self.mute.load(Ordering::Relaxed) {
                    continue;
                }
                state.changed = false;
                (self.report(&mut state), state.shift)
            };
            last_sent = now;
            let addr = self.nodes[node].1;
            let mut open = connection.take().filter(|open| open.addr == addr).or_else(|| Connection::open(addr, 4.0));
            let response = open.as_mut().and_then(|open| open.call("POST", "/agent/beat", Some(&report), 4.0));
            match response {
                Some(response) if response.status == 200 => {
                    connection = open;
                    let Some(body) = V::decode(&response.body) else { continue };
                    let mut state = self.state.lock().unwrap();
                    let baton = body.int("baton");
                    if state.gone || state.shift != shift || baton < state.baton {
                        continue;
                    }
                    if baton > state.baton {
                        state.baton = baton;
                        state.changed = true;
                    }
                    state.lease_from = state.lease_from.max(now);
                    self.execute(&mut state, body.list("orders"));
                }
                Some(response) if response.status == 421 => {
                    let name = V::decode(&response.body).map(|body| body.text("dispatcher")).unwrap_or_default();
                    match self.nodes.iter().position(|(label, _)| *label == name).filter(|at| *at != node) {
                        Some(at) => node = at,
                        None => {
                            sleep(1.0);
                            node = (node + 1) % self.nodes.len();
                        }
                    }
                    self.state.lock().unwrap().changed = true;
                }
                _ => {
                    sleep(1.0);
                    node = (node + 1) % self.nodes.len();
                    self.state.lock().unwrap().changed = true;
                }
            }
        }
    }
}

fn job_of(leg: &str) -> Option<String> {
    leg.rsplit_once('/').map(|(job, _)| job.to_string())
}

// ---------------------------------------------------------------- cloud

#[derive(Clone)]
pub struct Breed {
    pub sku: String,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub price: f64,
    pub low_price: f64,
    pub boot_s: f64,
    pub yards: Vec<String>,
}

struct Stall {
    id: String,
    breed: String,
    yard: String,
    loaners: bool,
    rented_at: f64,
    up_at: f64,
    gone_at: f64,
    worker: Option<Arc<Worker>>,
}

struct CloudState {
    stalls: Vec<Stall>,
    bookings: HashMap<String, Vec<String>>,
    calls: Bucket,
    next: u64,
}

pub struct Cloud {
    state: Mutex<CloudState>,
    breeds: Vec<Breed>,
    /// Machines that can be rented at a time.
    capacity: usize,
    list_lag_s: f64,
    nodes: Vec<(String, SocketAddr)>,
    times: Arc<WorkerTimes>,
    world: Arc<World>,
}

impl Cloud {
    pub fn start(
        world: &Arc<World>,
        breeds: Vec<Breed>,
        capacity: usize,
        rps: f64,
        list_lag_s: f64,
        nodes: &[(String, SocketAddr)],
        times: WorkerTimes,
    ) -> (Arc<Cloud>, SocketAddr) {
        let cloud = Arc::new(Cloud {
            state: Mutex::new(CloudState {
                stalls: Vec::new(),
                bookings: HashMap::new(),
                calls: Bucket { rate: rps, left: 2.0 * rps, at: Instant::now() },
                next: 1,
            }),
            breeds,
            capacity,
            list_lag_s,
            nodes: nodes.to_vec(),
            times: Arc::new(times),
            world: world.clone(),
        });
        let booting = cloud.clone();
        thread::spawn(move || loop {
            sleep(0.05);
            booting.boot();
        });
        let serving = cloud.clone();
        let addr = serve(Arc::new(move |request| serving.handle(&request)));
        (cloud, addr)
    }

    /// Adds machines that are up when the case begins.
    pub fn add_machines(&self, breed: &str, yard: &str, count: usize) {
        let mut state = self.state.lock().unwrap();
        for _ in 0..count {
            self.rent(&mut state, breed, yard, false, 0.0);
        }
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.state.lock().unwrap().stalls.iter().filter_map(|stall| stall.worker.clone()).collect()
    }

    fn rent(&self, state: &mut CloudState, breed: &str, yard: &str, loaners: bool, boot_s: f64) -> String {
        let now = self.world.record.now();
        let id = format!("vm-{:06}", state.next);
        state.next += 1;
        state.stalls.push(Stall {
            id: id.clone(),
            breed: breed.to_string(),
            yard: yard.to_string(),
            loaners,
            rented_at: now,
            up_at: now + boot_s,
            gone_at: f64::MAX,
            worker: None,
        });
        id
    }

    fn boot(&self) {
        let now = self.world.record.now();
        let mut state = self.state.lock().unwrap();
        for stall in &mut state.stalls {
            if stall.worker.is_none() && now >= stall.up_at && stall.gone_at == f64::MAX {
                self.world.record.line(&format!("{}: up in {}", stall.id, stall.yard));
                stall.worker = Some(Worker::start(
                    &stall.id,
                    &stall.breed,
                    &stall.yard,
                    stall.loaners,
                    &self.nodes,
                    &self.times,
                    &self.world,
                ));
            }
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        sleep(0.1);
        let now = self.world.record.now();
        let mut state = self.state.lock().unwrap();
        state.calls.rate = state.calls.rate.max(0.1);
        if !state.calls.take(1.0) {
            return answer(429, map(vec![("error", s("too many requests"))]));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let breeds = self
                    .breeds
                    .iter()
                    .map(|breed| {
                        map(vec![
                            ("sku", s(&breed.sku)),
                            ("cores", V::Num(breed.cores)),
                            ("accelerators", V::Num(breed.accelerators)),
                            ("memGb", V::Num(breed.mem_gb)),
                            ("localGb", V::Num(80.0)),
                            ("pullGbPerS", V::Num(0.6)),
                            ("price", V::Num(breed.price)),
                            ("lowPrice", V::Num(breed.low_price)),
                            ("bootS", V::Num(breed.boot_s)),
                            ("yards", V::List(breed.yards.iter().map(|yard| s(yard)).collect())),
                        ])
                    })
                    .collect();
                answer(200, map(vec![("breeds", V::List(breeds))]))
            }
            ("POST", "/rentals") => {
                let Some(body) = V::decode(&request.body) else { return answer(400, map(vec![])) };
                let booking = body.text("booking");
                let names = match state.bookings.get(&booking) {
                    Some(names) => names.clone(),
                    None => {
                        let up = state.stalls.iter().filter(|stall| stall.gone_at == f64::MAX).count();
                        let count = (body.int("howMany") as usize).min(self.capacity.saturating_sub(up));
                        if count == 0 {
                            return answer(503, map(vec![("error", s("no capacity"))]));
                        }
                        let boot_s = self.breeds.iter().find(|breed| breed.sku == body.text("breed")).map_or(30.0, |breed| breed.boot_s);
                        let loaners = body.get("loaners") == Some(&V::Bool(true));
                        let names: Vec<String> = (0..count)
                            .map(|_| self.rent(&mut state, &body.text("breed"), &body.text("yard"), loaners, boot_s))
                            .collect();
                        state.bookings.insert(booking.clone(), names.clone());
                        names
                    }
                };
                self.world.record.line(&format!("cloud: rental {booking}: {}", names.join(", ")));
                answer(200, map(vec![("stalls", V::List(names.iter().map(|name| s(name)).collect()))]))
            }
            ("POST", "/rentals/delete") => {
                let Some(body) = V::decode(&request.body) else { return answer(400, map(vec![])) };
                for name in body.list("stalls") {
                    let V::Str(name) = name else { continue };
                    let found = state.stalls.iter_mut().find(|stall| stall.id == *name && stall.gone_at == f64::MAX);
                    let Some(stall) = found else { continue };
                    stall.gone_at = now;
                    self.world.record.line(&format!("cloud: {name} deleted"));
                    if let Some(worker) = &stall.worker {
                        worker.end("deleted");
                    }
                }
                answer(200, map(vec![]))
            }
            ("GET", "/rentals") => {
                let after = request.query.get("since").cloned().unwrap_or_default();
                let most: usize = request.query.get("most").and_then(|text| text.parse().ok()).unwrap_or(500);
                let then = now - self.list_lag_s;
                // Machines that were there from the start are listed at once.
                let shown = |stall: &&Stall| stall.rented_at <= then.max(2.0) && stall.gone_at > then && stall.id > after;
                let listed: Vec<&Stall> = state.stalls.iter().filter(shown).collect();
                let rows = listed
                    .iter()
                    .take(most)
                    .map(|stall| {
                        let endpoint = stall.worker.as_ref().map(|worker| worker.endpoint.lock().unwrap().clone());
                        map(vec![
                            ("id", s(&stall.id)),
                            ("endpoint", endpoint.map_or(V::Nil, |endpoint| s(&endpoint))),
                            ("breed", s(&stall.breed)),
                            ("yard", s(&stall.yard)),
                            ("loaners", V::Bool(stall.loaners)),
                            ("status", s(if stall.up_at <= then.max(2.0) { "running" } else { "starting" })),
                            ("heldS", V::Num((then - stall.rented_at).max(0.0))),
                        ])
                    })
                    .collect();
                answer(200, map(vec![("stalls", V::List(rows)), ("hasNext", V::Bool(listed.len() > most))]))
            }
            _ => answer(400, map(vec![])),
        }
    }
}

// ---------------------------------------------------------------- the platform

pub struct Node {
    pub label: String,
    pub zone: String,
    pub front: SocketAddr,
    pub back: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
}

/// The controllers, each a process of the project's own program.
pub struct Platform {
    pub nodes: Vec<Node>,
    program: Vec<String>,
    folder: PathBuf,
    record: Arc<Record>,
}

/// Returns a free port below the range from which the system takes the local ports of outgoing
/// connections, so that none of these can occupy it before its controller does.
fn free_addr(taken: &mut Vec<TcpListener>) -> SocketAddr {
    let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
    let mut port = 12_000 + (std::process::id().wrapping_mul(7919) ^ (nanos >> 6)) % 18_000;
    for _ in 0..2000 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            let addr = listener.local_addr().unwrap();
            taken.push(listener);
            return addr;
        }
        port = 12_000 + (port - 12_000 + 1) % 18_000;
    }
    quit("no free port")
}

/// The `run` command of the deploy file.
fn run_command(root: &str) -> Vec<String> {
    let path = format!("{root}/deploy/service.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| quit(&format!("{path}: {error}")));
    let line = text.lines().find(|line| line.trim_start().starts_with("run ")).unwrap_or_else(|| quit("no run command"));
    let command = line.split('"').nth(1).unwrap_or_default();
    let mut words: Vec<String> = command.split_whitespace().map(str::to_string).collect();
    words[0] = format!("{root}/{}", words[0]);
    if !std::path::Path::new(&words[0]).exists() {
        quit("the program is not built: run the build command of deploy/service.toml");
    }
    words
}

impl Platform {
    /// Chooses addresses for the controllers; `zones` has one entry for each.
    pub fn new(record: &Arc<Record>, prefix: &str, zones: &[&str]) -> Platform {
        let root = std::env::var("ROOT").unwrap_or_else(|_| quit("ROOT is not set"));
        let folder = PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| quit("FOLDER is not set")));
        let mut taken = Vec::new();
        let nodes = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| Node {
                label: format!("{prefix}-{number}"),
                zone: zone.to_string(),
                front: free_addr(&mut taken),
                back: free_addr(&mut taken),
                config: folder.join(format!("node-{number}.toml")),
                child: None,
            })
            .collect();
        Platform { nodes, program: run_command(&root), folder, record: record.clone() }
    }

    pub fn fronts(&self) -> Vec<(String, SocketAddr)> {
        self.nodes.iter().map(|node| (node.label.clone(), node.front)).collect()
    }

    /// Writes the settings files; `params` is the part from `[params]` on.
    pub fn write_settings(&self, stores: &[SocketAddr], cloud: SocketAddr, params: &str) {
        self.write_settings_with_paths(stores, cloud, params, &|_, to| self.nodes[to].back);
    }

    /// The same, where `path` gives the address under which one controller reaches another.
    pub fn write_settings_with_paths(
        &self,
        stores: &[SocketAddr],
        cloud: SocketAddr,
        params: &str,
        path: &dyn Fn(usize, usize) -> SocketAddr,
    ) {
        for (number, (node, store)) in self.nodes.iter().zip(stores).enumerate() {
            let mut text = format!(
                "label = \"{}\"\nlocation = \"{}\"\nfront = \"{}\"\nback = \"{}\"\n\n",
                node.label, node.zone, node.front, node.back
            );
            for (other, peer) in self.nodes.iter().enumerate().filter(|(_, peer)| peer.label != node.label) {
                text += &format!(
                    "[[seeds]]\nlabel = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n\n",
                    peer.label,
                    peer.zone,
                    path(number, other)
                );
            }
            text += &format!("[external]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n\n{params}");
            std::fs::write(&node.config, text).unwrap_or_else(|error| quit(&format!("settings: {error}")));
        }
    }

    pub fn start(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let log = self.folder.join(format!("{}.log", node.label));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(&node.config)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".to_string()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| quit(&format!("cannot start a controller: {error}")));
        self.record.line(&format!("platform: {} started", node.label));
        // If this program is ended from outside, run-case.sh ends the controllers by these ids.
        let pids = self.folder.join("pids");
        if let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(pids) {
            let _ = writeln!(file, "{}", child.id());
        }
        node.child = Some(child);
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|number| self.start(number));
    }

    pub fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: {} killed", node.label));
        }
    }

    /// Sends a signal (STOP, CONT) to a controller.
    pub fn signal(&mut self, number: usize, signal: &str) {
        let node = &self.nodes[number];
        if let Some(child) = &node.child {
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
            self.record.line(&format!("platform: {} gets SIG{signal}", node.label));
        }
    }

    /// Number of controllers that ended by themselves.
    pub fn ended(&mut self) -> usize {
        let mut ended = 0;
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                if let Ok(Some(status)) = child.try_wait() {
                    self.record.line(&format!("platform: {} ended by itself, {status}", node.label));
                    ended += 1;
                }
            }
        }
        ended
    }

    pub fn is_up(&self, number: usize) -> bool {
        let response = call_once(self.nodes[number].front, "GET", "/up", None, 1.0);
        response.is_some_and(|response| response.status == 200)
    }

    pub fn wait_up(&mut self, limit_s: f64) {
        let until = self.record.now() + limit_s;
        while self.record.now() < until {
            if (0..self.nodes.len()).all(|number| self.is_up(number)) {
                self.record.line("platform: all controllers are healthy");
                return;
            }
            sleep(0.2);
        }
        self.stop();
        quit("the controllers did not become healthy");
    }

    pub fn stop(&mut self) {
        for number in 0..self.nodes.len() {
            self.kill(number);
        }
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop();
    }
}

// ---------------------------------------------------------------- users

/// A submission with the usual fields; `extra` replaces or adds fields.
pub fn job(id: &str, lane: &str, crew: &str, extra: Vec<(&str, V)>) -> V {
    let mut fields = vec![
        ("id", s(id)),
        ("lane", s(lane)),
        ("crew", s(crew)),
        ("shape", s("array")),
        ("urgency", s("standard")),
        ("legs", V::Int(1)),
        ("cores", V::Num(1.0)),
        ("accelerators", V::Num(0.0)),
        ("memGb", V::Num(4.0)),
        ("kit", s("img-01")),
        ("sizeGb", V::Num(0.5)),
        ("breeds", V::Nil),
        ("yard", V::Nil),
        ("together", V::Bool(false)),
        ("spread", V::Bool(false)),
        ("loaners", V::Bool(false)),
        ("etaS", V::Num(5.0)),
        ("waypointS", V::Num(0.0)),
        ("stashS", V::Num(0.0)),
        ("dueS", V::Nil),
    ];
    for (key, value) in extra {
        match fields.iter_mut().find(|(name, _)| *name == key) {
            Some(field) => field.1 = value,
            None => fields.push((key, value)),
        }
    }
    map(fields)
}

/// A user with one connection at a time, which is kept while it answers. Without an answer, or after
/// a failure, the next request goes to another healthy controller, as the load balancer chooses it.
pub struct User {
    record: Arc<Record>,
    fronts: Vec<(String, SocketAddr)>,
    at: usize,
    connection: Option<Connection>,
}

impl User {
    pub fn new(record: &Arc<Record>, fronts: &[(String, SocketAddr)], at: usize) -> User {
        User { record: record.clone(), fronts: fronts.to_vec(), at, connection: None }
    }
    pub fn node(&self) -> &str {
        &self.fronts[self.at].0
    }
    fn connect(&mut self) -> bool {
        for _ in 0..3 {
            if self.connection.is_some() {
                return true;
            }
            self.connection = Connection::open(self.fronts[self.at].1, 0.5);
            if self.connection.is_none() {
                self.at = (self.at + 1) % self.fronts.len();
            }
        }
        self.connection.is_some()
    }
    /// Status and body of the response; 0 if there was none.
    pub fn request(&mut self, method: &str, path: &str, body: Option<&V>, timeout_s: f64) -> (u16, V) {
        if !self.connect() {
            return (0, V::Nil);
        }
        let response = self.connection.as_mut().and_then(|open| open.call(method, path, body, timeout_s));
        match response {
            Some(response) => (response.status, V::decode(&response.body).unwrap_or(V::Nil)),
            None => {
                self.connection = None;
                self.at = (self.at + 1) % self.fronts.len();
                (0, V::Nil)
            }
        }
    }
    /// Submits a job, with retries for up to 60 s. Returns whether it was accepted.
    pub fn submit(&mut self, body: &V, quiet: bool) -> bool {
        let until = self.record.now() + 60.0;
        loop {
            let node = self.node().to_string();
            let (status, answer) = self.request("POST", "/api/jobs", Some(body), 5.0);
            if !quiet || status != 201 {
                self.record.line(&format!("user: POST {} at {node}: {status} {}", body.text("id"), answer.json()));
            }
            match status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ if self.record.now() > until => return false,
                _ => sleep(1.0),
            }
        }
    }
    /// Polls a job once: status and state.
    pub fn poll(&mut self, id: &str) -> (u16, String) {
        let node = self.node().to_string();
        let (status, answer) = self.request("GET", &format!("/api/jobs/{id}"), None, 2.0);
        self.record.line(&format!("user: GET {id} at {node}: {status} {}", answer.json()));
        (status, answer.text("status"))
    }
}

/// Ends the case with its result.
pub fn finish(record: &Record, platform: &mut Platform, broken: bool, text: &str) -> ! {
    record.line(&format!("RESULT {}: {text}", if broken { "broken" } else { "held" }));
    platform.stop();
    println!("{}: {text}", if broken { "broken" } else { "held" });
    std::process::exit(if broken { 1 } else { 0 });
}
