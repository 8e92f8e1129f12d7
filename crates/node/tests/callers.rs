//! Answers and their callers: servers that do everything wrong that a server may, in drawn order, behind a whole gateway,
//! and clients that check whose answer they got, whether it is whole, and how often their request ran. Connections are
//! played, time is counted, nothing is waited for.

mod scripted;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use scripted::client::client;
use scripted::{World, ms, play};
use tokio::task::spawn_local;

/// Clients of a day, and what each of them asks for.
const CLIENTS: usize = 16;
const EXCHANGES: usize = 40;
/// Days that are played each time. One shows what most do not: a server that turns the same request away twice, the second
/// time after it came again (4).
const DAYS: [u64; 8] = [0, 1, 2, 3, 4, 10, 23, 111];
/// Of all exchanges, at least this share is answered with success: a gateway that refuses all would break nothing.
const SERVED: f64 = 0.5;

/// One day: what was done how often, by its name.
async fn day(seed: u64) -> Rc<World> {
    let world = World::start(seed).await;
    let clients: Vec<_> =
        (0..CLIENTS).map(|n| spawn_local(client(world.clone(), n, seed, EXCHANGES))).collect();
    // On every second day the gateway is told to end meanwhile.
    if seed % 2 == 1 {
        let mut rng = fastrand::Rng::with_seed(seed);
        world.leave(ms(rng.u64(..1500)), ms(rng.u64(..400))).await;
    }
    for client in clients {
        client.await.expect("a client does not panic");
    }
    world.check_at_the_end().await;
    world
}

/// What is broken on some of these days: how often, and where for the first time.
type Broken = BTreeMap<String, (u32, String)>;

fn hunt(seeds: impl Iterator<Item = u64>) -> (Broken, scripted::Counts) {
    let (mut broken, mut counts) = (Broken::new(), scripted::Counts::new());
    let mut note = |seed: u64, wrong: &str| {
        let (kind, example) = wrong.split_once(": ").unwrap_or((wrong, ""));
        let first = || (0, format!("seed {seed}: {example}"));
        broken.entry(kind.to_owned()).or_insert_with(first).0 += 1;
    };
    for seed in seeds {
        match catch_unwind(AssertUnwindSafe(|| play(day(seed)))) {
            Ok(world) => {
                let ledger = world.ledger.borrow();
                ledger.wrongs.iter().for_each(|wrong| note(seed, wrong));
                for (name, count) in &ledger.counts {
                    *counts.entry(*name).or_default() += count;
                }
            }
            Err(why) => {
                let why = why.downcast_ref::<String>().cloned().unwrap_or_else(|| "a panic".to_owned());
                note(seed, &format!("PANIC: {why}"));
            }
        }
    }
    (broken, counts)
}

/// By hand: `CALLERS_FROM=0 CALLERS_DAYS=1000 cargo test --release -p ashvane-node --test callers -- --nocapture`.
#[test]
fn every_answer_is_its_callers_and_nothing_runs_twice() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let (broken, counts) = match number("CALLERS_DAYS") {
        Some(days) => hunt((0..days).map(|n| n + number("CALLERS_FROM").unwrap_or(0))),
        None => hunt(DAYS.into_iter()),
    };
    println!("{counts:#?}");
    assert!(broken.is_empty(), "{broken:#?}");
    let missing: Vec<_> = scripted::server::DEEDS.iter().filter(|deed| !counts.contains_key(*deed)).collect();
    assert!(missing.is_empty(), "never played: {missing:?}");
    let (exchanges, served) = (counts["client: asked"], counts["client: served"]);
    assert!(f64::from(served) > f64::from(exchanges) * SERVED, "{served} of {exchanges} were served");
}
