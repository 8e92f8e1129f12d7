//! Figures of a rehearsal: named numbers computed from its history by pure functions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::history::{End, Event, EventKind, History};
use crate::node::Node;

/// Bucket size for counting list calls and connection attempts.
const BUCKET: Duration = Duration::from_millis(100);
/// Window size for the share of answered queries and for the share of calls that go to misbehaving servers.
const WINDOW: Duration = Duration::from_millis(500);
/// Minimum number of queries or calls in a window; windows with fewer are ignored.
const MIN_WINDOW_COUNT: u32 = 10;

/// Names of the figures for which a rehearsal may set bounds.
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

/// Measured figures by name.
pub type Figures = BTreeMap<&'static str, f64>;

/// Returns the highest sum of `consecutive` consecutive buckets.
fn peak_count(buckets: &BTreeMap<u64, u32>, consecutive: u64) -> f64 {
    let sum = |from: u64| buckets.range(from..from + consecutive).map(|(_, n)| n).sum::<u32>();
    f64::from(buckets.keys().map(|at| sum(*at)).max().unwrap_or(0))
}

/// Returns the index of the bucket or window of length `size` that contains `at`.
fn bucket_index(at: Duration, size: Duration) -> u64 {
    (at.as_nanos() / size.as_nanos()) as u64
}

/// Returns `some` as a share of `all`; an `all` of zero is taken as one.
fn share(some: u32, all: u32) -> f64 {
    f64::from(some) / f64::from(all.max(1))
}

/// Measures how queries ended. `served_share` is relative to queries, with retries counted as part of their
/// query; the rejected, aborted and unanswered shares are relative to attempts.
fn measure_queries(history: &History, mark: Duration, length: Duration, out: &mut Figures) {
    let (mut query_count, mut ends) = (0, BTreeMap::<End, u32>::new());
    let (mut sent_at, mut windows) = (BTreeMap::new(), BTreeMap::<u64, (u32, u32)>::new());
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Asked { query, retry, .. } => {
                query_count += u32::from(!retry);
                sent_at.insert(query, *at);
            }
            EventKind::Ended { query, end, .. } => {
                *ends.entry(end).or_default() += 1;
                let sent = sent_at.get(&query).copied().unwrap_or_default();
                let window = windows.entry(bucket_index(sent, WINDOW)).or_default();
                window.0 += 1;
                window.1 += u32::from(matches!(end, End::Whole | End::Partial));
            }
            _ => {}
        }
    }
    let count_of = |kinds: &[End]| kinds.iter().filter_map(|end| ends.get(end)).sum::<u32>();
    let (attempts, answered) = (ends.values().sum::<u32>(), count_of(&[End::Whole, End::Partial]));
    out.insert("queries", f64::from(query_count));
    out.insert("served_share", share(answered, query_count));
    out.insert("rejected_share", share(count_of(&[End::Rejected]), attempts));
    out.insert("aborted_share", share(count_of(&[End::Aborted]), attempts));
    out.insert("unanswered_share", share(count_of(&[End::Closed, End::Lost, End::Unreached]), attempts));
    let windows_after: Vec<_> = windows.iter().filter(|(at, _)| **at >= bucket_index(mark, WINDOW)).collect();
    let (all, answered_after) = windows_after.iter().fold((0, 0), |sum, (_, w)| (sum.0 + w.0, sum.1 + w.1));
    out.insert("served_after_share", share(answered_after, all));
    // `nine_tenths_s` extends to the end of the last window in which fewer than nine tenths were answered.
    let is_bad = |w: &(u32, u32)| w.0 >= MIN_WINDOW_COUNT && share(w.1, w.0) < 0.9;
    let last_bad =
        windows_after.iter().filter(|(_, w)| is_bad(w)).map(|(at, _)| WINDOW * (**at as u32 + 1)).max();
    let first_window =
        windows.iter().find(|(_, w)| w.0 >= MIN_WINDOW_COUNT).map(|(at, _)| WINDOW * *at as u32);
    // Without such a window it extends to the first window with enough queries, if later than the mark.
    let until = last_bad.or(first_window.filter(|at| *at > mark)).unwrap_or(mark);
    out.insert("nine_tenths_s", until.min(length).saturating_sub(mark).as_secs_f64());
}

/// Measures the time from the start of each process until it is ready.
fn measure_readiness(history: &History, out: &mut Figures) {
    let (mut started, mut durations) = (BTreeMap::new(), Vec::new());
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Started { node } => drop(started.insert(node, *at)),
            // Processes that were ready before the rehearsal's clock started have no start-up time.
            EventKind::Ready { node } if !at.is_zero() => {
                durations.extend(started.remove(&node).map(|start| (*at - start).as_secs_f64()))
            }
            _ => {}
        }
    }
    durations.sort_by(f64::total_cmp);
    out.insert("ready", durations.len() as f64);
    out.insert("ready_median_s", durations.get(durations.len() / 2).copied().unwrap_or_default());
    out.insert("ready_last_s", durations.last().copied().unwrap_or_default());
}

