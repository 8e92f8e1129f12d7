//! Queries over all shards of an index, where an answer is worth the square of the share that is in.

mod common;

use ashvane::{Idempotency, Outcome, Settings, VerticalSettings};
use common::{Stage, ms, settings, vertical};

/// One server for each of four shards; a partial answer needs this share of them.
fn four(least: f64) -> (Stage, VerticalSettings) {
    let v = VerticalSettings { late_utility: 0.5, ..vertical(1.0, least, 0, Idempotency::Idempotent) };
    let max_calls_per_part = 8;
    let s = settings(vec![v.clone()]);
    let mut stage = Stage::new(Settings {
        cell_count: 4,
        cells_per_shard: 1,
        allow_hedging: true,
        allow_cancel: false,
        max_calls_per_part,
        ..s
    });
    stage.gatherer.set_vertical(0, &v, 2, true);
    (stage, v)
}

const SHARDS: [u32; 4] = [0, 1, 2, 3];

/// Answers given, whole or not.
fn answers(stage: &Stage) -> usize {
    stage.count("answer") + stage.count("short answer")
}

/// Ends what is out: the server of the last shard cannot be reached, the others answer.
fn settle(stage: &mut Stage) {
    for _ in 0..6 {
        stage.pass(ms(10));
        stage.settle_all(|_, c| {
            Some(if c.server == "s3" { Outcome::Unreachable } else { Outcome::Completed })
        });
    }
}

/// Found on a day when all servers of one shard were down: its pace alone predicted each query as late, and
/// nine in ten were turned away though three quarters of the shards were well.
#[test]
fn a_shard_that_is_down_does_not_turn_queries_away() {
    let (mut stage, _) = four(0.6);
    for id in (1000..5000).step_by(100) {
        stage.query(id, 0, &SHARDS);
        settle(&mut stage);
        stage.pass(ms(20));
    }
    // The last ones wait for their last try.
    (0..100).for_each(|_| settle(&mut stage));
    assert_eq!((stage.count("reject"), answers(&stage)), (0, 40), "{:?}", stage.log().last());
}

#[test]
fn with_a_shard_lost_what_can_still_come_is_waited_for() {
    let (mut stage, _) = four(0.25);
    stage.query(1000, 0, &SHARDS);
    for _ in 0..30 {
        stage.settle_all(|_, c| (c.server == "s3").then_some(Outcome::Errored));
        stage.pass(ms(20));
    }
    stage.settle_all(|_, c| (c.server == "s0").then_some(Outcome::Completed));
    assert_eq!(answers(&stage), 0, "two more may come: {:?}", stage.log());
    stage.settle_all(|_, _| Some(Outcome::Completed));
    assert_eq!(answers(&stage), 1, "{:?}", stage.log());
}

/// At the target time three quarters, worth 0.56, are better than a late whole, worth 0.5; a half is not.
#[test]
fn a_late_part_is_left_out_where_its_wait_is_worth_less() {
    for (silent, answered) in [(1, 1), (2, 0)] {
        let (mut stage, v) = four(0.25);
        stage.query(1000, 0, &SHARDS);
        stage.settle_all(|_, c| {
            let number: u32 = c.server[1..].parse().ok()?;
            (number >= silent).then_some(Outcome::Completed)
        });
        stage.pass(v.slo.saturating_sub(ms(50)));
        assert_eq!(answers(&stage), 0);
        stage.pass(ms(50));
        assert_eq!(answers(&stage), answered, "{silent} silent: {:?}", stage.log());
    }
}

/// A server that cannot be reached was not sent the query: it takes nothing of the limit on servers.
#[test]
fn a_server_out_of_reach_does_not_use_up_the_tries() {
    let (mut stage, _) = four(1.0);
    stage.query(1000, 0, &[0]);
    for _ in 0..2 {
        stage.settle_all(|_, _| Some(Outcome::Unreachable));
        stage.pass(ms(400));
    }
    assert_eq!((stage.count("reject"), stage.count("call")), (0, 3), "{:?}", stage.log());
    for _ in 0..6 {
        stage.settle_all(|_, _| Some(Outcome::Errored));
        stage.pass(ms(400));
    }
    assert_eq!(stage.count("call"), 4, "two that were sent it: {:?}", stage.log());
}
