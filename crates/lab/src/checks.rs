//! Checks a history against the rules of a rehearsal. All checks are pure functions.
//!
//! A process that was killed, stopped or partitioned is exempt from a rule for that period only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::history::{End, Event, EventKind, History};
use crate::node::Node;
use crate::script::BOOK_VERTICAL;

/// Time after which a draining server may receive no new calls: the grace period of the settings (250 ms)
/// plus slack for a busy machine.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1250);
/// Maximum leaf calls for one part of a query; the rig puts the same value into the gatherers' settings.
pub const MAX_LEAF_CALLS: u32 = 3;
/// Maximum delay between an event and its record in the history.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(100);

/// A violated rule, with the number of violations and a description of the first one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    pub times: usize,
    /// Time and description of the first violation.
    pub first: String,
}

type Span = (Duration, Duration);

/// Periods in which processes ran undisturbed and links had faults.
pub struct UndisturbedPeriods {
    /// Periods in which each process was ready and neither stopped nor told to end.
    running: BTreeMap<Node, Vec<Span>>,
    /// Periods in which a fault was active on a link.
    faulted: BTreeMap<(Node, Node), Vec<Span>>,
}

fn close_last(spans: &mut [Span], at: Duration) {
    if let Some(last) = spans.last_mut()
        && last.1 == Duration::MAX
    {
        last.1 = at;
    }
}

impl UndisturbedPeriods {
    /// Collects the periods from a history.
    pub fn from_history(history: &History) -> UndisturbedPeriods {
        let (mut running, mut faulted) = (BTreeMap::<_, Vec<Span>>::new(), BTreeMap::<_, Vec<Span>>::new());
        // Number of faults that are active on a link at the same time.
        let mut active_faults = BTreeMap::<_, u32>::new();
        for Event { at, kind } in &history.events {
            match *kind {
                // A process counts as running from its first readiness: before that it may not listen yet.
                EventKind::Ready { node } | EventKind::Signalled { node, signal: "CONT" } => {
                    running.entry(node).or_default().push((*at, Duration::MAX));
                }
                EventKind::Signalled { node, .. } | EventKind::Exited { node, .. } => {
                    close_last(running.entry(node).or_default(), *at);
                }
                EventKind::Faulted { from, to } => {
                    let active_count = active_faults.entry((from, to)).or_default();
                    *active_count += 1;
                    if *active_count == 1 {
                        faulted.entry((from, to)).or_default().push((*at, Duration::MAX));
                    }
                }
                EventKind::Mended { from, to } => {
                    let active_count = active_faults.entry((from, to)).or_default();
                    *active_count = active_count.saturating_sub(1);
                    if *active_count == 0 {
                        close_last(faulted.entry((from, to)).or_default(), *at);
                    }
                }
                _ => {}
            }
        }
        UndisturbedPeriods { running, faulted }
    }

    /// Whether a process ran undisturbed for the whole period.
    pub fn was_running(&self, node: Node, from: Duration, to: Duration) -> bool {
        let contains_period = |span: &Span| span.0 <= from && to <= span.1;
        self.running.get(&node).is_some_and(|spans| spans.iter().any(contains_period))
    }

    /// Whether no fault was active on a link during the period, nor within [`MAX_RECORD_DELAY`] before it.
    pub fn was_connected(&self, from: Node, to: Node, since: Duration, until: Duration) -> bool {
        let overlaps = |span: &Span| span.0 <= until && span.1.saturating_add(MAX_RECORD_DELAY) >= since;
        !self.faulted.get(&(from, to)).is_some_and(|spans| spans.iter().any(overlaps))
    }
}

#[derive(Default)]
struct ViolationLog(BTreeMap<&'static str, (usize, String)>);

impl ViolationLog {
    fn record(&mut self, rule: &'static str, at: Duration, describe: impl FnOnce() -> String) {
        let (times, first) = self.0.entry(rule).or_default();
        *times += 1;
        if first.is_empty() {
            *first = format!("{:.3} s: {}", at.as_secs_f64(), describe());
        }
    }
}

/// Checks that every query has exactly one final answer and that a running process loses no accepted query.
fn check_answers(history: &History, periods: &UndisturbedPeriods, violations: &mut ViolationLog) {
    let mut open = BTreeMap::new();
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Asked { query, node, .. } => drop(open.insert(query, (*at, node))),
            EventKind::Ended { query, end, .. } => {
                let Some((asked, node)) = open.remove(&query) else {
                    violations.record("one-final-answer", *at, || format!("q{query} ended again, {end:?}"));
                    continue;
                };
                let connection_lost = matches!(end, End::Closed | End::Lost);
                if connection_lost
                    && periods.was_running(node, asked, *at)
                    && periods.was_connected(Node::Clients, node, asked, *at)
                {
                    violations.record("lost-by-the-living", *at, || format!("q{query} at {node}: {end:?}"));
                }
                if end == End::False {
                    violations.record("false-answer", *at, || format!("q{query} at {node}"));
                }
            }
            _ => {}
        }
    }
    for (query, (at, node)) in open {
        violations.record("one-final-answer", at, || format!("q{query} at {node} never ended"));
    }
}

