//! The rules, checked on a history: pure functions, each of which tells what broke it. Who was killed, stopped or
//! cut off at the time is excused for just that.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::history::{End, Event, EventKind, History};
use crate::node::Node;
use crate::script::BOOK_VERTICAL;

/// Time after which a server that is told to drain may get nothing new: what the settings grant and the slack of
/// a machine that is busy.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1250);
/// Leaf calls that a part may have: what the settings of a rehearsal say.
pub const MAX_LEAF_CALLS: u32 = 3;
/// How much later than it happened the rig may note something.
const NOTED_LATE: Duration = Duration::from_millis(100);

/// A rule that was broken, how often, and the first time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: &'static str,
    pub times: usize,
    pub first: String,
}

type Span = (Duration, Duration);

/// When things were as they should be.
pub struct Calm {
    /// When each process ran undisturbed.
    running: BTreeMap<Node, Vec<Span>>,
    /// When a fault held between two.
    faulted: BTreeMap<(Node, Node), Vec<Span>>,
}

fn end(spans: &mut [Span], at: Duration) {
    if let Some(last) = spans.last_mut()
        && last.1 == Duration::MAX
    {
        last.1 = at;
    }
}

impl Calm {
    pub fn of(history: &History) -> Calm {
        let (mut running, mut faulted) = (BTreeMap::<_, Vec<Span>>::new(), BTreeMap::<_, Vec<Span>>::new());
        // Faults of one link that hold at the same time.
        let mut depth = BTreeMap::<_, u32>::new();
        for Event { at, kind } in &history.events {
            match *kind {
                // Between its start and its first sign of life nobody knows whether it listens yet.
                EventKind::Ready { node } | EventKind::Signalled { node, signal: "CONT" } => {
                    running.entry(node).or_default().push((*at, Duration::MAX));
                }
                EventKind::Signalled { node, .. } | EventKind::Exited { node, .. } => {
                    end(running.entry(node).or_default(), *at);
                }
                EventKind::Faulted { from, to } => {
                    let deep = depth.entry((from, to)).or_default();
                    *deep += 1;
                    if *deep == 1 {
                        faulted.entry((from, to)).or_default().push((*at, Duration::MAX));
                    }
                }
                EventKind::Mended { from, to } => {
                    let deep = depth.entry((from, to)).or_default();
                    *deep = deep.saturating_sub(1);
                    if *deep == 0 {
                        end(faulted.entry((from, to)).or_default(), *at);
                    }
                }
                _ => {}
            }
        }
        Calm { running, faulted }
    }

    /// Whether a process ran undisturbed all the time.
    pub fn ran(&self, node: Node, from: Duration, to: Duration) -> bool {
        let holds = |span: &Span| span.0 <= from && to <= span.1;
        self.running.get(&node).is_some_and(|spans| spans.iter().any(holds))
    }

    /// Whether no fault held between two at any time in between, nor just before.
    pub fn linked(&self, from: Node, to: Node, since: Duration, until: Duration) -> bool {
        let meets = |span: &Span| span.0 <= until && span.1.saturating_add(NOTED_LATE) >= since;
        !self.faulted.get(&(from, to)).is_some_and(|spans| spans.iter().any(meets))
    }
}

#[derive(Default)]
struct Found(BTreeMap<&'static str, (usize, String)>);

impl Found {
    fn record(&mut self, rule: &'static str, at: Duration, words: impl FnOnce() -> String) {
        let (times, first) = self.0.entry(rule).or_default();
        *times += 1;
        if first.is_empty() {
            *first = format!("{:.3} s: {}", at.as_secs_f64(), words());
        }
    }
}

/// Every query has one final answer, and a process that lives loses none that it accepted.
fn answers(history: &History, calm: &Calm, found: &mut Found) {
    let mut open = BTreeMap::new();
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Asked { query, node, .. } => drop(open.insert(query, (*at, node))),
            EventKind::Ended { query, end, .. } => {
                let Some((asked, node)) = open.remove(&query) else {
                    found.record("one-final-answer", *at, || format!("q{query} ended again, {end:?}"));
                    continue;
                };
                let lost = matches!(end, End::Closed | End::Lost);
                if lost && calm.ran(node, asked, *at) && calm.linked(Node::Clients, node, asked, *at) {
                    found.record("lost-by-the-living", *at, || format!("q{query} at {node}: {end:?}"));
                }
                if end == End::False {
                    found.record("false-answer", *at, || format!("q{query} at {node}"));
                }
            }
            _ => {}
        }
    }
    for (query, (at, node)) in open {
        found.record("one-final-answer", at, || format!("q{query} at {node} never ended"));
    }
}

/// No part of a query runs more often than it may, and no answer has a value that no server gave.
fn runs(history: &History, found: &mut Found) {
    let mut ran = BTreeMap::<(u64, u16), u32>::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Ran { query, shard, vertical, server, .. } => {
                let times = ran.entry((*query, *shard)).or_default();
                *times += 1;
                if *vertical == BOOK_VERTICAL && *times > 1 {
                    found.record("effect-twice", *at, || format!("q{query}.{shard}, again at {server}"));
                }
                if *times > MAX_LEAF_CALLS {
                    found
                        .record("calls-over-budget", *at, || format!("q{query}.{shard}: {times} leaf calls"));
                }
            }
            EventKind::Ended { query, shards, .. } => {
                for shard in shards.iter().filter(|shard| !ran.contains_key(&(*query, **shard))) {
                    found.record("false-answer", *at, || format!("q{query}.{shard} ran nowhere"));
                }
            }
            _ => {}
        }
    }
}

