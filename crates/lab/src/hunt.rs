//! Randomized failure search (`hunt`): generates rehearsal scripts from a seed and shrinks a script that
//! breaks a rule to the shortest one that still does.

use std::time::Duration;

use crate::discovery::ListFault;
use crate::faults::Behaviour;
use crate::links::{Direction, Fault};
use crate::node::Kind;
use crate::script::{Action, NodeSelector, Rehearsal, ScheduledAction, VERTICALS};

/// Maximum number of actions in a generated script.
const MAX_ACTIONS: usize = 6;
/// Range of start times of actions, without their random spread.
const START_RANGE_MS: std::ops::Range<u64> = 500..5000;
/// Range of durations of actions.
const DURATION_RANGE_MS: std::ops::Range<u64> = 200..4000;
/// Settings of every generated script: a short run of a small fleet, serving queries before the first action.
const BASE_SETTINGS: &str = r#"
about = "drawn by a hunt"
gatherers = 8
servers = 8
zones = 2
cells = 4
span = 2
shards = 16
seconds = 10.0
warm = true
kept = true
rate = 60.0
parts = 8
retries = 2
notice_ms = 1000
list_rate = 50.0
mark_ms = 500
"#;
/// Settings added when keepers are tested too. The lease is short so that a run covers many lease periods.
const KEEPER_SETTINGS: &str = "keepers = 3\nlease_ms = 1500\n";
/// Range of durations of actions on owners and keepers, up to several lease periods.
const OWNER_DURATION_RANGE_MS: std::ops::Range<u64> = 100..6000;

/// Returns a selector of a random share of the nodes of `kind`, at times limited to one zone.
fn random_selector(rng: &mut fastrand::Rng, kind: Kind) -> NodeSelector {
    let share = [0.125, 0.25, 0.5, 0.75, 1.0][rng.usize(..5)];
    let from = if share < 1.0 { (1.0 - share) * rng.f64() } else { 0.0 };
    NodeSelector { kind, from, share, zone: (rng.u8(..4) == 0).then(|| rng.u16(..2)) }
}

/// Returns a random network fault on the links from clients to gatherers, or from gatherers to the list
/// service or shard servers.
fn random_link_fault(rng: &mut fastrand::Rng, for_ms: u64) -> Action {
    let gatherers = random_selector(rng, Kind::Gatherers);
    let (from, to) = match rng.u8(..6) {
        0 => (NodeSelector { kind: Kind::Clients, from: 0.0, share: 1.0, zone: None }, gatherers),
        1 => (gatherers, NodeSelector { kind: Kind::List, from: 0.0, share: 1.0, zone: None }),
        _ => (gatherers, random_selector(rng, Kind::Servers)),
    };
    let fault = match rng.u8(..7) {
        0..3 => Fault::Silent,
        3 => Fault::Reset,
        4 => Fault::Refused,
        5 => Fault::Late { ms: rng.u64(10..1000), spread_ms: rng.u64(..300) },
        _ => Fault::Slow { bytes_a_second: rng.u64(200..20_000) },
    };
    let way = [Direction::Both, Direction::There, Direction::Back][rng.usize(..3)];
    Action::Link { from, to, way, fault, for_ms, dropped: rng.bool() }
}

/// Returns a random action on gatherers, shard servers, the list service or the query load.
fn random_action(rng: &mut fastrand::Rng) -> Action {
    let for_ms = rng.u64(DURATION_RANGE_MS);
    let gatherers = random_selector(rng, Kind::Gatherers);
    let servers = random_selector(rng, Kind::Servers);
    match rng.u8(..16) {
        0..5 => random_link_fault(rng, for_ms),
        5..7 => Action::Stop { who: gatherers, for_ms },
        7..9 => {
            Action::Restart { who: gatherers, after_ms: for_ms / 2, kept: rng.bool(), softly: rng.bool() }
        }
        9..11 => {
            let delay = Duration::from_millis(rng.u64(50..900));
            let behaviours = [
                Behaviour::Slow(delay),
                Behaviour::Silent,
                Behaviour::Failing,
                Behaviour::Full,
                Behaviour::Cut,
                Behaviour::HoldsLast,
                Behaviour::Half,
            ];
            let vertical = rng.bool().then(|| VERTICALS[rng.usize(..VERTICALS.len())].0.to_owned());
            Action::Server {
                who: servers,
                vertical,
                manner: behaviours[rng.usize(..behaviours.len())],
                for_ms,
            }
        }
        11..13 => {
            let list_faults = [
                ListFault::Hangs,
                ListFault::Sorry,
                ListFault::Late { ms: for_ms / 2 },
                ListFault::Old,
                ListFault::Halved,
                ListFault::Back { by: 3 },
                ListFault::Torn,
            ];
            let who = rng.bool().then_some(gatherers);
            Action::List { who, trouble: list_faults[rng.usize(..list_faults.len())], for_ms }
        }
        13 => Action::Drain { who: NodeSelector { share: servers.share.min(0.5), ..servers }, for_ms },
        14 => Action::Cold { who: servers },
        _ => match rng.bool() {
            true => Action::Burst { times: 1.0 + 4.0 * rng.f64(), for_ms },
            false => Action::Rush { queries: rng.u32(1..20) },
        },
    }
}

