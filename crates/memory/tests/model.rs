//! Random sequences of charges, releases and limit changes, compared with a model that sums the charges: no
//! cap is exceeded, no reserve of another purpose is used, no tenant within its share is refused because of
//! its share, and all bytes are released at the end.

use std::time::Duration;

use ashvane_memory::{Charge, Ledger, Limit, Limits, Purpose, Reason};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Step {
    Take { purpose: usize, tenant: usize, bytes: u64 },
    Drop(usize),
    Resize { charge: usize, bytes: u64 },
    Fill { charge: usize, bytes: u64 },
    Settle(usize),
    Wait(u64),
    LowerCap { purpose: usize, cap: u64 },
    RestoreLimits,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let bytes = u64::arbitrary(g) % 300_000;
        match u8::arbitrary(g) % 14 {
            0..6 => Step::Take {
                purpose: usize::arbitrary(g) % Purpose::COUNT,
                tenant: usize::arbitrary(g) % 4,
                bytes,
            },
            6..8 => Step::Drop(usize::arbitrary(g)),
            8..10 => Step::Resize { charge: usize::arbitrary(g), bytes },
            10 => Step::Fill { charge: usize::arbitrary(g), bytes },
            11 => Step::Settle(usize::arbitrary(g)),
            12 => Step::Wait(u64::arbitrary(g) % 10),
            _ if bool::arbitrary(g) => {
                Step::LowerCap { purpose: usize::arbitrary(g) % Purpose::COUNT, cap: 1 + bytes }
            }
            _ => Step::RestoreLimits,
        }
    }
}

struct OpenCharge {
    purpose: Purpose,
    tenant: usize,
    charge: Charge,
}

/// Sums the open charges for a purpose, of one tenant or of all.
fn open_bytes(charges: &[OpenCharge], purpose: Purpose, tenant: Option<usize>) -> u64 {
    let matching =
        charges.iter().filter(|t| t.purpose == purpose && tenant.is_none_or(|one| one == t.tenant));
    matching.map(|t| t.charge.bytes()).sum()
}

/// Whether the caps and reserves allow `more` bytes for a purpose, computed from the open charges.
fn is_within_limits(charges: &[OpenCharge], limits: &Limits, purpose: Purpose, more: u64) -> bool {
    let after = |p: Purpose| open_bytes(charges, p, None) + if p == purpose { more } else { 0 };
    let committed: u64 = Purpose::ALL.into_iter().map(|p| after(p).max(limits.of(p).reserve)).sum();
    let is_within_reserve =
        open_bytes(charges, purpose, None).max(limits.of(purpose).reserve) >= after(purpose);
    after(purpose) <= limits.of(purpose).cap && (committed <= limits.total || is_within_reserve)
}

#[expect(clippy::too_many_lines, reason = "one arm for each kind of step")]
fn ledger_matches_model(steps: Vec<Step>) -> bool {
    let initial = Limits::of_memory(4 << 20);
    let weights = [1.0, 2.0, 5.0];
    let tenants: Vec<(String, f64)> = weights.iter().map(|w| (format!("t{w}"), *w)).collect();
    let ledger = Ledger::new(initial.clone(), &tenants);
    let (mut limits, mut charges, mut now) = (initial.clone(), Vec::<OpenCharge>::new(), Duration::ZERO);
    for step in steps {
        match step {
            Step::Take { purpose, tenant, bytes } => {
                let purpose = Purpose::ALL[purpose];
                let is_within_limits = is_within_limits(&charges, &limits, purpose, bytes);
                let weight = weights.get(tenant).copied().unwrap_or(0.0);
                let share = (limits.of(purpose).cap as f64 * weight / 8.0) as u64;
                let is_within_share = open_bytes(&charges, purpose, Some(tenant)) + bytes <= share;
                let set_aside = bytes % 3 == 0;
                let operation = if set_aside { Ledger::set_aside } else { Ledger::take };
                match operation(&ledger, purpose, Some(tenant), bytes) {
                    Ok(_) if !is_within_limits => return false,
                    Ok(charge) => charges.push(OpenCharge { purpose, tenant, charge }),
                    Err(refusal)
                        if refusal.reason == Reason::Share && (is_within_share || !purpose.is_shared()) =>
                    {
                        return false;
                    }
                    Err(refusal) if refusal.reason != Reason::Share && is_within_limits => return false,
                    Err(_) => {}
                }
            }
            Step::Drop(charge) if !charges.is_empty() => {
                charges.swap_remove(charge % charges.len());
            }
            Step::Resize { charge, bytes } if !charges.is_empty() => {
                let index = charge % charges.len();
                let (purpose, before) = (charges[index].purpose, charges[index].charge.bytes());
                let is_within_limits =
                    is_within_limits(&charges, &limits, purpose, bytes.saturating_sub(before));
                let resized = charges[index].charge.resize(bytes);
                if resized.is_ok() && bytes > before && !is_within_limits
                    || resized.is_err() && bytes <= before
                {
                    return false;
                }
                if charges[index].charge.bytes() != if resized.is_ok() { bytes } else { before } {
                    return false;
                }
            }
            Step::Fill { charge, bytes } if !charges.is_empty() => {
                let index = charge % charges.len();
                let (purpose, before) = (charges[index].purpose, charges[index].charge.bytes());
                let cap = limits.of(purpose).cap;
                let used = open_bytes(&charges, purpose, None);
                let filled = charges[index].charge.fill(bytes);
                let more = charges[index].charge.bytes() - before;
                if more > bytes || more > 0 && (filled.is_err() || used + more > cap) {
                    return false;
                }
            }
            Step::Settle(charge) if !charges.is_empty() => {
                let index = charge % charges.len();
                charges[index].charge.settle();
            }
            Step::Wait(seconds) => {
                now += Duration::from_secs(seconds);
                ledger.at(now);
            }
            Step::LowerCap { purpose, cap } => {
                limits.set(Purpose::ALL[purpose], Limit { cap, reserve: 0 });
                ledger.limit(limits.clone());
            }
            Step::RestoreLimits => {
                limits = initial.clone();
                ledger.limit(limits.clone());
            }
            Step::Drop(_) | Step::Resize { .. } | Step::Fill { .. } | Step::Settle(_) => {}
        }
        if Purpose::ALL.into_iter().any(|p| ledger.open(p) != open_bytes(&charges, p, None)) {
            return false;
        }
    }
    drop(charges);
    let table = ledger.table(0);
    let set_aside: u64 = table.purposes.iter().map(|row| row.set_aside).sum();
    ledger.sum() == 0
        && set_aside == 0
        && table.unattributed == 0
        && table.purposes.iter().all(|row| row.tenants.iter().all(|t| t.now == 0))
}

#[test]
fn no_cap_is_exceeded_and_all_bytes_are_released_after_any_sequence() {
    let mut check = QuickCheck::new().tests(2000).rng(Gen::from_size_and_seed(120, 11));
    check.quickcheck(ledger_matches_model as fn(Vec<Step>) -> bool);
}