/// Measures calls to the list service and connections to shard servers, by time and by server.
fn measure_calls(history: &History, mark: Duration, out: &mut Figures) {
    let (mut lists, mut dials) = (BTreeMap::new(), BTreeMap::new());
    let mut by_server = BTreeMap::<Node, BTreeMap<u64, u32>>::new();
    let (mut open, mut max_open, mut closed_count, mut unused_count) =
        (BTreeMap::<Node, i64>::new(), 0, 0, 0);
    let (mut list_calls_first_second, mut dials_first_second, mut list_call_count, mut dial_count) =
        (0, 0, 0, 0);
    let in_first_second = |at: Duration| u32::from((mark..mark + Duration::from_secs(1)).contains(&at));
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Listed { .. } => {
                *lists.entry(bucket_index(*at, BUCKET)).or_insert(0) += 1;
                (list_call_count, list_calls_first_second) =
                    (list_call_count + 1, list_calls_first_second + in_first_second(*at));
            }
            EventKind::Dialled { to: to @ Node::Server(_), .. } => {
                *dials.entry(bucket_index(*at, BUCKET)).or_insert(0) += 1;
                *by_server.entry(to).or_default().entry(bucket_index(*at, BUCKET)).or_default() += 1;
                (dial_count, dials_first_second) =
                    (dial_count + 1, dials_first_second + in_first_second(*at));
                let open = open.entry(to).or_default();
                *open += 1;
                max_open = max_open.max(*open);
            }
            EventKind::Hung { to: to @ Node::Server(_), bytes, .. } => {
                *open.entry(to).or_default() -= 1;
                (closed_count, unused_count) = (closed_count + 1, unused_count + u32::from(bytes == 0));
            }
            _ => {}
        }
    }
    let server_totals = || by_server.values().map(|buckets| buckets.values().sum::<u32>());
    let mean = f64::from(server_totals().sum::<u32>()) / by_server.len().max(1) as f64;
    out.insert("list_calls", f64::from(list_call_count));
    out.insert("list_calls_100ms", peak_count(&lists, 1));
    out.insert("list_calls_1s", peak_count(&lists, 10));
    out.insert("list_calls_first_s", f64::from(list_calls_first_second));
    out.insert("dials", f64::from(dial_count));
    out.insert("dials_100ms", peak_count(&dials, 1));
    out.insert("dials_first_s", f64::from(dials_first_second));
    let worst = by_server.values().map(|buckets| peak_count(buckets, 1)).fold(0.0, f64::max);
    out.insert("dials_server_100ms", worst);
    out.insert("dials_to_mean", f64::from(server_totals().max().unwrap_or(0)) / mean.max(1.0));
    out.insert("dials_unused_share", share(unused_count, closed_count));
    out.insert("connections_server", max_open as f64);
}

/// Measures the calls that shard servers ran or rejected, and how soon the fleet avoids misbehaving ones.
fn measure_leaf_calls(history: &History, mark: Duration, out: &mut Figures) {
    let (mut ran_count, mut full_count, mut outage_count, mut cold_outage_count) = (0, 0, 0, 0);
    let (mut faulty, mut recovered_at) = (BTreeSet::new(), None);
    for Event { at, kind } in &history.events {
        match *kind {
            EventKind::Ran { .. } => ran_count += 1,
            EventKind::Full { .. } => full_count += 1,
            EventKind::Fell { cold: is_cold, .. } => {
                (outage_count, cold_outage_count) = (outage_count + 1, cold_outage_count + u32::from(is_cold))
            }
            EventKind::Troubled { node: node @ Node::Server(_), on: true } => drop(faulty.insert(node)),
            EventKind::Troubled { node: Node::Server(_), on: false } => {
                recovered_at = recovered_at.or(Some(*at))
            }
            _ => {}
        }
    }
    let recovered_at = recovered_at.unwrap_or(Duration::MAX);
    let (mut before, mut after) = ((0, 0), BTreeMap::<u64, (u32, u32)>::new());
    let mut times = Vec::new();
    for Event { at, kind } in &history.events {
        let EventKind::Ran { server, .. } = kind else { continue };
        let is_faulty = u32::from(faulty.contains(server));
        if *at < mark {
            before = (before.0 + 1, before.1 + is_faulty);
        } else if *at < recovered_at {
            let window = after.entry(bucket_index(*at - mark, WINDOW)).or_default();
            *window = (window.0 + 1, window.1 + is_faulty);
            times.extend((is_faulty == 1).then_some(*at - mark));
        }
    }
    out.insert("leaf_calls", f64::from(ran_count));
    let query_count = out.get("queries").copied().unwrap_or(1.0).max(1.0);
    out.insert("leaf_calls_a_query", f64::from(ran_count) / query_count);
    out.insert("full_share", share(full_count, ran_count + full_count));
    out.insert("falls", f64::from(outage_count));
    out.insert("cold_falls", f64::from(cold_outage_count));
    if faulty.is_empty() {
        return;
    }
    let usual_share = share(before.1, before.0);
    let is_avoided = |w: &(u32, u32)| w.0 >= MIN_WINDOW_COUNT && share(w.1, w.0) <= usual_share * 0.1;
    let avoided = after.iter().find(|(_, w)| is_avoided(w)).map(|(at, _)| WINDOW * *at as u32);
    let until = avoided
        .unwrap_or(recovered_at.min(after.keys().last().map_or(WINDOW, |at| WINDOW * (*at as u32 + 1))));
    out.insert("avoided_s", until.as_secs_f64());
    out.insert("wasted_calls", times.iter().filter(|at| **at < until).count() as f64);
    out.insert("calls_to_troubled", times.len() as f64);
}