/// Returns a random action on the owner, on gatherers or on keepers.
fn random_owner_or_keeper_action(rng: &mut fastrand::Rng) -> Action {
    let for_ms = rng.u64(OWNER_DURATION_RANGE_MS);
    let all = |kind| NodeSelector { kind, from: 0.0, share: 1.0, zone: None };
    let keepers = NodeSelector { zone: None, ..random_selector(rng, Kind::Keepers) };
    let who = [all(Kind::Owner), all(Kind::Owner), random_selector(rng, Kind::Gatherers), keepers.clone()];
    let who = who[rng.usize(..4)].clone();
    match rng.u8(..8) {
        0..3 => Action::Stop { who, for_ms },
        3 => Action::Restart { who, after_ms: for_ms / 4, kept: true, softly: rng.bool() },
        _ => {
            let late = Fault::Late { ms: rng.u64(10..1600), spread_ms: rng.u64(..500) };
            let faults = [Fault::Silent, Fault::Silent, Fault::Reset, Fault::Refused, late];
            let (fault, way) = (
                faults[rng.usize(..5)],
                [Direction::Both, Direction::There, Direction::Back][rng.usize(..3)],
            );
            Action::Link { from: who, to: keepers, way, fault, for_ms, dropped: rng.bool() }
        }
    }
}

/// Returns the script generated from `seed`. With `keepers`, about half of its actions come from
/// [`random_owner_or_keeper_action`].
pub fn generate(seed: u64, keepers: bool) -> Result<Rehearsal, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let settings =
        if keepers { format!("{BASE_SETTINGS}{KEEPER_SETTINGS}") } else { BASE_SETTINGS.to_owned() };
    let mut rehearsal = Rehearsal::parse(&settings)?;
    let count = rng.usize(1..=MAX_ACTIONS);
    rehearsal.act = (0..count)
        .map(|_| {
            let (at_ms, spread_ms) = (rng.u64(START_RANGE_MS), rng.u64(..1500));
            let action = if keepers && rng.bool() {
                random_owner_or_keeper_action(&mut rng)
            } else {
                random_action(&mut rng)
            };
            ScheduledAction { at_ms, spread_ms, action }
        })
        .collect();
    rehearsal.validated()
}

/// Returns `scheduled` with half its duration, or `None` if it has no duration or would become too short.
fn with_half_duration(scheduled: &ScheduledAction) -> Option<ScheduledAction> {
    let mut scheduled = scheduled.clone();
    let duration_ms = match &mut scheduled.action {
        Action::Stop { for_ms, .. } | Action::Link { for_ms, .. } | Action::Server { for_ms, .. } => for_ms,
        Action::List { for_ms, .. } | Action::Drain { for_ms, .. } | Action::Burst { for_ms, .. } => for_ms,
        _ => return None,
    };
    *duration_ms /= 2;
    (*duration_ms >= DURATION_RANGE_MS.start).then_some(scheduled)
}

/// Removes actions, then halves the durations of the remaining ones, as long as `breaks_rule` reports that
/// the script still breaks a rule.
pub async fn shrink(
    mut actions: Vec<ScheduledAction>, mut breaks_rule: impl AsyncFnMut(&[ScheduledAction]) -> bool,
) -> Vec<ScheduledAction> {
    let mut index = 0;
    while index < actions.len() && actions.len() > 1 {
        let mut candidate = actions.clone();
        candidate.remove(index);
        match breaks_rule(&candidate).await {
            // An action that was needed before may be removable once another one is gone.
            true => (actions, index) = (candidate, 0),
            false => index += 1,
        }
    }
    for index in 0..actions.len() {
        while let Some(shortened) = with_half_duration(&actions[index]) {
            let mut candidate = actions.clone();
            candidate[index] = shortened;
            if !breaks_rule(&candidate).await {
                break;
            }
            actions = candidate;
        }
    }
    actions
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    #[test]
    fn a_seed_generates_the_same_valid_script_each_time_and_seeds_cover_all_kinds_of_action() {
        let mut kinds = BTreeSet::new();
        for seed in 0..400 {
            let keepers = seed % 2 == 0;
            let rehearsal = generate(seed, keepers).expect("a generated script is valid");
            assert_eq!(rehearsal.act, generate(seed, keepers).expect("a generated script is valid").act);
            let text = toml::to_string(&rehearsal).expect("a generated script serializes to TOML");
            assert_eq!(Rehearsal::parse(&text).expect("a serialized script parses").act, rehearsal.act);
            for scheduled in &rehearsal.act {
                kinds.insert(
                    format!("{:?}", scheduled.action).split([' ', '{']).next().unwrap_or_default().to_owned(),
                );
            }
        }
        let all = ["Burst", "Cold", "Drain", "Link", "List", "Restart", "Rush", "Server", "Stop"];
        assert_eq!(kinds.iter().map(String::as_str).collect::<Vec<_>>(), all);
    }

    #[tokio::test]
    async fn shrinking_removes_unneeded_actions_and_shortens_the_remaining_ones() {
        let actions: Vec<ScheduledAction> =
            (0..8).flat_map(|seed| generate(seed, false).expect("a generated script is valid").act).collect();
        let who = NodeSelector { kind: Kind::Gatherers, from: 0.0, share: 0.5, zone: None };
        let stop = ScheduledAction {
            at_ms: 700,
            spread_ms: 0,
            action: Action::Stop { who: who.clone(), for_ms: 3200 },
        };
        let kill = ScheduledAction { at_ms: 900, spread_ms: 0, action: Action::Kill { who } };
        let mut all = actions.clone();
        all.insert(3, stop);
        all.push(kill.clone());
        let mut attempts = 0;
        let shortest = shrink(all, async |actions: &[ScheduledAction]| {
            attempts += 1;
            let is_needed_stop = |scheduled: &ScheduledAction| matches!(scheduled.action, Action::Stop { for_ms, .. } if for_ms >= 800 && scheduled.at_ms == 700);
            actions.iter().any(is_needed_stop) && actions.contains(&kill)
        });
        let shortest = shortest.await;
        assert_eq!(shortest.len(), 2, "{shortest:?}");
        assert!(matches!(shortest[0].action, Action::Stop { for_ms: 800, .. }) && shortest[1] == kill);
    }
}