/// Checks that no part runs more often than allowed and that every answered shard ran at some server.
fn check_part_runs(history: &History, violations: &mut ViolationLog) {
    let mut ran = BTreeMap::<(u64, u16), u32>::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Ran { query, shard, vertical, server, .. } => {
                let times = ran.entry((*query, *shard)).or_default();
                *times += 1;
                if *vertical == BOOK_VERTICAL && *times > 1 {
                    violations.record("effect-twice", *at, || format!("q{query}.{shard}, again at {server}"));
                }
                if *times > MAX_LEAF_CALLS {
                    violations
                        .record("calls-over-budget", *at, || format!("q{query}.{shard}: {times} leaf calls"));
                }
            }
            EventKind::Ended { query, shards, .. } => {
                for shard in shards.iter().filter(|shard| !ran.contains_key(&(*query, **shard))) {
                    violations.record("false-answer", *at, || format!("q{query}.{shard} ran nowhere"));
                }
            }
            _ => {}
        }
    }
}

/// Checks that a gatherer sends no new calls to a server that it knows to be draining.
fn check_drains(history: &History, periods: &UndisturbedPeriods, violations: &mut ViolationLog) {
    let mut announced = BTreeMap::new();
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::ToldDrain { to, server } => {
                let was_received = periods.was_connected(to, Node::List, *at, *at + MAX_RECORD_DELAY);
                if was_received && periods.was_running(to, *at, *at + MAX_RECORD_DELAY) {
                    announced.entry((to, server)).or_insert(*at);
                }
            }
            // A restarted gatherer receives the list again.
            EventKind::Started { node } => announced.retain(|(to, _), _| *to != node),
            EventKind::Ran { server, from, query, shard, .. } => {
                let Some(since) = announced.get(&(from, server)).copied() else { continue };
                let was_reachable =
                    periods.was_connected(from, server, since, *at) && periods.was_running(from, since, *at);
                if *at > since + DRAIN_GRACE && was_reachable {
                    violations
                        .record("drain-kept", *at, || format!("q{query}.{shard} from {from} to {server}"));
                }
            }
            _ => {}
        }
    }
}

/// Checks that no process exits without having been signalled to.
fn check_exits(history: &History, violations: &mut ViolationLog) {
    let mut told_to_end = BTreeSet::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Started { node } => drop(told_to_end.remove(node)),
            EventKind::Signalled { node, signal: "KILL" | "TERM" } => drop(told_to_end.insert(*node)),
            EventKind::Exited { node, status, .. } if !told_to_end.contains(node) => {
                violations.record("crashed", *at, || format!("{node}: {status}"));
            }
            _ => {}
        }
    }
}

/// Checks that each epoch has one owner, that all keepers apply the same log with non-decreasing epochs and
/// increasing versions, and that no process follows an older epoch after a newer one.
fn check_ownership(history: &History, violations: &mut ViolationLog) {
    let mut owns = BTreeMap::<(&str, u64), Node>::new();
    let mut log = BTreeMap::<u64, (u64, Option<u64>)>::new();
    let mut follows = BTreeMap::<(Node, &str), u64>::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Owns { node, duty, epoch } => {
                let first = *owns.entry((duty, *epoch)).or_insert(*node);
                if first != *node {
                    violations.record("two-owners", *at, || format!("{first} and {node}, {duty} {epoch}"));
                }
            }
            EventKind::Agreed { node, place, epoch, wrote, .. } => {
                let first = *log.entry(*place).or_insert((*epoch, *wrote));
                if first != (*epoch, *wrote) {
                    violations.record("keepers-disagree", *at, || format!("{node} at {place} of the log"));
                }
            }
            EventKind::Started { node } => follows.retain(|(of, _), _| of != node),
            EventKind::Follows { node, duty, epoch } => {
                let latest = follows.insert((*node, duty), *epoch).unwrap_or_default();
                if latest > *epoch {
                    violations
                        .record("old-owner-followed", *at, || format!("{node}: {epoch} after {latest}"));
                }
            }
            _ => {}
        }
    }
    let mut latest = (0, 0);
    for (place, (epoch, wrote)) in &log {
        let Some(version) = wrote else { continue };
        if *epoch < latest.0 || *version <= latest.1 {
            violations.record("old-owner-acted", Duration::ZERO, || {
                format!("at {place} of the log, epoch {epoch}")
            });
        }
        latest = (*epoch, *version);
    }
}