/// Measures how soon another process owns a duty after its owner was killed, stopped or terminated, was cut
/// off from a keeper, or gave the duty up.
fn measure_owners(history: &History, out: &mut Figures) {
    let (mut owner, mut lost_at, mut durations) = (None, None, Vec::new());
    let (mut by_second, mut calls) = (BTreeMap::<u64, u32>::new(), BTreeMap::<Node, u64>::new());
    let (mut count, mut max_calls, mut alive) = (0, 0, 0);
    for Event { at, kind } in &history.events {
        match kind {
            EventKind::Owns { node, .. } => {
                if owner.is_some() && owner != Some(*node) {
                    durations.extend(lost_at.map(|lost_at: Duration| (*at - lost_at).as_secs_f64()));
                }
                count += 1;
                *by_second.entry(at.as_secs()).or_default() += 1;
                (owner, lost_at) = (Some(*node), None);
            }
            EventKind::Signalled { node, signal: "KILL" | "STOP" | "TERM" } if owner == Some(*node) => {
                lost_at.get_or_insert(*at);
            }
            EventKind::Faulted { from, to: Node::Keeper(_) } if owner == Some(*from) => {
                lost_at.get_or_insert(*at);
            }
            EventKind::GaveUp { node, .. } if owner == Some(*node) => {
                lost_at.get_or_insert(*at);
            }
            EventKind::Counts { alive: now, .. } if *now > 0 => alive = *now,
            EventKind::Called { node, calls: now } => {
                let before = calls.insert(*node, *now);
                max_calls = max_calls.max(now.saturating_sub(before.unwrap_or(*now)));
            }
            _ => {}
        }
    }
    if count == 0 {
        return;
    }
    durations.sort_by(f64::total_cmp);
    out.insert("owners", f64::from(count));
    out.insert("owners_1m", peak_count(&by_second, 60));
    out.insert("takeovers", durations.len() as f64);
    out.insert("takeover_median_s", durations.get(durations.len() / 2).copied().unwrap_or_default());
    out.insert("takeover_last_s", durations.last().copied().unwrap_or_default());
    out.insert("alive_last", f64::from(alive));
    out.insert("keeper_calls_1s", max_calls as f64);
}

/// Computes all figures of a history. `mark` is the time from which recovery is measured, `length` that of
/// the run.
pub fn measure(history: &History, mark: Duration, length: Duration) -> Figures {
    let mut out = Figures::new();
    measure_queries(history, mark, length, &mut out);
    measure_readiness(history, &mut out);
    measure_calls(history, mark, &mut out);
    measure_leaf_calls(history, mark, &mut out);
    measure_owners(history, &mut out);
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
    fn peaks_are_per_server_and_overall_and_the_first_second_begins_at_the_mark() {
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
    fn nine_tenths_are_answered_after_the_last_window_with_fewer() {
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
    fn a_misbehaving_server_is_avoided_once_it_gets_at_most_a_tenth_of_its_usual_share_of_calls() {
        let ran = |at, server| {
            (at, EventKind::Ran { server, from: Node::Gatherer(0), query: at, shard: 0, vertical: 0 })
        };
        let mut events: Vec<_> = (0..200).map(|i| ran(i * 20, if i % 2 == 0 { S } else { T })).collect();
        // T misbehaves from 4 s on; one second later nearly all calls go to S.
        events.push((4000, EventKind::Troubled { node: T, on: true }));
        events.extend((200..400).map(|i| ran(i * 20, if i % 2 == 0 && i < 250 || i == 399 { T } else { S })));
        let figures = measured(events, 4000);
        assert_eq!(figures["avoided_s"], 1.0);
        assert_eq!(figures["wasted_calls"], 25.0);
        assert_eq!(figures["calls_to_troubled"], 26.0);
    }

    #[test]
    fn a_takeover_is_measured_from_the_first_fault_that_cut_off_the_owner() {
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
