//! What is measured on a history: pure functions from it to named numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::history::{End, Event, EventKind, History};
use crate::node::Node;

/// Buckets in which calls and dials are counted.
const BUCKET: Duration = Duration::from_millis(100);
/// Windows in which the answered share and the calls to a troubled server are looked at.
const WINDOW: Duration = Duration::from_millis(500);
/// Queries that a window needs to count.
const WINDOW_LEAST: u32 = 10;

/// Every figure that a rehearsal may bound.
pub const NAMES: &[&str] = &[
    "queries",
    "served_share",
    "rejected_share",
    "aborted_share",
    "unanswered_share",
    "rejected_bare",
    "served_after_share",
    "nine_tenths_s",
    "ready",
    "ready_median_s",
    "ready_last_s",
    "list_calls",
    "list_calls_100ms",
    "list_calls_1s",
    "list_calls_first_s",
    "dials",
    "dials_100ms",
    "dials_server_100ms",
    "dials_first_s",
    "dials_to_mean",
    "dials_unused_share",
    "connections_server",
    "leaf_calls",
    "leaf_calls_a_query",
    "full_share",
    "falls",
    "cold_falls",
    "owners",
    "owners_1m",
    "takeover_median_s",
    "takeover_last_s",
    "takeovers",
    "alive_last",
    "keeper_calls_1s",
    "avoided_s",
    "wasted_calls",
    "calls_to_troubled",
    "lag_99_ms",
    "rig_cores",
    "gatherer_cores_most",
    "gatherer_cores_mean",
    "events",
];

pub type Figures = BTreeMap<&'static str, f64>;

/// The most that a bucket, or so many in a row, hold.
fn peak(buckets: &BTreeMap<u64, u32>, in_row: u64) -> f64 {
    let sum = |from: u64| buckets.range(from..from + in_row).map(|(_, n)| n).sum::<u32>();
    f64::from(buckets.keys().map(|at| sum(*at)).max().unwrap_or(0))
}

fn bucket(at: Duration, size: Duration) -> u64 {
    (at.as_nanos() / size.as_nanos()) as u64
}

fn share(some: u32, all: u32) -> f64 {
    f64::from(some) / f64::from(all.max(1))
}

/// How queries ended: shares of all tries, and of all queries with their repeated tries.
fn queries(history: &History, mark: Duration, length: Duration, out: &mut Figures) {
    let (mut first, mut ends) = (0, BTreeMap::<End, u32>::new());
    let (mut asked_at, mut windows) = (BTreeMap::new(), BTreeMap::<u64, (u32, u32)>::new());
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Asked { query, retry, .. } => {
                first += u32::from(!retry);
                asked_at.insert(query, *at);
            }
            EventKind::Ended { query, end, .. } => {
                *ends.entry(end).or_default() += 1;
                let asked = asked_at.get(&query).copied().unwrap_or_default();
                let window = windows.entry(bucket(asked, WINDOW)).or_default();
                window.0 += 1;
                window.1 += u32::from(matches!(end, End::Whole | End::Partial));
            }
            _ => {}
        }
    }
    let of = |kinds: &[End]| kinds.iter().filter_map(|end| ends.get(end)).sum::<u32>();
    let (tries, answered) = (ends.values().sum::<u32>(), of(&[End::Whole, End::Partial]));
    out.insert("queries", f64::from(first));
    out.insert("served_share", share(answered, first));
    out.insert("rejected_share", share(of(&[End::Rejected]), tries));
    out.insert("aborted_share", share(of(&[End::Aborted]), tries));
    out.insert("unanswered_share", share(of(&[End::Closed, End::Lost, End::Unreached]), tries));
    let after: Vec<_> = windows.iter().filter(|(at, _)| **at >= bucket(mark, WINDOW)).collect();
    let (all, well) = after.iter().fold((0, 0), |sum, (_, w)| (sum.0 + w.0, sum.1 + w.1));
    out.insert("served_after_share", share(well, all));
    // The end of the last window in which fewer than nine tenths were answered.
    let bad = |w: &(u32, u32)| w.0 >= WINDOW_LEAST && share(w.1, w.0) < 0.9;
    let last = after.iter().filter(|(_, w)| bad(w)).map(|(at, _)| WINDOW * (**at as u32 + 1)).max();
    let first_seen = windows.iter().find(|(_, w)| w.0 >= WINDOW_LEAST).map(|(at, _)| WINDOW * *at as u32);
    let until = last.or(first_seen.filter(|at| *at > mark)).unwrap_or(mark);
    out.insert("nine_tenths_s", until.min(length).saturating_sub(mark).as_secs_f64());
}

