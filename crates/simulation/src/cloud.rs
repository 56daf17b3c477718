//! The cloud: machines that boot, a list that lags.

use controller::{CloudReply, CloudRequest};
use protocol::cloud::*;
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub struct Rented {
    pub listed: ListedMachine,
    pub at: f64,
    pub up_at: f64,
}

pub struct Cloud {
    pub types: Vec<MachineType>,
    pub machines: BTreeMap<String, Rented>,
    /// What the list shows: the machines as they were some time ago.
    history: Vec<(f64, Vec<ListedMachine>)>,
    answered: BTreeMap<String, Vec<String>>,
    next: u32,
    by_zone: BTreeMap<String, usize>,
    pub capacity: usize,
    pub lag: f64,
    pub deleted: Vec<String>,
    /// Calls a second that are served, with what is left of one second's; None: all are.
    pub rate: Option<(f64, f64, f64)>,
    /// Calls that were refused for that.
    pub refused: u64,
}

impl Cloud {
    /// Machines rented so far.
    pub fn rented(&self) -> u32 {
        self.next - 1
    }

    /// The same in one zone.
    pub fn rented_in(&self, zone: &str) -> usize {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }

    pub fn new(types: Vec<MachineType>, capacity: usize, lag: f64) -> Self {
        Cloud {
            types,
            machines: BTreeMap::new(),
            history: Vec::new(),
            answered: BTreeMap::new(),
            next: 1,
            by_zone: BTreeMap::new(),
            capacity,
            lag,
            deleted: Vec::new(),
            rate: None,
            refused: 0,
        }
    }

    pub fn snapshot(&mut self, now: f64) {
        let list = self
            .machines
            .values()
            .map(|m| {
                let mut l = m.listed.clone();
                l.age_s = now - m.at;
                l.state = if now >= m.up_at { MachineState::Running } else { MachineState::Booting };
                l
            })
            .collect();
        self.history.push((now, list));
        // Nobody is shown an older one.
        let oldest = now - 2.0 * self.lag - 1.0;
        self.history.retain(|(t, _)| *t > oldest);
    }

    pub fn remove(&mut self, id: &str) {
        self.machines.remove(id);
        self.deleted.push(id.to_string());
    }

    /// Whether the rate allows one more call.
    fn admits(&mut self, now: f64) -> bool {
        let Some((rate, level, at)) = &mut self.rate else { return true };
        *level = (*level + (now - *at) * *rate).min(rate.max(1.0));
        *at = now;
        let served = *level >= 1.0;
        *level -= f64::from(u8::from(served));
        self.refused += u64::from(!served);
        served
    }

    pub fn execute(&mut self, now: f64, op: &CloudRequest, late: f64, boot: f64) -> CloudReply {
        if !self.admits(now) {
            return CloudReply::Refused;
        }
        match op {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: self.types.clone() }),
            CloudRequest::List { after } => {
                let as_of = now - self.lag * late;
                let mut machines = self
                    .history
                    .iter()
                    .rev()
                    .find(|(t, _)| *t <= as_of)
                    .map(|(_, l)| l.clone())
                    .unwrap_or_default();
                machines.retain(|m| after.as_ref().is_none_or(|a| m.id > *a));
                let more = machines.len() > MAX_LISTED;
                machines.truncate(MAX_LISTED);
                CloudReply::List(MachineList { machines, more })
            }
            CloudRequest::Rent(r) => {
                if let Some(done) = self.answered.get(&r.request) {
                    return CloudReply::Machines(Machines { machines: done.clone() });
                }
                let room = self.capacity.saturating_sub(self.machines.len()).min(r.count as usize);
                if room == 0 {
                    return CloudReply::NoCapacity;
                }
                let mut names = Vec::new();
                *self.by_zone.entry(r.zone.clone()).or_default() += room;
                for _ in 0..room {
                    let id = format!("vm-{:06}", self.next);
                    let addr = format!("10.9.{}.{}:9000", self.next / 250, self.next % 250 + 1);
                    self.next += 1;
                    names.push(id.clone());
                    let listed = ListedMachine {
                        id: id.clone(),
                        addr: Some(addr),
                        machine_type: r.machine_type.clone(),
                        zone: r.zone.clone(),
                        spot: r.spot,
                        state: MachineState::Booting,
                        age_s: 0.0,
                    };
                    self.machines.insert(id, Rented { listed, at: now, up_at: now + boot });
                }
                self.answered.insert(r.request.clone(), names.clone());
                CloudReply::Machines(Machines { machines: names })
            }
            CloudRequest::Delete(names) => {
                for n in names {
                    self.remove(n);
                }
                CloudReply::Done
            }
        }
    }
}
