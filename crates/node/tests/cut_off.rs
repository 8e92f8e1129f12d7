//! A control node that is cut off from the others for twenty seconds, played with whole processes: what a gateway that
//! starts beside it goes by, what it says of servers and processes that it can't hear, and whose claims count.

#[allow(dead_code)]
mod simulation;

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use serde_json::Value;
use simulation::{Direction, Machine, Simulation, configuration, ms, run_simulation};
use tokio::time::{Instant, sleep};

/// How long a control node is cut off.
const CUT: Duration = ms(20_000);
/// The users' `drain-ms` at the sites where it is shortest.
const DRAIN: Duration = ms(3000);
/// How long a caller waits for an answer.
const PATIENCE: Duration = ms(1000);
const STEP: Duration = ms(50);

async fn put(at: &Machine, version: u64) -> bool {
    let text = configuration(version, 0);
    let put = async move |agent: Rc<Agent>| agent.put(text.as_bytes()).await;
    matches!(at.call(PATIENCE, put).await, Some(PutOutcome::Accepted { version: held }) if held >= version)
}

async fn beat(at: &Machine, id: &str, state: ServerState, seq: u64) -> bool {
    let beat = Heartbeat {
        id: id.to_owned().into(),
        service: "s".to_owned().into(),
        address: format!("10.1.0.{}:8080", id.len()).into(),
        zone: "z0".to_owned().into(),
        capacity: 3,
        state,
        sequence: seq,
    };
    at.call(PATIENCE, async move |agent| agent.record_heartbeat(beat).await).await == Some(Ok(()))
}

fn version(at: &Machine) -> u64 {
    at.agent().and_then(|agent| agent.config()).map_or(0, |config| config.version)
}

fn is_current(at: &Machine) -> bool {
    at.agent().is_some_and(|agent| agent.is_current())
}

fn offers(at: &Machine, id: &str) -> bool {
    at.agent().is_some_and(|agent| agent.is_server_available(&id.into()))
}

/// What a process says of itself: the entries of one part that have this value under this key.
fn entries(at: &Machine, part: &str, key: &str, is: &Value) -> usize {
    let state = at.agent().map(|agent| agent.status()).unwrap_or_default();
    state[part].as_array().map_or(0, |all| all.iter().filter(|entry| entry[key] == *is).count())
}

fn is_linked(at: &Machine, other: &Machine) -> bool {
    let state = at.agent().map(|agent| agent.status()).unwrap_or_default();
    let node = |n: &Value| n["node"] == *other.name && n["state"] == "linked";
    state["nodes"].as_array().is_some_and(|nodes| nodes.iter().any(node))
}

/// The term of the duty of hearing that a process knows, and whether it holds it.
fn hearing(at: &Machine) -> ((u64, u64), bool) {
    let state = at.agent().map(|agent| agent.status()).unwrap_or_default();
    let duty = &state["duties"][1];
    let number = |name: &str| duty[name].as_u64().unwrap_or(0);
    // Terms are ordered by the epoch of the membership first.
    ((number("epoch"), number("term")), duty["held here"] == true)
}

/// Five control nodes and three gateways with version 1 in force.
async fn started() -> Rc<Simulation> {
    let simulation = Simulation::new(5, 3, 1);
    sleep(ms(2000)).await;
    assert!(put(&simulation.all_machines()[1], 1).await);
    sleep(ms(5000)).await;
    assert!(simulation.all_machines()[5..].iter().all(|m| is_current(m) && version(m) == 1));
    simulation
}

fn isolate(simulation: &Simulation, a: &Machine, b: &Machine) {
    simulation.network.block(&a.ip, &b.ip);
    simulation.network.block(&b.ip, &a.ip);
}

fn restart(simulation: &Simulation, machine: &Machine) {
    machine.kill(&simulation.network);
    machine.start(&simulation.network, false);
}

