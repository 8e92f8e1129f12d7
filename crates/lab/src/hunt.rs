//! The hunt: scripts drawn at random from all acts, and the shortest that still breaks a rule.

use std::time::Duration;

use crate::discovery::ListFault;
use crate::faults::Behaviour;
use crate::links::{Direction, Fault};
use crate::node::Kind;
use crate::script::{Action, NodeSelector, Rehearsal, ScheduledAction, VERTICALS};

/// Acts of a drawn script at the most.
const ACTS_MOST: usize = 6;
/// When acts may begin, and how long they last at the most, in milliseconds.
const BEGIN_MS: std::ops::Range<u64> = 500..5000;
const LAST_MS: std::ops::Range<u64> = 200..4000;
/// What every drawn script stands on: short, small, and under way before the first act.
const GROUND: &str = r#"
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
/// What is added where keepers are hunted too: a lease so short that many fit.
const KEEPERS: &str = "keepers = 3\nlease_ms = 1500\n";
/// Acts on an owner and on keepers last up to so long: some leases.
const FLEET_LAST_MS: std::ops::Range<u64> = 100..6000;

fn some(rng: &mut fastrand::Rng, kind: Kind) -> NodeSelector {
    let share = [0.125, 0.25, 0.5, 0.75, 1.0][rng.usize(..5)];
    let from = if share < 1.0 { (1.0 - share) * rng.f64() } else { 0.0 };
    NodeSelector { kind, from, share, zone: (rng.u8(..4) == 0).then(|| rng.u16(..2)) }
}

