//! Queries over all shards of an index, where an answer's utility is the square of its share of the shards.

mod common;

use ashvane::{Idempotency, Outcome, Settings, VerticalSettings};
use common::{Harness, ms, settings, vertical};

/// Four shards with one server each; a partial answer needs this weight.
fn four_shards(min_weight: f64) -> (Harness, VerticalSettings) {
    let v = VerticalSettings { late_utility: 0.5, ..vertical(1.0, min_weight, 0, Idempotency::Idempotent) };
    let max_calls_per_part = 8;
    let s = settings(vec![v.clone()]);
    let mut harness = Harness::new(Settings {
        cell_count: 4,
        cells_per_shard: 1,
        allow_hedging: true,
        allow_cancel: false,
        max_calls_per_part,
        ..s
    });
    harness.gatherer.set_vertical(0, &v, 2, true);
    (harness, v)
}

/// Shards with one server each, whose weights are exact; a partial answer needs this weight.
fn exact_shards(count: u32, min_weight: f64) -> Harness {
    let v = VerticalSettings { late_utility: 0.5, ..vertical(1.0, min_weight, 0, Idempotency::Idempotent) };
    let mut harness = Harness::new(Settings {
        weight_tolerance: 1e-9,
        cell_count: count,
        cells_per_shard: 1,
        allow_cancel: false,
        ..settings(vec![v.clone()])
    });
    harness.gatherer.set_vertical(0, &v, 2, true);
    harness
}

const SHARDS: [u32; 4] = [0, 1, 2, 3];

/// Number of complete and partial answers.
fn answer_count(harness: &Harness) -> usize {
    harness.count_logged("answer") + harness.count_logged("short answer")
}

/// Ends all calls in flight: the server of the last shard is unreachable, the others answer.
fn end_all_calls(harness: &mut Harness) {
    for _ in 0..6 {
        harness.advance(ms(10));
        harness
            .end_calls(|_, c| Some(if c.server == "s3" { Outcome::Unreachable } else { Outcome::Completed }));
    }
}

/// Guards against a failure seen with all servers of one shard down: its slowdown alone made each query
/// predicted as late, and nine in ten were rejected although three quarters of the shards were healthy.
#[test]
fn a_shard_that_is_down_does_not_get_queries_rejected() {
    let (mut harness, _) = four_shards(0.6);
    for id in (1000..5000).step_by(100) {
        harness.start_query(id, 0, &SHARDS);
        end_all_calls(&mut harness);
        harness.advance(ms(20));
    }
    // The last queries wait for their last attempt.
    (0..100).for_each(|_| end_all_calls(&mut harness));
    assert_eq!(
        (harness.count_logged("reject"), answer_count(&harness)),
        (0, 40),
        "{:?}",
        harness.log().last()
    );
}

#[test]
fn with_one_shard_failing_an_answer_waits_for_the_parts_in_flight() {
    let (mut harness, _) = four_shards(0.25);
    harness.start_query(1000, 0, &SHARDS);
    for _ in 0..30 {
        harness.end_calls(|_, c| (c.server == "s3").then_some(Outcome::Errored));
        harness.advance(ms(20));
    }
    harness.end_calls(|_, c| (c.server == "s0").then_some(Outcome::Completed));
    assert_eq!(answer_count(&harness), 0, "two more parts may still be answered: {:?}", harness.log());
    harness.end_calls(|_, _| Some(Outcome::Completed));
    assert_eq!(answer_count(&harness), 1, "{:?}", harness.log());
}

/// At the SLO time an answer from three quarters of the shards (utility 0.56) is better than a late complete
/// one (0.5), but an answer from half of them is not.
#[test]
fn a_late_part_is_left_out_if_waiting_for_it_lowers_the_utility() {
    for (unresponsive_count, expected) in [(1, 1), (2, 0)] {
        let (mut harness, v) = four_shards(0.25);
        harness.start_query(1000, 0, &SHARDS);
        harness.end_calls(|_, c| {
            let number: u32 = c.server[1..].parse().ok()?;
            (number >= unresponsive_count).then_some(Outcome::Completed)
        });
        harness.advance(v.slo.saturating_sub(ms(50)));
        assert_eq!(answer_count(&harness), 0);
        harness.advance(ms(50));
        assert_eq!(
            answer_count(&harness),
            expected,
            "with {unresponsive_count} servers not answering: {:?}",
            harness.log()
        );
    }
}

/// Guards against a tolerance for rounded weights that lets an answer with one shard too few pass, and against
/// rounding errors of the sums that withhold an answer with just enough shards.
#[test]
fn with_exact_weights_a_query_is_answered_by_just_enough_shards_and_no_fewer() {
    for count in 2..=40 {
        let shards: Vec<u32> = (0..count).collect();
        for required in 1..=count {
            for failing in [count - required, count - required + 1] {
                let mut harness = exact_shards(count, f64::from(required) / f64::from(count));
                harness.start_query(1000, 0, &shards);
                for _ in 0..400 {
                    harness.end_calls(|_, call| {
                        let server: u32 = call.server[1..].parse().ok()?;
                        Some(if server < failing { Outcome::Errored } else { Outcome::Completed })
                    });
                    harness.advance(ms(10));
                }
                let expected = usize::from(failing <= count - required);
                assert_eq!(
                    answer_count(&harness),
                    expected,
                    "{failing} of {count} fail, {required} are needed"
                );
            }
        }
    }
}

/// The limit is on servers that received the part, which an unreachable server did not.
#[test]
fn calls_to_an_unreachable_server_do_not_use_up_the_call_limit() {
    let (mut harness, _) = four_shards(1.0);
    harness.start_query(1000, 0, &[0]);
    for _ in 0..2 {
        harness.end_calls(|_, _| Some(Outcome::Unreachable));
        harness.advance(ms(400));
    }
    assert_eq!((harness.count_logged("reject"), harness.count_logged("call")), (0, 3), "{:?}", harness.log());
    for _ in 0..6 {
        harness.end_calls(|_, _| Some(Outcome::Errored));
        harness.advance(ms(400));
    }
    assert_eq!(harness.count_logged("call"), 4, "two calls that reached a server: {:?}", harness.log());
}