#[test]
fn a_gateway_that_reaches_only_a_control_node_that_is_cut_off_is_not_ready_on_its_word() {
    run_simulation(async {
        let simulation = started().await;
        let (alone, gateway) = (simulation.all_machines()[0].clone(), simulation.all_machines()[5].clone());
        simulation.network.partition(Direction::Both, [alone.ip.clone(), gateway.ip.clone()]);
        sleep(ms(1000)).await;
        assert!(put(&simulation.all_machines()[1], 2).await);
        restart(&simulation, &gateway);
        let began = Instant::now();
        while began.elapsed() < CUT {
            sleep(STEP).await;
            assert!(!is_current(&gateway), "ready with {} after {:?}", version(&gateway), began.elapsed());
        }
        assert_eq!(version(&gateway), 1, "it has heard of the earlier one");
        simulation.network.heal_all();
        sleep(ms(4000)).await;
        assert!(is_current(&gateway) && version(&gateway) == 2);
    });
}

#[test]
fn a_gateway_that_reaches_the_others_as_well_is_ready_at_once_on_theirs() {
    // Before the one that is cut off can know it, and after it has missed all others.
    for before in [ms(1000), ms(8000)] {
        run_simulation(async move {
            let simulation = started().await;
            // The first one, a seed of all machines, is cut off from the other control nodes, and from nobody else.
            let control_nodes = simulation.control_nodes();
            control_nodes[1..].iter().for_each(|other| isolate(&simulation, &control_nodes[0], other));
            sleep(before).await;
            assert!(put(&simulation.all_machines()[1], 2).await);
            assert!(beat(&simulation.all_machines()[1], "i-1", ServerState::Ready, 1).await);
            let gateways = simulation.all_machines().split_off(5);
            gateways.iter().for_each(|gateway| restart(&simulation, gateway));
            let began = Instant::now();
            while !gateways.iter().all(|gateway| is_current(gateway)) {
                sleep(ms(1)).await;
                assert!(began.elapsed() < ms(2500), "no word from those that are in contact");
                for gateway in gateways.iter().filter(|gateway| is_current(gateway)) {
                    assert_eq!(version(gateway), 2, "{} after {:?}", gateway.name, began.elapsed());
                    assert!(offers(gateway, "i-1"), "{} after {:?}", gateway.name, began.elapsed());
                }
            }
            println!("cut off for {before:?}: all three are ready after {:?}", began.elapsed());
        });
    }
}

/// One of those that are in contact stands still at some moment while it starts: what others have named it must have.
#[test]
fn a_gateway_has_the_version_that_it_was_named_before_it_is_ready() {
    run_simulation(async {
        let simulation = started().await;
        let (all, control_nodes) = (simulation.all_machines(), simulation.control_nodes());
        let (alone, gateway) = (&all[0], &all[5]);
        all[1..].iter().filter(|m| m.name != gateway.name).for_each(|m| isolate(&simulation, alone, m));
        sleep(ms(5000)).await;
        let moments = (12..60).step_by(4).flat_map(|moment| (1..5).map(move |at| (moment, at)));
        for (newest, (moment, at)) in (2..).zip(moments) {
            gateway.kill(&simulation.network);
            let still = &control_nodes[at];
            let taker = &control_nodes[1 + at % 4];
            assert!(put(taker, newest).await);
            gateway.start(&simulation.network, false);
            sleep(ms(moment)).await;
            still.freeze(true);
            let began = Instant::now();
            while !is_current(gateway) {
                sleep(ms(1)).await;
                assert!(began.elapsed() < ms(4000));
            }
            assert_eq!(version(gateway), newest, "{} stands still {moment} ms after the start", still.name);
            still.freeze(false);
            sleep(ms(5000)).await;
        }
    });
}

