//! Ledger of the open charges by purpose and tenant, and admission of new ones.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;

use crate::limits::{Limit, Limits};
use crate::purpose::Purpose;
use crate::shares::Shares;

/// Limit that a refused charge would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Cap of the purpose.
    Cap,
    /// Total over all purposes, including the unused reserves of the other purposes.
    Total,
    /// Share of the tenant: it is used up, and other tenants need the rest of the cap.
    Share,
}

/// Refusal of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// Purpose of the refused charge.
    pub purpose: Purpose,
    /// Limit that the charge would exceed.
    pub reason: Reason,
}

impl fmt::Display for NoRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.reason {
            Reason::Cap => "cap of the purpose reached",
            Reason::Total => "total of all purposes reached",
            Reason::Share => "share of the tenant reached",
        };
        write!(f, "memory charge for {} refused: {reason}", self.purpose.name())
    }
}

impl std::error::Error for NoRoom {}

#[derive(Clone, Debug, Default)]
struct Account {
    /// Bytes of all open charges.
    used: u64,
    /// Part of `used` that is set aside for data that has not arrived yet.
    unfilled: u64,
    /// Maximum of `used` so far.
    peak: u64,
    /// Number of refused charges.
    refused: u64,
}

/// Sums of the open charges of all purposes. The charges themselves are held by their owners.
struct LedgerState {
    limits: Limits,
    accounts: [Account; Purpose::COUNT],
    shares: [Shares; Purpose::COUNT],
    now: Duration,
}

impl LedgerState {
    /// Returns the bytes that are in use or reserved: the greater of the two for each purpose, summed.
    fn committed_bytes(&self) -> u64 {
        Purpose::ALL.iter().map(|p| self.accounts[p.index()].used.max(self.limits.of(*p).reserve)).sum()
    }

    fn refusal_reason(&mut self, purpose: Purpose, tenant: usize, bytes: u64) -> Option<Reason> {
        let Limit { cap, reserve } = self.limits.of(purpose);
        let used = self.accounts[purpose.index()].used;
        if used.saturating_add(bytes) > cap {
            return Some(Reason::Cap);
        }
        let growth = (used + bytes).max(reserve) - used.max(reserve);
        if growth > 0 && self.committed_bytes() + growth > self.limits.total {
            return Some(Reason::Total);
        }
        let now = self.now;
        let is_shared = purpose.is_shared();
        (is_shared && !self.shares[purpose.index()].may_take(tenant, bytes, used, cap, now))
            .then_some(Reason::Share)
    }

    fn take(&mut self, purpose: Purpose, tenant: usize, bytes: u64) -> Result<(), NoRoom> {
        if let Some(reason) = self.refusal_reason(purpose, tenant, bytes) {
            self.accounts[purpose.index()].refused += 1;
            self.shares[purpose.index()].tenants[tenant].refused += 1;
            return Err(NoRoom { purpose, reason });
        }
        self.add(purpose, tenant, bytes);
        Ok(())
    }

    fn add(&mut self, purpose: Purpose, tenant: usize, bytes: u64) {
        let account = &mut self.accounts[purpose.index()];
        account.used += bytes;
        account.peak = account.peak.max(account.used);
        self.shares[purpose.index()].add(tenant, bytes);
    }

    fn release(&mut self, purpose: Purpose, tenant: usize, bytes: u64) {
        self.accounts[purpose.index()].used -= bytes;
        self.shares[purpose.index()].release(tenant, bytes);
    }
}

/// Memory ledger of a process. Clones share the same state.
#[derive(Clone)]
pub struct Ledger {
    state: Arc<Mutex<LedgerState>>,
    tenant_names: Arc<[String]>,
}

impl Ledger {
    /// Creates a ledger with the given limits, for tenants with the given names and weights.
    pub fn new(limits: Limits, tenants: &[(String, f64)]) -> Ledger {
        let weights: Vec<f64> = tenants.iter().map(|(_, weight)| *weight).collect();
        let state = LedgerState {
            limits,
            accounts: Default::default(),
            shares: std::array::from_fn(|_| Shares::new(&weights)),
            now: Duration::ZERO,
        };
        let tenant_names = tenants.iter().map(|(name, _)| name.clone()).collect();
        Ledger { state: Arc::new(Mutex::new(state)), tenant_names }
    }

    /// Locks the state and ignores poisoning: the sums are consistent whenever the lock is released, so a
    /// panic in another thread does not invalidate them.
    fn lock_state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Advances the clock that decides which tenants are active. An earlier time has no effect.
    pub fn at(&self, now: Duration) {
        let mut state = self.lock_state();
        state.now = state.now.max(now);
    }