/// Time from each start to readiness.
fn readiness(history: &History, out: &mut Figures) {
    let (mut started, mut took) = (BTreeMap::new(), Vec::new());
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Started { node } => drop(started.insert(node, *at)),
            // Who was ready before the clock began tells nothing.
            EventKind::Ready { node } if !at.is_zero() => {
                took.extend(started.remove(&node).map(|start| (*at - start).as_secs_f64()))
            }
            _ => {}
        }
    }
    took.sort_by(f64::total_cmp);
    out.insert("ready", took.len() as f64);
    out.insert("ready_median_s", took.get(took.len() / 2).copied().unwrap_or_default());
    out.insert("ready_last_s", took.last().copied().unwrap_or_default());
}

/// Calls to the list service and connections to shard servers, by time and by server.
fn calls(history: &History, mark: Duration, out: &mut Figures) {
    let (mut lists, mut dials) = (BTreeMap::new(), BTreeMap::new());
    let mut by_server = BTreeMap::<Node, BTreeMap<u64, u32>>::new();
    let (mut open, mut most_open, mut hung, mut unused) = (BTreeMap::<Node, i64>::new(), 0, 0, 0);
    let (mut lists_first, mut dials_first, mut lists_all, mut dials_all) = (0, 0, 0, 0);
    let first = |at: Duration| u32::from((mark..mark + Duration::from_secs(1)).contains(&at));
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Listed { .. } => {
                *lists.entry(bucket(*at, BUCKET)).or_insert(0) += 1;
                (lists_all, lists_first) = (lists_all + 1, lists_first + first(*at));
            }
            EventKind::Dialled { to: to @ Node::Server(_), .. } => {
                *dials.entry(bucket(*at, BUCKET)).or_insert(0) += 1;
                *by_server.entry(to).or_default().entry(bucket(*at, BUCKET)).or_default() += 1;
                (dials_all, dials_first) = (dials_all + 1, dials_first + first(*at));
                let open = open.entry(to).or_default();
                *open += 1;
                most_open = most_open.max(*open);
            }
            EventKind::Hung { to: to @ Node::Server(_), bytes, .. } => {
                *open.entry(to).or_default() -= 1;
                (hung, unused) = (hung + 1, unused + u32::from(bytes == 0));
            }
            _ => {}
        }
    }
    let sums = || by_server.values().map(|buckets| buckets.values().sum::<u32>());
    let mean = f64::from(sums().sum::<u32>()) / by_server.len().max(1) as f64;
    out.insert("list_calls", f64::from(lists_all));
    out.insert("list_calls_100ms", peak(&lists, 1));
    out.insert("list_calls_1s", peak(&lists, 10));
    out.insert("list_calls_first_s", f64::from(lists_first));
    out.insert("dials", f64::from(dials_all));
    out.insert("dials_100ms", peak(&dials, 1));
    out.insert("dials_first_s", f64::from(dials_first));
    let worst = by_server.values().map(|buckets| peak(buckets, 1)).fold(0.0, f64::max);
    out.insert("dials_server_100ms", worst);
    out.insert("dials_to_mean", f64::from(sums().max().unwrap_or(0)) / mean.max(1.0));
    out.insert("dials_unused_share", share(unused, hung));
    out.insert("connections_server", most_open as f64);
}