fn link(rng: &mut fastrand::Rng, for_ms: u64) -> Action {
    let gatherers = some(rng, Kind::Gatherers);
    let (from, to) = match rng.u8(..6) {
        0 => (NodeSelector { kind: Kind::Clients, from: 0.0, share: 1.0, zone: None }, gatherers),
        1 => (gatherers, NodeSelector { kind: Kind::List, from: 0.0, share: 1.0, zone: None }),
        _ => (gatherers, some(rng, Kind::Servers)),
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

fn action(rng: &mut fastrand::Rng) -> Action {
    let for_ms = rng.u64(LAST_MS);
    let gatherers = some(rng, Kind::Gatherers);
    let servers = some(rng, Kind::Servers);
    match rng.u8(..16) {
        0..5 => link(rng, for_ms),
        5..7 => Action::Stop { who: gatherers, for_ms },
        7..9 => {
            Action::Restart { who: gatherers, after_ms: for_ms / 2, kept: rng.bool(), softly: rng.bool() }
        }
        9..11 => {
            let late = Duration::from_millis(rng.u64(50..900));
            let manners = [
                Behaviour::Slow(late),
                Behaviour::Silent,
                Behaviour::Failing,
                Behaviour::Full,
                Behaviour::Cut,
                Behaviour::HoldsLast,
                Behaviour::Half,
            ];
            let vertical = rng.bool().then(|| VERTICALS[rng.usize(..VERTICALS.len())].0.to_owned());
            Action::Server { who: servers, vertical, manner: manners[rng.usize(..manners.len())], for_ms }
        }
        11..13 => {
            let troubles = [
                ListFault::Hangs,
                ListFault::Sorry,
                ListFault::Late { ms: for_ms / 2 },
                ListFault::Old,
                ListFault::Halved,
                ListFault::Back { by: 3 },
                ListFault::Torn,
            ];
            let who = rng.bool().then_some(gatherers);
            Action::List { who, trouble: troubles[rng.usize(..troubles.len())], for_ms }
        }
        13 => Action::Drain { who: NodeSelector { share: servers.share.min(0.5), ..servers }, for_ms },
        14 => Action::Cold { who: servers },
        _ => match rng.bool() {
            true => Action::Burst { times: 1.0 + 4.0 * rng.f64(), for_ms },
            false => Action::Rush { queries: rng.u32(1..20) },
        },
    }
}

/// An act on who owns, or on those who keep that.
fn on_the_fleet(rng: &mut fastrand::Rng) -> Action {
    let for_ms = rng.u64(FLEET_LAST_MS);
    let all = |kind| NodeSelector { kind, from: 0.0, share: 1.0, zone: None };
    let keepers = NodeSelector { zone: None, ..some(rng, Kind::Keepers) };
    let who = [all(Kind::Owner), all(Kind::Owner), some(rng, Kind::Gatherers), keepers.clone()];
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

/// The script of a seed; with keepers, half of its acts are on them and on the owner.
pub fn draw(seed: u64, keepers: bool) -> Result<Rehearsal, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let ground = if keepers { format!("{GROUND}{KEEPERS}") } else { GROUND.to_owned() };
    let mut rehearsal = Rehearsal::parse(&ground)?;
    let count = rng.usize(1..=ACTS_MOST);
    rehearsal.act = (0..count)
        .map(|_| {
            let (at_ms, spread_ms) = (rng.u64(BEGIN_MS), rng.u64(..1500));
            let action = if keepers && rng.bool() { on_the_fleet(&mut rng) } else { action(&mut rng) };
            ScheduledAction { at_ms, spread_ms, action }
        })
        .collect();
    rehearsal.validated()
}

/// The same act for half as long, where it lasts.
fn shorter(act: &ScheduledAction) -> Option<ScheduledAction> {
    let mut act = act.clone();
    let lasts = match &mut act.action {
        Action::Stop { for_ms, .. } | Action::Link { for_ms, .. } | Action::Server { for_ms, .. } => for_ms,
        Action::List { for_ms, .. } | Action::Drain { for_ms, .. } | Action::Burst { for_ms, .. } => for_ms,
        _ => return None,
    };
    *lasts /= 2;
    (*lasts >= LAST_MS.start).then_some(act)
}

/// Cuts acts out, then shortens those that are left, as long as what is left still breaks something.
pub async fn cut_down(
    mut acts: Vec<ScheduledAction>, mut breaks: impl AsyncFnMut(&[ScheduledAction]) -> bool,
) -> Vec<ScheduledAction> {
    let mut at = 0;
    while at < acts.len() && acts.len() > 1 {
        let mut fewer = acts.clone();
        fewer.remove(at);
        match breaks(&fewer).await {
            // What could not be spared before may be now.
            true => (acts, at) = (fewer, 0),
            false => at += 1,
        }
    }
    for at in 0..acts.len() {
        while let Some(act) = shorter(&acts[at]) {
            let mut milder = acts.clone();
            milder[at] = act;
            if !breaks(&milder).await {
                break;
            }
            acts = milder;
        }
    }
    acts
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    #[test]
    fn a_seed_draws_one_script_that_can_be_played_and_all_acts_are_drawn() {
        let mut kinds = BTreeSet::new();
        for seed in 0..400 {
            let keepers = seed % 2 == 0;
            let rehearsal = draw(seed, keepers).expect("it can be played");
            assert_eq!(rehearsal.act, draw(seed, keepers).expect("it").act);
            let text = toml::to_string(&rehearsal).expect("it can be written down");
            assert_eq!(Rehearsal::parse(&text).expect("and read").act, rehearsal.act);
            for act in &rehearsal.act {
                kinds.insert(
                    format!("{:?}", act.action).split([' ', '{']).next().unwrap_or_default().to_owned(),
                );
            }
        }
        let all = ["Burst", "Cold", "Drain", "Link", "List", "Restart", "Rush", "Server", "Stop"];
        assert_eq!(kinds.iter().map(String::as_str).collect::<Vec<_>>(), all);
    }

    #[tokio::test]
    async fn what_is_not_needed_is_cut_out_and_what_is_left_is_shortened() {
        let acts: Vec<ScheduledAction> = (0..8).flat_map(|seed| draw(seed, false).expect("it").act).collect();
        let who = NodeSelector { kind: Kind::Gatherers, from: 0.0, share: 0.5, zone: None };
        let stop = ScheduledAction {
            at_ms: 700,
            spread_ms: 0,
            action: Action::Stop { who: who.clone(), for_ms: 3200 },
        };
        let kill = ScheduledAction { at_ms: 900, spread_ms: 0, action: Action::Kill { who } };
        let mut all = acts.clone();
        all.insert(3, stop);
        all.push(kill.clone());
        let mut tries = 0;
        let least = cut_down(all, async |acts: &[ScheduledAction]| {
            tries += 1;
            let stopped = |a: &ScheduledAction| matches!(a.action, Action::Stop { for_ms, .. } if for_ms >= 800 && a.at_ms == 700);
            acts.iter().any(stopped) && acts.contains(&kill)
        });
        let least = least.await;
        assert_eq!(least.len(), 2, "{least:?}");
        assert!(matches!(least[0].action, Action::Stop { for_ms: 800, .. }) && least[1] == kill);
    }
}