    /// Charges the given bytes, or returns the limit that they would exceed.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if a limit would be exceeded.
    pub fn take(&self, purpose: Purpose, tenant: Option<usize>, bytes: u64) -> Result<Charge, NoRoom> {
        let mut state = self.lock_state();
        let tenant = state.shares[purpose.index()].index(tenant);
        state.take(purpose, tenant, bytes)?;
        Ok(Charge { ledger: self.clone(), purpose, tenant, bytes, unfilled: 0 })
    }

    /// Charges the given bytes for data that has not arrived yet; [`Charge::fill`] records its arrival.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if a limit would be exceeded.
    pub fn set_aside(&self, purpose: Purpose, tenant: Option<usize>, bytes: u64) -> Result<Charge, NoRoom> {
        let mut charge = self.take(purpose, tenant, bytes)?;
        charge.unfilled = bytes;
        self.lock_state().accounts[purpose.index()].unfilled += bytes;
        Ok(charge)
    }

    /// Returns the refusal that a charge of the given bytes would meet, if any, without charging them.
    pub fn lacks(&self, purpose: Purpose, tenant: Option<usize>, bytes: u64) -> Option<NoRoom> {
        let mut state = self.lock_state();
        let tenant = state.shares[purpose.index()].index(tenant);
        state.refusal_reason(purpose, tenant, bytes).map(|reason| NoRoom { purpose, reason })
    }

    /// Replaces the limits. Open charges above a lowered cap stay until they are released.
    pub fn limit(&self, limits: Limits) {
        self.lock_state().limits = limits;
    }

    /// Returns a copy of the limits in force.
    pub fn limits(&self) -> Limits {
        self.lock_state().limits.clone()
    }

    /// Returns the bytes of all open charges for one purpose.
    pub fn open(&self, purpose: Purpose) -> u64 {
        self.lock_state().accounts[purpose.index()].used
    }

    /// Returns the bytes of all open charges.
    pub fn sum(&self) -> u64 {
        self.lock_state().accounts.iter().map(|a| a.used).sum()
    }

    /// Returns the state of all purposes. `live` is the number of bytes allocated, as the allocator reports
    /// it.
    pub fn table(&self, live: u64) -> Table {
        let state = self.lock_state();
        let row = |purpose: &Purpose| {
            let (Limit { cap, reserve }, account) =
                (state.limits.of(*purpose), &state.accounts[purpose.index()]);
            let shares = &state.shares[purpose.index()];
            let tenants = shares.tenants.iter().enumerate().filter(|(_, t)| t.peak > 0 || t.refused > 0);
            let tenant = |(index, t): (usize, &crate::shares::Tenant)| TenantRow {
                tenant: self.tenant_names.get(index).cloned().unwrap_or_else(|| "-".into()),
                now: t.used,
                peak: t.peak,
                share: shares.share(index, cap),
                refused: t.refused,
            };
            let tenants = if purpose.is_shared() { tenants.map(tenant).collect() } else { Vec::new() };
            let Account { used, unfilled, peak, refused } = *account;
            Row {
                purpose: purpose.name(),
                now: used,
                set_aside: unfilled,
                peak,
                cap,
                reserve,
                refused,
                tenants,
            }
        };
        let purposes: Vec<Row> = Purpose::ALL.iter().map(row).collect();
        let sum = purposes.iter().map(|r| r.now).sum::<u64>();
        let unfilled = purposes.iter().map(|r| r.set_aside).sum::<u64>();
        let unattributed = live as i64 - (sum - unfilled) as i64;
        Table { live, sum, unattributed, total: state.limits.total, purposes }
    }
}

/// Bytes charged to a purpose and a tenant, released on drop.
pub struct Charge {
    ledger: Ledger,
    purpose: Purpose,
    tenant: usize,
    bytes: u64,
    unfilled: u64,
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes for {}", self.bytes, self.purpose.name())
    }
}

impl Charge {
    /// Returns the size of the charge.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Sets the size of the charge. If an increase is refused, the charge is unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if an increase would exceed a limit.
    pub fn resize(&mut self, bytes: u64) -> Result<(), NoRoom> {
        let mut state = self.ledger.lock_state();
        match bytes.checked_sub(self.bytes) {
            Some(more) => state.take(self.purpose, self.tenant, more)?,
            None => state.release(self.purpose, self.tenant, self.bytes - bytes),
        }
        drop(state);
        self.bytes = bytes;
        // The unfilled part cannot exceed the charge.
        self.reduce_unfilled(self.unfilled.saturating_sub(bytes));
        Ok(())
    }