/// What shard servers were asked, and how soon the fleet avoids one in trouble.
fn leaf_calls(history: &History, mark: Duration, out: &mut Figures) {
    let (mut ran, mut full, mut falls, mut cold) = (0, 0, 0, 0);
    let (mut troubled, mut over) = (BTreeSet::new(), None);
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Ran { .. } => ran += 1,
            EventKind::Full { .. } => full += 1,
            EventKind::Fell { cold: is_cold, .. } => (falls, cold) = (falls + 1, cold + u32::from(is_cold)),
            EventKind::Troubled { node: node @ Node::Server(_), on: true } => drop(troubled.insert(node)),
            EventKind::Troubled { node: Node::Server(_), on: false } => over = over.or(Some(*at)),
            _ => {}
        }
    }
    let over = over.unwrap_or(Duration::MAX);
    let (mut before, mut after) = ((0, 0), BTreeMap::<u64, (u32, u32)>::new());
    let mut times = Vec::new();
    for Event { at, kind } in &history.events {
        let EventKind::Ran { server, .. } = kind else { continue };
        let hit = u32::from(troubled.contains(server));
        if *at < mark {
            before = (before.0 + 1, before.1 + hit);
        } else if *at < over {
            let window = after.entry(bucket(*at - mark, WINDOW)).or_default();
            *window = (window.0 + 1, window.1 + hit);
            times.extend((hit == 1).then_some(*at - mark));
        }
    }
    out.insert("leaf_calls", f64::from(ran));
    let queries = out.get("queries").copied().unwrap_or(1.0).max(1.0);
    out.insert("leaf_calls_a_query", f64::from(ran) / queries);
    out.insert("full_share", share(full, ran + full));
    out.insert("falls", f64::from(falls));
    out.insert("cold_falls", f64::from(cold));
    if troubled.is_empty() {
        return;
    }
    let usual = share(before.1, before.0);
    let avoids = |w: &(u32, u32)| w.0 >= WINDOW_LEAST && share(w.1, w.0) <= usual * 0.1;
    let avoided = after.iter().find(|(_, w)| avoids(w)).map(|(at, _)| WINDOW * *at as u32);
    let until =
        avoided.unwrap_or(over.min(after.keys().last().map_or(WINDOW, |at| WINDOW * (*at as u32 + 1))));
    out.insert("avoided_s", until.as_secs_f64());
    out.insert("wasted_calls", times.iter().filter(|at| **at < until).count() as f64);
    out.insert("calls_to_troubled", times.len() as f64);
}

/// How soon another owns a duty once its owner is lost: killed, stopped, told to end, or cut from the keepers.
fn owners(history: &History, out: &mut Figures) {
    let (mut owner, mut lost, mut took) = (None, None, Vec::new());
    let (mut by_second, mut calls) = (BTreeMap::<u64, u32>::new(), BTreeMap::<Node, u64>::new());
    let (mut count, mut calls_most, mut alive) = (0, 0, 0);
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Owns { node, .. } => {
                if owner.is_some() && owner != Some(*node) {
                    took.extend(lost.map(|lost: Duration| (*at - lost).as_secs_f64()));
                }
                count += 1;
                *by_second.entry(at.as_secs()).or_default() += 1;
                (owner, lost) = (Some(*node), None);
            }
            EventKind::Signalled { node, signal: "KILL" | "STOP" | "TERM" } if owner == Some(*node) => {
                lost.get_or_insert(*at);
            }
            EventKind::Faulted { from, to: Node::Keeper(_) } if owner == Some(*from) => {
                lost.get_or_insert(*at);
            }
            EventKind::GaveUp { node, .. } if owner == Some(*node) => {
                lost.get_or_insert(*at);
            }
            EventKind::Counts { alive: now, .. } if *now > 0 => alive = *now,
            EventKind::Called { node, calls: now } => {
                let before = calls.insert(*node, *now);
                calls_most = calls_most.max(now.saturating_sub(before.unwrap_or(*now)));
            }
            _ => {}
        }
    }
    if count == 0 {
        return;
    }
    took.sort_by(f64::total_cmp);
    out.insert("owners", f64::from(count));
    out.insert("owners_1m", peak(&by_second, 60));
    out.insert("takeovers", took.len() as f64);
    out.insert("takeover_median_s", took.get(took.len() / 2).copied().unwrap_or_default());
    out.insert("takeover_last_s", took.last().copied().unwrap_or_default());
    out.insert("alive_last", f64::from(alive));
    out.insert("keeper_calls_1s", calls_most as f64);
}