/// A gateway asks all the while; the control node is joined to the others at each moment between two questions.
#[test]
fn who_was_cut_off_speaks_for_a_majority_only_once_it_has_caught_up() {
    for moment in (0..1000).step_by(50) {
        run_simulation(async move {
            let simulation = started().await;
            let all = simulation.all_machines();
            let (back, gateway) = (&all[0], &all[5]);
            let beyond: Vec<_> =
                all.iter().filter(|m| m.name != back.name && m.name != gateway.name).collect();
            assert!(beat(&all[1], "i-1", ServerState::Ready, 1).await);
            sleep(ms(1000)).await;
            for other in &beyond {
                isolate(&simulation, back, other);
                isolate(&simulation, gateway, other);
            }
            sleep(ms(3000)).await;
            assert!(beat(&all[1], "i-1", ServerState::Draining, 2).await);
            restart(&simulation, gateway);
            sleep(ms(2000 + moment)).await;
            assert!(offers(gateway, "i-1"), "it knows what the one that is cut off knows");
            simulation.network.heal_all();
            beyond.iter().for_each(|other| isolate(&simulation, gateway, other));
            let began = Instant::now();
            while !is_current(gateway) {
                sleep(ms(1)).await;
                assert!(began.elapsed() < ms(5000));
            }
            assert!(!offers(gateway, "i-1"), "ready after {:?} with an old list", began.elapsed());
        });
    }
}

#[test]
fn a_gateway_is_fed_by_one_that_is_in_contact() {
    run_simulation(async {
        let simulation = started().await;
        let (all, control_nodes) = (simulation.all_machines(), simulation.control_nodes());
        for (n, alone) in control_nodes.iter().enumerate() {
            let others: Vec<_> = control_nodes.iter().filter(|m| m.name != alone.name).collect();
            let id = format!("i-{}", "1".repeat(n + 1));
            for seq in 1..4 {
                assert!(beat(others[0], &id, ServerState::Ready, seq).await);
                sleep(ms(1000)).await;
            }
            others.iter().for_each(|other| isolate(&simulation, alone, other));
            // It learns that it is alone, and says so in its next digest.
            for seq in 4..9 {
                assert!(beat(others[0], &id, ServerState::Ready, seq).await);
                sleep(ms(1000)).await;
            }
            assert!(all[5..].iter().all(|m| offers(m, &id)));
            assert!(beat(others[0], &id, ServerState::Draining, 9).await);
            sleep(ms(100)).await;
            let late = all[5..].iter().filter(|m| offers(m, &id)).count();
            assert_eq!(late, 0, "{} is cut off and feeds", alone.name);
            simulation.network.heal_all();
            sleep(ms(6000)).await;
        }
    });
}

/// Each two of the five in turn: some are the ones that the gateway would choose.
#[test]
fn a_gateway_whose_control_nodes_are_all_cut_off_calls_the_others() {
    for (a, b) in (0..5).flat_map(|a| (0..a).map(move |b| (a, b))) {
        run_simulation(async move {
            let simulation = started().await;
            let (gateway, control_nodes) = (simulation.all_machines()[5].clone(), simulation.control_nodes());
            let pair = [control_nodes[a].clone(), control_nodes[b].clone()];
            let others: Vec<_> =
                control_nodes.into_iter().filter(|m| pair.iter().all(|p| p.name != m.name)).collect();
            let part = || {
                pair.iter().for_each(|p| others.iter().for_each(|other| isolate(&simulation, p, other)));
            };
            gateway.set_seed_nodes(&pair);
            restart(&simulation, &gateway);
            sleep(ms(4000)).await;
            part();
            sleep(ms(6000)).await;
            let linked = others.iter().filter(|other| is_linked(&gateway, other)).count();
            assert!(linked > 0, "ready, it goes on with {} and {} alone", pair[0].name, pair[1].name);
            simulation.network.heal_all();
            sleep(ms(6000)).await;
            // It starts before the two can know that they are cut off.
            part();
            assert!(put(&others[0], 2).await);
            restart(&simulation, &gateway);
            let began = Instant::now();
            while !is_current(&gateway) {
                sleep(STEP).await;
                assert!(began.elapsed() < ms(2400), "it asks {} and {} alone", pair[0].name, pair[1].name);
            }
            assert_eq!(version(&gateway), 2);
        });
    }
}