    /// Records that the given bytes have arrived. Bytes beyond the part set aside are charged in addition; if
    /// that is refused, the charge is unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if the additional bytes would exceed a limit.
    pub fn fill(&mut self, bytes: u64) -> Result<(), NoRoom> {
        if let Some(more) = bytes.checked_sub(self.unfilled).filter(|more| *more > 0) {
            self.resize(self.bytes + more)?;
        }
        self.reduce_unfilled(bytes.min(self.unfilled));
        Ok(())
    }

    /// Releases the part that is still set aside, once all data has arrived.
    pub fn settle(&mut self) {
        let unfilled = self.unfilled;
        self.reduce_unfilled(unfilled);
        self.ledger.lock_state().release(self.purpose, self.tenant, unfilled);
        self.bytes -= unfilled;
    }

    /// Subtracts bytes from the unfilled part, here and in the ledger.
    fn reduce_unfilled(&mut self, bytes: u64) {
        self.unfilled -= bytes;
        self.ledger.lock_state().accounts[self.purpose.index()].unfilled -= bytes;
    }

    /// Sets the charge to the actual size of its data without checking limits: for data that is already in
    /// memory and is released soon, so that a refusal would free nothing.
    pub fn correct(&mut self, bytes: u64) {
        let mut state = self.ledger.lock_state();
        state.release(self.purpose, self.tenant, self.bytes);
        state.add(self.purpose, self.tenant, bytes);
        drop(state);
        self.bytes = bytes;
        self.reduce_unfilled(self.unfilled.saturating_sub(bytes));
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.ledger.lock_state();
        state.accounts[self.purpose.index()].unfilled -= self.unfilled;
        state.release(self.purpose, self.tenant, self.bytes);
    }
}

/// Snapshot of all purposes, in bytes.
#[derive(Clone, Debug, Serialize)]
pub struct Table {
    /// Allocated bytes, as the allocator reports them.
    pub live: u64,
    /// Bytes of all open charges.
    pub sum: u64,
    /// Limit of `sum`.
    pub total: u64,
    /// Live bytes that no charge covers. Bytes that are only set aside do not count as live.
    pub unattributed: i64,
    /// One row for each purpose, in the order of [`Purpose::ALL`].
    pub purposes: Vec<Row>,
}

/// State of one purpose, in bytes.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the purpose.
    pub purpose: &'static str,
    /// Bytes of the open charges.
    pub now: u64,
    /// Part of `now` that is set aside for data that has not arrived yet.
    pub set_aside: u64,
    /// Maximum of `now` so far.
    pub peak: u64,
    /// Maximum of the open charges.
    pub cap: u64,
    /// Part of the total that other purposes cannot use.
    pub reserve: u64,
    /// Number of refused charges.
    pub refused: u64,
    /// Tenants that have had a charge accepted or refused.
    pub tenants: Vec<TenantRow>,
}

/// State of one tenant within a purpose, in bytes.
#[derive(Clone, Debug, Serialize)]
pub struct TenantRow {
    /// Name of the tenant, or "-" for requests without a known tenant.
    pub tenant: String,
    /// Bytes of the open charges.
    pub now: u64,
    /// Maximum of `now` so far.
    pub peak: u64,
    /// Bytes that the tenant may always use; beyond them it borrows unused shares of others.
    pub share: u64,
    /// Number of refused charges.
    pub refused: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ledger() -> Ledger {
        Ledger::new(Limits::of_memory(32 << 20), &[("a".into(), 1.0), ("b".into(), 1.0)])
    }

    /// Takes charges of the given size until one is refused.
    fn fill(ledger: &Ledger, purpose: Purpose, tenant: Option<usize>, bytes: u64) -> (Vec<Charge>, NoRoom) {
        let mut charges = Vec::new();
        loop {
            match ledger.take(purpose, tenant, bytes) {
                Ok(charge) => charges.push(charge),
                Err(no_room) => return (charges, no_room),
            }
        }
    }

    #[test]
    fn a_charge_is_released_on_drop_and_a_cap_is_never_exceeded() {
        let ledger = ledger();
        let cap = ledger.limits().of(Purpose::Frames).cap;
        let (charges, no_room) = fill(&ledger, Purpose::Frames, None, 60_000);
        assert_eq!(no_room.reason, Reason::Cap);
        assert!(ledger.open(Purpose::Frames) <= cap && ledger.open(Purpose::Frames) + 60_000 > cap);
        drop(charges);
        assert_eq!(ledger.sum(), 0);
        let row = &ledger.table(0).purposes[Purpose::Frames.index()];
        assert!(row.refused == 1 && row.peak <= cap && row.now == 0);
    }