pub fn measure(history: &History, mark: Duration, length: Duration) -> Figures {
    let mut out = Figures::new();
    queries(history, mark, length, &mut out);
    readiness(history, &mut out);
    calls(history, mark, &mut out);
    leaf_calls(history, mark, &mut out);
    owners(history, &mut out);
    out.insert("events", history.events.len() as f64);
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Node = Node::Server(0);
    const T: Node = Node::Server(1);

    fn history(mut events: Vec<(u64, EventKind)>) -> History {
        events.sort_by_key(|(at, _)| *at);
        let event = |(ms, kind)| Event { at: Duration::from_millis(ms), kind };
        History { events: events.into_iter().map(event).collect(), dropped_count: 0 }
    }

    fn measured(events: Vec<(u64, EventKind)>, mark: u64) -> Figures {
        measure(&history(events), Duration::from_millis(mark), Duration::from_secs(20))
    }

    #[test]
    fn peaks_are_by_server_and_by_all_and_the_first_second_is_the_mark_s() {
        let from = Node::Gatherer(0);
        let dial = |at, to| (at, EventKind::Dialled { from, to });
        let list = |at| (at, EventKind::Listed { from, status: 200, revision: 1 });
        let hung = |at, bytes| (at, EventKind::Hung { from, to: S, bytes });
        let events = vec![
            dial(10, S),
            dial(20, S),
            dial(30, T),
            dial(250, S),
            list(20),
            list(90),
            list(1500),
            dial(2100, S),
            hung(300, 0),
            hung(400, 9),
        ];
        let figures = measured(events, 0);
        let is = |name, value| assert_eq!(figures[name], value, "{name}");
        is("dials_100ms", 3.0);
        is("dials_server_100ms", 2.0);
        is("dials", 5.0);
        is("dials_first_s", 4.0);
        is("dials_to_mean", 1.6);
        is("connections_server", 3.0);
        is("dials_unused_share", 0.5);
        is("list_calls_100ms", 2.0);
        is("list_calls_1s", 2.0);
        is("list_calls", 3.0);
    }

    #[test]
    fn nine_tenths_are_answered_once_no_later_window_has_fewer() {
        let mut events = Vec::new();
        for i in 0..200u64 {
            let (at, query) = (i * 50, i);
            let end = if (2000..4200).contains(&at) && i % 2 == 0 { End::Rejected } else { End::Whole };
            events.push((at, EventKind::Asked { query, node: Node::Gatherer(0), vertical: 0, retry: false }));
            events.push((at + 1, EventKind::Ended { query, end, shards: Box::default() }));
        }
        let figures = measured(events, 2000);
        assert_eq!(figures["nine_tenths_s"], 2.5);
        assert_eq!(figures["queries"], 200.0);
        assert!((figures["rejected_share"] - 0.11).abs() < 1e-9);
    }

    #[test]
    fn a_troubled_server_is_avoided_once_a_tenth_of_its_usual_calls_is_left() {
        let ran = |at, server| {
            (at, EventKind::Ran { server, from: Node::Gatherer(0), query: at, shard: 0, vertical: 0 })
        };
        let mut events: Vec<_> = (0..200).map(|i| ran(i * 20, if i % 2 == 0 { S } else { T })).collect();
        // From 4 s on T is in trouble; a second later nearly all calls go elsewhere.
        events.push((4000, EventKind::Troubled { node: T, on: true }));
        events.extend((200..400).map(|i| ran(i * 20, if i % 2 == 0 && i < 250 || i == 399 { T } else { S })));
        let figures = measured(events, 4000);
        assert_eq!(figures["avoided_s"], 1.0);
        assert_eq!(figures["wasted_calls"], 25.0);
        assert_eq!(figures["calls_to_troubled"], 26.0);
    }

    #[test]
    fn a_takeover_counts_from_the_first_thing_that_took_the_owner_away() {
        let owns =
            |at, i, epoch| (at, EventKind::Owns { node: Node::Gatherer(i), duty: "roster".into(), epoch });
        let signal = |at, i, signal| (at, EventKind::Signalled { node: Node::Gatherer(i), signal });
        let cut = EventKind::Faulted { from: Node::Gatherer(2), to: Node::Keeper(1) };
        let events = vec![
            owns(0, 1, 1),
            signal(900, 7, "KILL"),
            signal(1000, 1, "STOP"),
            signal(3000, 1, "CONT"),
            owns(4500, 2, 2),
            (6000, cut.clone()),
            (6001, cut),
            owns(8000, 3, 3),
        ];
        let figures = measured(events, 0);
        assert_eq!((figures["owners"], figures["takeovers"]), (3.0, 2.0));
        assert_eq!((figures["takeover_median_s"], figures["takeover_last_s"]), (3.5, 3.5));
    }
}
