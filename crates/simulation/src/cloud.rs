//! Simulated cloud: machines that take time to boot, and a machine list that lags behind.

use controller::{CloudReply, CloudRequest};
use protocol::cloud::*;
use std::collections::{BTreeMap, BTreeSet};

/// Largest age of a list that `reordering_lag_factor` returns, as a multiple of the usual lag. The
/// contents of the list are recorded at intervals, so its actual age is slightly larger.
const MAX_LAG_FACTOR: f64 = 1.95;

/// Rented machine. Times are in simulated seconds.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    /// List entry at the time of the rental.
    pub listed: ListedMachine,
    /// Time of the rental.
    pub rented_at: f64,
    /// Time at which it has booted.
    pub up_at: f64,
}

/// Contents of the machine list at one time.
struct Listing {
    at: f64,
    machines: Vec<ListedMachine>,
}

/// Token bucket for calls, with a burst of the calls of one second.
struct RateLimit {
    per_s: f64,
    /// Number of calls that are currently admitted.
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

/// Simulated cloud.
pub struct Cloud {
    /// Machine types on offer.
    pub types: Vec<MachineType>,
    /// Existing machines by id.
    pub machines: BTreeMap<String, RentedMachine>,
    /// Machines deleted since the simulation last took this list.
    pub deleted: Vec<String>,
    /// Number of calls refused because of the rate limit.
    pub refused: u64,
    /// Number of lists that hid an existing machine that the list before showed.
    pub reordered_lists: u64,
    /// Machines on the last page that was returned.
    last_page: BTreeSet<String>,
    listings: Vec<Listing>,
    /// Machines returned for each rental request, so that a repeated request gets the same ones.
    rentals: BTreeMap<String, Vec<String>>,
    next_id: u32,
    rented_by_zone: BTreeMap<String, usize>,
    capacity: usize,
    list_lag_s: f64,
    rate_limit: Option<RateLimit>,
}

impl Cloud {
    /// Creates a cloud without machines that has room for `capacity` machines at a time. Its list lags
    /// behind by at least `list_lag_s` seconds.
    pub fn new(types: Vec<MachineType>, capacity: usize, list_lag_s: f64) -> Self {
        Cloud {
            types,
            machines: BTreeMap::new(),
            deleted: Vec::new(),
            refused: 0,
            reordered_lists: 0,
            last_page: BTreeSet::new(),
            listings: Vec::new(),
            rentals: BTreeMap::new(),
            next_id: 1,
            rented_by_zone: BTreeMap::new(),
            capacity,
            list_lag_s,
            rate_limit: None,
        }
    }

    /// Returns the number of machines rented so far, including those that no longer exist.
    pub fn rented_count(&self) -> u32 {
        self.next_id - 1
    }

    /// Returns the number of machines rented so far in one zone.
    pub fn rented_count_in(&self, zone: &str) -> usize {
        self.rented_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns the machines that have booted.
    pub fn running(&self, now: f64) -> impl Iterator<Item = &ListedMachine> {
        let booted = self.machines.values().filter(move |machine| now >= machine.up_at);
        booted.map(|machine| &machine.listed)
    }

    /// Limits calls to `per_s` per second from now on.
    pub fn limit_rate(&mut self, per_s: f64, now: f64) {
        self.rate_limit = Some(RateLimit { per_s, available: per_s, updated_at: now });
    }

    /// Records the current contents of the list.
    pub fn record_listing(&mut self, now: f64) {
        let listed = |machine: &RentedMachine| {
            let booted = now >= machine.up_at;
            let state = if booted { MachineState::Running } else { MachineState::Booting };
            ListedMachine { age_s: now - machine.rented_at, state, ..machine.listed.clone() }
        };
        let machines = self.machines.values().map(listed).collect();
        self.listings.push(Listing { at: now, machines });
        // Older listings are never returned.
        let oldest = now - 2.0 * self.list_lag_s - 1.0;
        self.listings.retain(|listing| listing.at > oldest);
    }

    /// Deletes a machine.
    pub fn remove(&mut self, id: &str) {
        self.machines.remove(id);
        self.deleted.push(id.to_string());
    }

    /// Executes a call. The list lags behind by `lag_factor` times `list_lag_s`, and rented machines
    /// boot within `boot_s` seconds.
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

    /// Returns the lag of a list, as a multiple of the usual one: the largest if that hides an existing
    /// machine that the last page showed, and otherwise the smallest.
    pub fn reordering_lag_factor(&self, now: f64) -> f64 {
        let oldest = self.machines_listed_at(now - self.list_lag_s * MAX_LAG_FACTOR);
        let is_hidden = |id: &String| !oldest.iter().any(|machine| machine.id == *id);
        if self.last_page.iter().any(is_hidden) {
            MAX_LAG_FACTOR
        } else {
            1.0
        }
    }

    fn machines_listed_at(&self, as_of: f64) -> &[ListedMachine] {
        let listing = self.listings.iter().rev().find(|listing| listing.at <= as_of);
        listing.map_or(&[][..], |listing| &listing.machines)
    }

    /// Returns a page of the machines after an id, as listed at the time `as_of`.
    fn list(&mut self, after: Option<&str>, as_of: f64) -> CloudReply {
        let all = self.machines_listed_at(as_of);
        let is_after = |machine: &&ListedMachine| after.is_none_or(|after| machine.id.as_str() > after);
        let mut machines: Vec<ListedMachine> = all.iter().filter(is_after).cloned().collect();
        let more = machines.len() > MAX_LISTED;
        machines.truncate(MAX_LISTED);
        let page: BTreeSet<String> = machines.iter().map(|machine| machine.id.clone()).collect();
        let hides_machine =
            self.last_page.iter().any(|id| !page.contains(id) && self.machines.contains_key(id));
        self.reordered_lists += u64::from(after.is_none() && hides_machine);
        self.last_page = page;
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