    /// Guards against a tenant that uses up the total through some purposes, so that another tenant cannot
    /// get its share of the next purpose.
    #[test]
    fn a_tenant_gets_its_share_of_each_purpose_under_load_from_another_tenant() {
        let ledger = ledger();
        let all: Vec<_> = Purpose::ALL.into_iter().map(|p| fill(&ledger, p, Some(0), 1000)).collect();
        assert!(all.iter().all(|(charges, _)| charges.len() > 100));
        for purpose in Purpose::ALL.into_iter().filter(|p| p.is_shared()) {
            let cap = ledger.limits().of(purpose).cap;
            let taken = fill(&ledger, purpose, Some(1), 1000).0.len() as u64 * 1000;
            assert!(taken + 2000 > cap / 4, "{taken} of {cap} for {}", purpose.name());
        }
    }

    /// Guards against other purposes using up the reserve of one purpose.
    #[test]
    fn the_reserve_of_a_purpose_is_available_whatever_the_others_use() {
        let ledger = ledger();
        let others = Purpose::ALL.into_iter().filter(|p| *p != Purpose::Calls);
        let all: Vec<_> = others.map(|p| fill(&ledger, p, Some(0), 1000)).collect();
        assert!(
            all.iter().any(|(_, no_room)| no_room.reason == Reason::Total),
            "the total is the limit reached"
        );
        let reserve = ledger.limits().of(Purpose::Calls).reserve;
        let (charges, _) = fill(&ledger, Purpose::Calls, None, 1000);
        let taken: u64 = charges.iter().map(Charge::bytes).sum();
        assert!(taken + 1000 > reserve, "{taken} of {reserve}");
    }

    #[test]
    fn a_lowered_cap_keeps_open_charges_and_refuses_new_ones() {
        let ledger = ledger();
        let (mut charges, _) = fill(&ledger, Purpose::Calls, None, 1000);
        let held = ledger.open(Purpose::Calls);
        let mut lower = ledger.limits();
        lower.set(Purpose::Calls, Limit { cap: held / 2, reserve: 0 });
        ledger.limit(lower);
        assert_eq!(ledger.open(Purpose::Calls), held);
        assert!(ledger.take(Purpose::Calls, None, 1).is_err());
        assert!(charges[0].resize(2000).is_err() && charges[0].bytes() == 1000);
        assert!(charges[0].resize(500).is_ok(), "a charge can always shrink");
        charges.truncate(charges.len() / 2 - 2);
        assert!(ledger.take(Purpose::Calls, None, 1).is_ok());
    }

    #[test]
    fn bytes_set_aside_are_filled_exceeded_and_released() {
        let ledger = ledger();
        let mut charge = ledger.set_aside(Purpose::Values, None, 1000).expect("the limits leave room");
        let values_row = |live| {
            let table = ledger.table(live);
            let row = &table.purposes[Purpose::Values.index()];
            (row.now, row.set_aside, table.unattributed)
        };
        assert_eq!(values_row(0), (1000, 1000, 0));
        charge.fill(300).expect("the limits leave room");
        assert_eq!(values_row(300), (1000, 700, 0));
        charge.fill(900).expect("the limits leave room");
        assert_eq!((values_row(1200), charge.bytes()), ((1200, 0, 0), 1200));
        assert!(charge.fill(u64::MAX / 2).is_err() && charge.bytes() == 1200);
        drop(charge);
        let mut charge = ledger.set_aside(Purpose::Values, None, 1000).expect("the limits leave room");
        charge.fill(300).expect("the limits leave room");
        charge.settle();
        assert_eq!((values_row(300), charge.bytes()), ((300, 0, 0), 300));
        drop(charge);
        assert_eq!(values_row(0), (0, 0, 0));
    }

    #[test]
    fn the_table_reports_live_bytes_without_a_purpose() {
        let ledger = ledger();
        let _charge = ledger.take(Purpose::Values, Some(1), 700).expect("the limits leave room");
        let table = ledger.table(1000);
        assert_eq!((table.live, table.sum, table.unattributed), (1000, 700, 300));
        let values = &table.purposes[Purpose::Values.index()];
        assert_eq!((values.tenants.len(), &*values.tenants[0].tenant, values.tenants[0].now), (1, "b", 700));
    }
}
