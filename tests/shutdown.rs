//! Queries of a gatherer that shuts down: all end by its answer limit, and only those begin that can.

mod common;

use std::time::Duration;

use ashvane::{Idempotency, Outcome};
use common::{Harness, ms, settings, vertical};

/// Usual latency of the queries of a test.
const USUAL: Duration = ms(50);
/// Longest latency of nearly all queries, as the gatherer estimates it after [`warmed_up`], with its margin.
const NEARLY_ALL: Duration = ms(510);
/// Time until the answer limit, which is less than the deadline of a query.
const UNTIL_LIMIT: Duration = ms(2000);

/// Returns a gatherer that has answered queries of one vertical in the usual time.
fn warmed_up(min_weight: f64, idempotency: Idempotency) -> Harness {
    let mut harness = Harness::new(settings(vec![vertical(1.0, min_weight, 0, idempotency)]));
    for id in (10_000..14_000).step_by(100) {
        harness.start_query(id, 0, &[0, 1]);
        harness.advance(USUAL);
        harness.end_calls(|_, _| Some(Outcome::Completed));
        harness.advance(ms(150));
    }
    harness.model.borrow_mut().log.clear();
    harness
}

/// Sets the answer limit, and lets time pass until this long before it.
fn advance_to_limit(harness: &mut Harness, remaining: Duration) {
    let limit = harness.model.borrow().now + UNTIL_LIMIT;
    harness.gatherer.set_answer_limit(limit);
    harness.advance(UNTIL_LIMIT - remaining);
}

/// Guards against queries that begin so late that the process exits before nearly all of them are answered, and
/// against the rejection of those that can be answered although their deadlines are later than the exit.
#[test]
fn a_query_begins_only_if_nearly_all_of_its_kind_are_answered_before_the_limit() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for (remaining, is_begun) in
            [(UNTIL_LIMIT, true), (NEARLY_ALL, true), (USUAL * 2, false), (ms(1), false)]
        {
            let mut harness = warmed_up(1.0, idempotency);
            advance_to_limit(&mut harness, remaining);
            harness.start_query(100, 0, &[0]);
            assert_eq!(harness.count_logged("call"), usize::from(is_begun), "{idempotency:?} {remaining:?}");
            assert_eq!(
                harness.count_logged("reject"),
                usize::from(!is_begun),
                "{idempotency:?} {remaining:?}"
            );
        }
    }
}

/// A query whose deadline is not later than the limit is not affected by it.
#[test]
fn a_query_whose_deadline_comes_first_begins_at_any_time() {
    let mut harness = warmed_up(1.0, Idempotency::NonIdempotent);
    harness.gatherer.set_answer_limit(harness.model.borrow().now + ms(3000));
    harness.start_query(100, 0, &[0]);
    assert_eq!(harness.count_logged("call"), 1);
}

/// Guards against queries that are still open when the process exits, because their servers stay silent.
#[test]
fn at_the_limit_every_query_ends_with_what_there_is() {
    for (min_weight, idempotency, completed, end) in [
        (0.5, Idempotency::Idempotent, 1, "short answer"),
        (0.5, Idempotency::Idempotent, 0, "reject"),
        (1.0, Idempotency::Idempotent, 1, "reject"),
        (1.0, Idempotency::NonIdempotent, 0, "abort"),
    ] {
        let mut harness = warmed_up(min_weight, idempotency);
        let first = harness.call_count();
        harness.start_query(100, 0, &[0, 1]);
        (first..first + completed).for_each(|call| harness.end_call(call, Outcome::Completed));
        advance_to_limit(&mut harness, ms(100));
        assert!(harness.model.borrow().queries[&100].open, "silence is no reason to end a query sooner");
        harness.advance(ms(100));
        assert_eq!(harness.count_logged(end), 1, "{:?}", harness.log());
    }
}

/// Guards against a call that must not run twice and that begins so late that the exit cuts it: its client may not
/// send the request again, whereas a rejected one can.
#[test]
fn a_rejected_non_idempotent_call_is_repeated_only_if_there_is_time_for_it() {
    for (remaining, is_repeated) in [(NEARLY_ALL, true), (USUAL * 2, false)] {
        let mut harness = warmed_up(1.0, Idempotency::NonIdempotent);
        let call = harness.call_count();
        harness.start_query(100, 0, &[0]);
        advance_to_limit(&mut harness, remaining);
        harness.end_call(call, Outcome::Rejected);
        let expected = if is_repeated { (2, 0) } else { (1, 1) };
        assert_eq!((harness.count_logged("call"), harness.count_logged("reject")), expected, "{remaining:?}");
    }
}

/// Retries and hedges of idempotent parts go on while an answer is likely to come in time, and no longer.
#[test]
fn a_failed_idempotent_call_is_repeated_while_the_usual_latency_fits() {
    for (remaining, is_repeated) in [(USUAL * 2, true), (USUAL / 2, false)] {
        let mut harness = warmed_up(1.0, Idempotency::Idempotent);
        let call = harness.call_count();
        harness.start_query(100, 0, &[0]);
        advance_to_limit(&mut harness, remaining);
        let calls = harness.call_count();
        harness.end_call(call, Outcome::Unreachable);
        assert_eq!(
            harness.call_count() - calls,
            usize::from(is_repeated),
            "{remaining:?}: {:?}",
            harness.log()
        );
    }
}

/// Returns a gatherer whose servers have just been silent for as long as twenty queries waited.
fn after_silence() -> Harness {
    let mut harness = warmed_up(1.0, Idempotency::NonIdempotent);
    for id in (20_000..22_000).step_by(100) {
        harness.start_query(id, 0, &[0]);
    }
    harness.advance(ms(3000));
    harness.end_calls(|_, _| Some(Outcome::TimedOut));
    harness
}

/// Guards against queries that begin in the last moments while no server answers.
#[test]
fn after_silence_queries_need_more_time() {
    let mut harness = after_silence();
    advance_to_limit(&mut harness, NEARLY_ALL);
    harness.start_query(100, 0, &[0]);
    assert!(!harness.model.borrow().queries[&100].open);
}

/// Guards against an estimate that keeps the time of a fault for good.
#[test]
fn soon_after_silence_queries_need_what_they_did_before() {
    let mut harness = after_silence();
    for id in (30_000..330_000).step_by(100) {
        harness.start_query(id, 0, &[0, 1]);
        harness.advance(USUAL);
        harness.end_calls(|_, _| Some(Outcome::Completed));
        harness.advance(ms(50));
    }
    advance_to_limit(&mut harness, NEARLY_ALL);
    harness.start_query(100, 0, &[0]);
    assert!(harness.model.borrow().queries[&100].open);
}