#[test]
fn without_a_majority_for_long_a_gateway_stays_ready_and_a_new_one_goes_by_the_newest_known() {
    run_simulation(async {
        let simulation = started().await;
        let all = simulation.all_machines();
        all[..3].iter().for_each(|control_node| control_node.kill(&simulation.network));
        restart(&simulation, &all[5]);
        // One that stands still meanwhile has not waited.
        let still = all[7].clone();
        restart(&simulation, &still);
        sleep(ms(1000)).await;
        still.freeze(true);
        let began = Instant::now();
        while began.elapsed() < ms(28_000) {
            sleep(STEP).await;
            assert!(is_current(&all[6]), "what was ready stays so");
            assert!(!is_current(&all[5]), "ready after {:?} without a majority", began.elapsed());
        }
        sleep(ms(2000)).await;
        assert!(is_current(&all[5]) && version(&all[5]) == 1);
        still.freeze(false);
        sleep(ms(2000)).await;
        assert!(!is_current(&still));
    });
}

#[test]
fn who_is_cut_off_calls_nobody_silent_or_down_and_acknowledges_no_drain() {
    run_simulation(async {
        let simulation = started().await;
        let alone = simulation.all_machines()[0].clone();
        assert!(beat(&alone, "i-1", ServerState::Ready, 1).await);
        sleep(ms(2000)).await;
        simulation.network.partition(Direction::Both, [alone.ip.clone()]);
        let began = Instant::now();
        assert!(!beat(&alone, "i-333", ServerState::Draining, 1).await, "it can't know yet that it is alone");
        let mut seq = 2;
        while began.elapsed() < CUT {
            // The server goes on beating where it is heard.
            assert!(beat(&simulation.all_machines()[1], "i-1", ServerState::Ready, seq).await);
            seq += 1;
            sleep(ms(1000)).await;
            assert_eq!(entries(&alone, "servers", "silent", &true.into()), 0, "{:?}", began.elapsed());
            assert_eq!(entries(&alone, "nodes", "state", &"down".into()), 0, "{:?}", began.elapsed());
            assert!(simulation.all_machines()[1..].iter().all(|m| offers(m, "i-1")));
            if began.elapsed() > ms(4000) {
                let asked = Instant::now();
                assert!(!beat(&alone, "i-22", ServerState::Draining, seq).await);
                assert!(asked.elapsed() < ms(50), "it knows that it is alone, and says so at once");
            }
        }
        simulation.network.heal_all();
        let healed = Instant::now();
        while healed.elapsed() < ms(10_000) {
            assert!(beat(&simulation.all_machines()[1], "i-1", ServerState::Ready, seq).await);
            seq += 1;
            sleep(ms(500)).await;
            assert!(simulation.all_machines()[1..].iter().all(|m| offers(m, "i-1")));
        }
    });
}

#[test]
fn a_control_node_that_knows_no_membership_acknowledges_no_drain() {
    run_simulation(async {
        let simulation = started().await;
        let wiped = simulation.all_machines()[4].clone();
        simulation.network.partition(Direction::Both, [wiped.ip.clone()]);
        wiped.wipe();
        restart(&simulation, &wiped);
        sleep(ms(1000)).await;
        assert!(!beat(&wiped, "i-1", ServerState::Draining, 1).await);
    });
}

