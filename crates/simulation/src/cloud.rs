//! A stand-in for the cloud: machines that boot, and a list that lags behind.

use controller::{CloudReply, CloudRequest};
use protocol::cloud::*;
use std::collections::BTreeMap;

/// A machine that is rented. Times are in simulated seconds.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// The machine as it was listed first.
    pub listed: ListedMachine,
    /// When it was rented.
    pub rented_at: f64,
    /// When it has booted.
    pub up_at: f64,
}

/// What the list showed at a time.
struct Listing {
    at: f64,
    machines: Vec<ListedMachine>,
}

/// Limits calls to a rate, with at most one second's worth at once.
struct RateLimit {
    per_s: f64,
    /// Calls that are served now.
    available: f64,
    updated_at: f64,
}

impl RateLimit {
    fn admits(&mut self, now: f64) -> bool {
        let refilled = self.available + (now - self.updated_at) * self.per_s;
        self.available = refilled.min(self.per_s.max(1.0));
        self.updated_at = now;
        let admitted = self.available >= 1.0;
        if admitted {
            self.available -= 1.0;
        }
        admitted
    }
}

/// The cloud.
pub struct Cloud {
    /// Types of machine that it rents out.
    pub types: Vec<MachineType>,
    /// The machines that there are, by id.
    pub machines: BTreeMap<String, RentedMachine>,
    /// Machines deleted since somebody last took this list.
    pub deleted: Vec<String>,
    /// Calls refused for their rate.
    pub refused: u64,
    listings: Vec<Listing>,
    /// Machines that each rental was answered with, by request, so that a repetition gets the same.
    rentals: BTreeMap<String, Vec<String>>,
    next_id: u32,
    rented_by_zone: BTreeMap<String, usize>,
    capacity: usize,
    list_lag_s: f64,
    rate_limit: Option<RateLimit>,
}

impl Cloud {
    /// A cloud without a machine, in which `capacity` can be at once. Its list lags behind by
    /// `list_lag_s` or more.
    pub fn new(types: Vec<MachineType>, capacity: usize, list_lag_s: f64) -> Self {
        Cloud {
            types,
            machines: BTreeMap::new(),
            deleted: Vec::new(),
            refused: 0,
            listings: Vec::new(),
            rentals: BTreeMap::new(),
            next_id: 1,
            rented_by_zone: BTreeMap::new(),
            capacity,
            list_lag_s,
            rate_limit: None,
        }
    }

    /// The number of machines rented so far, gone ones included.
    pub fn rented_count(&self) -> u32 {
        self.next_id - 1
    }

    /// The same in one zone.
    pub fn rented_count_in(&self, zone: &str) -> usize {
        self.rented_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Machines that have booted.
    pub fn running(&self, now: f64) -> impl Iterator<Item = &ListedMachine> {
        let booted = self.machines.values().filter(move |machine| now >= machine.up_at);
        booted.map(|machine| &machine.listed)
    }

    /// From now on no more than `per_s` calls a second are served.
    pub fn limit_rate(&mut self, per_s: f64, now: f64) {
        self.rate_limit = Some(RateLimit { per_s, available: per_s, updated_at: now });
    }

    /// Records what the list shows of this moment.
    pub fn record_listing(&mut self, now: f64) {
        let listed = |machine: &RentedMachine| {
            let booted = now >= machine.up_at;
            let state = if booted { MachineState::Running } else { MachineState::Booting };
            ListedMachine { age_s: now - machine.rented_at, state, ..machine.listed.clone() }
        };
        let machines = self.machines.values().map(listed).collect();
        self.listings.push(Listing { at: now, machines });
        // Nobody is shown an older one.
        let oldest = now - 2.0 * self.list_lag_s - 1.0;
        self.listings.retain(|listing| listing.at > oldest);
    }

    /// Takes a machine away.
    pub fn remove(&mut self, id: &str) {
        self.machines.remove(id);
        self.deleted.push(id.to_string());
    }

    /// Executes a call. The list lags behind by `lag_factor` times the usual lag, and machines that
    /// are rented boot in `boot_s` seconds.
    pub fn execute(&mut self, now: f64, request: &CloudRequest, lag_factor: f64, boot_s: f64) -> CloudReply {
        if !self.admits(now) {
            return CloudReply::Refused;
        }
        match request {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: self.types.clone() }),
            CloudRequest::List { after } => self.list(after.as_deref(), now - self.list_lag_s * lag_factor),
            CloudRequest::Rent(rent) => self.rent(now, rent, boot_s),
            CloudRequest::Delete(ids) => {
                for id in ids {
                    self.remove(id);
                }
                CloudReply::Done
            }
        }
    }

    fn admits(&mut self, now: f64) -> bool {
        let admitted = self.rate_limit.as_mut().is_none_or(|limit| limit.admits(now));
        self.refused += u64::from(!admitted);
        admitted
    }

    /// A page of the machines after an id, as they were at a time.
    fn list(&self, after: Option<&str>, as_of: f64) -> CloudReply {
        let listing = self.listings.iter().rev().find(|listing| listing.at <= as_of);
        let all = listing.map_or(&[][..], |listing| &listing.machines);
        let is_wanted = |machine: &&ListedMachine| after.is_none_or(|after| machine.id.as_str() > after);
        let mut machines: Vec<ListedMachine> = all.iter().filter(is_wanted).cloned().collect();
        let more = machines.len() > MAX_LISTED;
        machines.truncate(MAX_LISTED);
        CloudReply::List(MachineList { machines, more })
    }

    fn rent(&mut self, now: f64, rent: &RentRequest, boot_s: f64) -> CloudReply {
        if let Some(ids) = self.rentals.get(&rent.request) {
            return CloudReply::Machines(Machines { machines: ids.clone() });
        }
        let free = self.capacity.saturating_sub(self.machines.len());
        let count = free.min(rent.count as usize);
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        *self.rented_by_zone.entry(rent.zone.clone()).or_default() += count;
        let ids: Vec<String> = (0..count).map(|_| self.add_machine(now, rent, boot_s)).collect();
        self.rentals.insert(rent.request.clone(), ids.clone());
        CloudReply::Machines(Machines { machines: ids })
    }

    fn add_machine(&mut self, now: f64, rent: &RentRequest, boot_s: f64) -> String {
        let number = self.next_id;
        self.next_id += 1;
        let id = format!("vm-{number:06}");
        let listed = ListedMachine {
            id: id.clone(),
            addr: Some(format!("10.9.{}.{}:9000", number / 250, number % 250 + 1)),
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            state: MachineState::Booting,
            age_s: 0.0,
        };
        let rented = RentedMachine { listed, rented_at: now, up_at: now + boot_s };
        self.machines.insert(id.clone(), rented);
        id
    }
}