/// A server that drains gets nothing new from who was told so.
fn drains(history: &History, calm: &Calm, found: &mut Found) {
    let mut told = BTreeMap::new();
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::ToldDrain { to, server } => {
                let heard = calm.linked(to, Node::List, *at, *at + NOTED_LATE);
                if heard && calm.ran(to, *at, *at + NOTED_LATE) {
                    told.entry((to, server)).or_insert(*at);
                }
            }
            // Who starts anew is told anew.
            EventKind::Started { node } => told.retain(|(to, _), _| *to != node),
            EventKind::Ran { server, from, query, shard, .. } => {
                let Some(since) = told.get(&(from, server)).copied() else { continue };
                let calmly = calm.linked(from, server, since, *at) && calm.ran(from, since, *at);
                if *at > since + DRAIN_GRACE && calmly {
                    found.record("drain-kept", *at, || format!("q{query}.{shard} from {from} to {server}"));
                }
            }
            _ => {}
        }
    }
}

/// No process ends that was not told to.
fn ends(history: &History, found: &mut Found) {
    let mut told = BTreeSet::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Started { node } => drop(told.remove(node)),
            EventKind::Signalled { node, signal: "KILL" | "TERM" } => drop(told.insert(*node)),
            EventKind::Exited { node, status, .. } if !told.contains(node) => {
                found.record("crashed", *at, || format!("{node}: {status}"));
            }
            _ => {}
        }
    }
}

/// Each epoch has one owner; what owners write takes effect in the order of their epochs, the same at every keeper;
/// and nobody follows an older epoch after a later one.
fn owners(history: &History, found: &mut Found) {
    let mut owns = BTreeMap::<(&str, u64), Node>::new();
    let mut log = BTreeMap::<u64, (u64, Option<u64>)>::new();
    let mut follows = BTreeMap::<(Node, &str), u64>::new();
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Owns { node, duty, epoch } => {
                let first = *owns.entry((duty, *epoch)).or_insert(*node);
                if first != *node {
                    found.record("two-owners", *at, || format!("{first} and {node}, {duty} {epoch}"));
                }
            }
            EventKind::Agreed { node, place, epoch, wrote, .. } => {
                let first = *log.entry(*place).or_insert((*epoch, *wrote));
                if first != (*epoch, *wrote) {
                    found.record("keepers-disagree", *at, || format!("{node} at {place} of the log"));
                }
            }
            EventKind::Started { node } => follows.retain(|(of, _), _| of != node),
            EventKind::Follows { node, duty, epoch } => {
                let latest = follows.insert((*node, duty), *epoch).unwrap_or_default();
                if latest > *epoch {
                    found.record("old-owner-followed", *at, || format!("{node}: {epoch} after {latest}"));
                }
            }
            _ => {}
        }
    }
    let mut latest = (0, 0);
    for (place, (epoch, wrote)) in &log {
        let Some(version) = wrote else { continue };
        if *epoch < latest.0 || *version <= latest.1 {
            found.record("old-owner-acted", Duration::ZERO, || {
                format!("at {place} of the log, epoch {epoch}")
            });
        }
        latest = (*epoch, *version);
    }
}

/// All rules that a history breaks.
pub fn broken(history: &History) -> Vec<Violation> {
    let (calm, mut found) = (Calm::of(history), Found::default());
    answers(history, &calm, &mut found);
    runs(history, &mut found);
    drains(history, &calm, &mut found);
    ends(history, &mut found);
    owners(history, &mut found);
    let broken = |(rule, (times, first))| Violation { rule, times, first };
    found.0.into_iter().map(broken).collect()
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
        broken(&history(events)).into_iter().map(|b| b.rule).collect()
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
    fn a_good_history_breaks_nothing_and_each_bad_one_its_rule() {
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
    fn who_was_killed_stopped_or_cut_off_is_excused_for_that_time_only() {
        let start = (0, EventKind::Ready { node: G });
        let lost = [(100, asked(1)), (200, ended(1, End::Closed, &[]))];
        let with = |before: &[(u64, EventKind)], between: (u64, EventKind), after: &[(u64, EventKind)]| {
            rules([std::slice::from_ref(&start), before, &lost[..1], &[between], &lost[1..], after].concat())
        };
        assert_eq!(with(&[], (150, signalled("KILL")), &[]), [""; 0]);
        let killed = [(50, signalled("KILL")), (60, EventKind::Started { node: G })];
        assert_eq!(
            with(&killed, (250, EventKind::Ready { node: G }), &[]),
            [""; 0],
            "it does not listen yet"
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
    fn a_drain_is_kept_from_when_it_was_told_unless_the_news_or_the_call_was_held() {
        let start = (0, EventKind::Ready { node: G });
        let told = (100, EventKind::ToldDrain { to: G, server: S });
        let late = 101 + DRAIN_GRACE.as_millis() as u64;
        let good = [(late - 10, asked(1)), (late + 500, ended(1, End::Whole, &[3]))];
        let with = |before: &[(u64, EventKind)], at: u64| {
            rules(
                [
                    std::slice::from_ref(&start),
                    before,
                    std::slice::from_ref(&told),
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
    fn an_epoch_has_one_owner_and_nothing_of_an_older_one_counts_after_it() {
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
        // A keeper that starts again applies its log anew.
        assert_eq!(with((9, agreed(0, 5, 1, 1))), [""; 0]);
        assert_eq!(with((9, owns(Node::Gatherer(3), 2))), ["two-owners"]);
        assert_eq!(with((9, agreed(1, 7, 1, 2))), ["keepers-disagree"]);
        assert_eq!(with((9, agreed(1, 8, 1, 3))), ["old-owner-acted"]);
        assert_eq!(with((9, follows(1))), ["old-owner-followed"]);
    }
}