/// Returns all rules that a history violates.
pub fn violations(history: &History) -> Vec<Violation> {
    let (periods, mut violations) = (UndisturbedPeriods::from_history(history), ViolationLog::default());
    check_answers(history, &periods, &mut violations);
    check_part_runs(history, &mut violations);
    check_drains(history, &periods, &mut violations);
    check_exits(history, &mut violations);
    check_ownership(history, &mut violations);
    let to_violation = |(rule, (times, first))| Violation { rule, times, first };
    violations.0.into_iter().map(to_violation).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const G: Node = Node::Gatherer(1);
    const S: Node = Node::Server(2);

    fn history(events: Vec<(u64, EventKind)>) -> History {
        let event = |(ms, kind)| Event { at: Duration::from_millis(ms), kind };
        History { events: events.into_iter().map(event).collect(), dropped_count: 0 }
    }

    fn rules(events: Vec<(u64, EventKind)>) -> Vec<&'static str> {
        violations(&history(events)).into_iter().map(|b| b.rule).collect()
    }

    fn asked(query: u64) -> EventKind {
        EventKind::Asked { query, node: G, vertical: BOOK_VERTICAL, retry: false }
    }

    fn ended(query: u64, end: End, shards: &[u16]) -> EventKind {
        EventKind::Ended { query, end, shards: shards.into() }
    }

    fn ran(query: u64, vertical: u8) -> EventKind {
        EventKind::Ran { server: S, from: G, query, shard: 3, vertical }
    }

    fn signalled(signal: &'static str) -> EventKind {
        EventKind::Signalled { node: G, signal }
    }

    fn exited() -> EventKind {
        EventKind::Exited { node: G, well: false, status: "signal: 9".into() }
    }

    #[test]
    fn a_valid_history_violates_no_rule_and_each_invalid_one_violates_its_rule() {
        let start = (0, EventKind::Ready { node: G });
        let good =
            [start.clone(), (10, asked(1)), (20, ran(1, BOOK_VERTICAL)), (30, ended(1, End::Whole, &[3]))];
        assert_eq!(rules(good.to_vec()), [""; 0]);
        let with = |more: &[(u64, EventKind)]| rules([&good[..], more].concat());
        assert_eq!(with(&[(40, ended(1, End::Whole, &[3]))]), ["one-final-answer"]);
        assert_eq!(with(&[(40, asked(2))]), ["one-final-answer"]);
        assert_eq!(with(&[(40, asked(2)), (50, ended(2, End::False, &[]))]), ["false-answer"]);
        assert_eq!(with(&[(40, asked(2)), (50, ended(2, End::Whole, &[4]))]), ["false-answer"]);
        assert_eq!(with(&[(40, asked(2)), (50, ended(2, End::Lost, &[]))]), ["lost-by-the-living"]);
        assert_eq!(with(&[(40, ran(1, BOOK_VERTICAL))]), ["effect-twice"]);
        let near = [
            (40, asked(2)),
            (41, ran(2, 1)),
            (42, ran(2, 1)),
            (43, ran(2, 1)),
            (50, ended(2, End::Whole, &[3])),
        ];
        assert_eq!(with(&near), [""; 0]);
        assert_eq!(with(&[&near[..], &[(60, ran(2, 1))]].concat()), ["calls-over-budget"]);
        assert_eq!(with(&[(40, exited())]), ["crashed"]);
        assert_eq!(with(&[(40, signalled("KILL")), (41, exited())]), [""; 0]);
    }

    #[test]
    fn a_killed_stopped_or_partitioned_process_is_exempt_for_that_time_only() {
        let start = (0, EventKind::Ready { node: G });
        let connection_lost = [(100, asked(1)), (200, ended(1, End::Closed, &[]))];
        let with = |before: &[(u64, EventKind)], between: (u64, EventKind), after: &[(u64, EventKind)]| {
            rules(
                [
                    std::slice::from_ref(&start),
                    before,
                    &connection_lost[..1],
                    &[between],
                    &connection_lost[1..],
                    after,
                ]
                .concat(),
            )
        };
        assert_eq!(with(&[], (150, signalled("KILL")), &[]), [""; 0]);
        let killed = [(50, signalled("KILL")), (60, EventKind::Started { node: G })];
        assert_eq!(
            with(&killed, (250, EventKind::Ready { node: G }), &[]),
            [""; 0],
            "a gatherer that is not ready yet may lose queries"
        );
        assert_eq!(with(&[], (150, signalled("STOP")), &[]), [""; 0]);
        assert_eq!(
            with(
                &[(50, signalled("STOP")), (60, signalled("CONT"))],
                (150, asked(7)),
                &[(250, ended(7, End::Whole, &[]))]
            ),
            ["lost-by-the-living"]
        );
        let fault = EventKind::Faulted { from: Node::Clients, to: G };
        let mended = EventKind::Mended { from: Node::Clients, to: G };
        assert_eq!(with(&[], (150, fault.clone()), &[]), [""; 0]);
        assert_eq!(
            with(
                &[(20, fault.clone()), (25, fault.clone()), (30, mended.clone())],
                (150, mended.clone()),
                &[]
            ),
            [""; 0]
        );
        let before = [(0, fault), (1, mended)];
        let much_later = [(1000, asked(1)), (1200, ended(1, End::Closed, &[]))];
        assert_eq!(
            rules([std::slice::from_ref(&start), &before[..], &much_later[..]].concat()),
            ["lost-by-the-living"]
        );
    }

    #[test]
    fn a_drain_is_enforced_from_its_announcement_unless_the_list_or_the_call_was_delayed() {
        let start = (0, EventKind::Ready { node: G });
        let announced = (100, EventKind::ToldDrain { to: G, server: S });
        let late = 101 + DRAIN_GRACE.as_millis() as u64;
        let good = [(late - 10, asked(1)), (late + 500, ended(1, End::Whole, &[3]))];
        let with = |before: &[(u64, EventKind)], at: u64| {
            rules(
                [
                    std::slice::from_ref(&start),
                    before,
                    std::slice::from_ref(&announced),
                    &good[..1],
                    &[(at, ran(1, 1))],
                    &good[1..],
                ]
                .concat(),
            )
        };
        assert_eq!(with(&[], late - 5), [""; 0]);
        assert_eq!(with(&[], late), ["drain-kept"]);
        for to in [Node::List, S] {
            assert_eq!(with(&[(50, EventKind::Faulted { from: G, to })], late), [""; 0]);
        }
        assert_eq!(with(&[(50, signalled("STOP"))], late), [""; 0]);
    }

    #[test]
    fn an_epoch_has_one_owner_and_older_epochs_take_no_effect_after_it() {
        let duty = || "roster".to_owned();
        let owns = |node, epoch| EventKind::Owns { node, duty: duty(), epoch };
        let agreed = |keeper, place, epoch, wrote| EventKind::Agreed {
            node: Node::Keeper(keeper),
            place,
            duty: duty(),
            epoch,
            wrote: Some(wrote),
        };
        let follows = |epoch| EventKind::Follows { node: G, duty: duty(), epoch };
        let good = [
            (1, owns(G, 1)),
            (2, agreed(0, 5, 1, 1)),
            (3, agreed(1, 5, 1, 1)),
            (4, follows(1)),
            (5, owns(Node::Gatherer(2), 2)),
            (6, agreed(0, 7, 2, 2)),
            (7, follows(2)),
        ];
        let with = |more: (u64, EventKind)| rules([&good[..], &[more]].concat());
        assert_eq!(rules(good.to_vec()), [""; 0]);
        // A restarted keeper applies its log again.
        assert_eq!(with((9, agreed(0, 5, 1, 1))), [""; 0]);
        assert_eq!(with((9, owns(Node::Gatherer(3), 2))), ["two-owners"]);
        assert_eq!(with((9, agreed(1, 7, 1, 2))), ["keepers-disagree"]);
        assert_eq!(with((9, agreed(1, 8, 1, 3))), ["old-owner-acted"]);
        assert_eq!(with((9, follows(1))), ["old-owner-followed"]);
    }
}