#[test]
fn the_duty_of_hearing_passes_on_and_its_earlier_holder_follows() {
    run_simulation(async {
        let simulation = started().await;
        let all = simulation.all_machines();
        // A server and the control node that hears it are lost together.
        assert!(beat(&all[3], "i-1", ServerState::Ready, 1).await);
        sleep(ms(1000)).await;
        all[3].kill(&simulation.network);
        sleep(ms(25_000)).await;
        assert!(all[5..].iter().all(|m| !offers(m, "i-1")), "nobody says that it is silent");
        let (term, held) = hearing(&all[0]);
        assert!(held && term.1 > 0, "the first one holds the duty");
        all[3].start(&simulation.network, false);
        sleep(ms(5000)).await;
        // The holder is cut off; another server is lost with the control node that hears it.
        assert!(beat(&all[2], "i-22", ServerState::Ready, 1).await);
        simulation.network.partition(Direction::Both, [all[0].ip.clone()]);
        all[2].kill(&simulation.network);
        let began = Instant::now();
        while began.elapsed() < ms(28_000) {
            sleep(STEP).await;
            let holders = all[..5].iter().filter(|m| hearing(m) == (hearing(&all[1]).0, true)).count();
            assert!(holders <= 1, "{holders} hold the duty under one term");
        }
        let (next, held) = hearing(&all[1]);
        assert!(held && next > term, "{next:?} after {term:?}");
        assert!(!hearing(&all[0]).1, "one that is cut off gives it up");
        assert!(all[5..].iter().all(|m| !offers(m, "i-22")));
        simulation.network.heal_all();
        all[2].start(&simulation.network, false);
        sleep(ms(8000)).await;
        // Those that come back are let in again, which begins an epoch, and with it a term, for all.
        let (last, held) = hearing(&all[0]);
        assert!(!held && last >= next && last == hearing(&all[1]).0, "the earlier holder follows: {last:?}");
        let known: Vec<_> = all.iter().filter_map(|m| m.agent()).map(|agent| agent.digest()).collect();
        assert!(known.iter().all(|digest| *digest == known[0]), "{known:?}");
    });
}

#[test]
fn the_duty_of_hearing_is_held_only_once_a_majority_has_taken_the_term_in() {
    run_simulation(async {
        let simulation = started().await;
        let all = simulation.all_machines();
        assert!(beat(&all[3], "i-1", ServerState::Ready, 1).await);
        sleep(ms(1000)).await;
        all[3].kill(&simulation.network);
        // Shortly before the duty is taken all others stand still, which the first one can't know yet.
        sleep(ms(17_000)).await;
        let ((_, round), held) = hearing(&all[0]);
        assert!(round == 0 && !held);
        all[1..].iter().for_each(|other| other.freeze(true));
        let began = Instant::now();
        while began.elapsed() < ms(5000) {
            sleep(STEP).await;
            assert!(!hearing(&all[0]).1 && offers(&all[0], "i-1"), "{:?}", began.elapsed());
        }
        assert!(hearing(&all[0]).0.1 > 0, "it has tried");
        all[1..].iter().for_each(|other| other.freeze(false));
        sleep(ms(20_000)).await;
        assert!(all[5..].iter().all(|m| !offers(m, "i-1")));
    });
}

#[test]
fn a_drain_reaches_a_gateway_in_time_whose_feed_stands_still() {
    run_simulation(async {
        let simulation = started().await;
        let all = simulation.all_machines();
        assert!(beat(&all[1], "i-1", ServerState::Ready, 1).await);
        sleep(ms(2000)).await;
        let mut longest = Duration::ZERO;
        for (n, still) in all[..5].iter().enumerate() {
            let id = format!("i-{}", "1".repeat(n + 2));
            let taker = if n == 1 { &all[2] } else { &all[1] };
            assert!(beat(taker, &id, ServerState::Ready, 1).await);
            sleep(ms(4000)).await;
            still.freeze(true);
            assert!(beat(taker, &id, ServerState::Draining, 2).await);
            let acknowledged = Instant::now();
            while all[5..].iter().any(|m| offers(m, &id)) {
                sleep(STEP).await;
                assert!(acknowledged.elapsed() < DRAIN, "{} stands still", still.name);
            }
            longest = longest.max(acknowledged.elapsed());
            still.freeze(false);
            sleep(ms(6000)).await;
        }
        assert!(longest > Duration::ZERO, "one of them feeds a gateway");
        println!("longest from an acknowledged drain to the last gateway: {longest:?}");
    });
}
