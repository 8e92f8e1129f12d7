//! Losses, replacements and ends of control nodes, soon after one another: whole processes in the simulation. What was
//! acknowledged is read ever after, each epoch has one membership, and orders are acknowledged in time.

#[allow(dead_code)]
mod simulation;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_node::agent::PutOutcome;
use simulation::{Direction, GRACE_PERIOD, Machine, Simulation, configuration, log_line, ms, run_simulation};
use tokio::time::{Instant, sleep};

/// The users' bounds, as at the small sites.
const ACK: Duration = ms(6000);
const CATCH_UP: Duration = ms(4000);
/// How long a caller waits for an answer.
const PATIENCE: Duration = ms(1000);
/// Time in which a new core has its first members.
const START: Duration = ms(2500);

struct World {
    simulation: Rc<Simulation>,
    version: u64,
    /// The membership of each epoch, as processes know it.
    epochs: BTreeMap<u64, String>,
}

impl World {
    async fn new(control_nodes: usize, losses: usize) -> Self {
        fastrand::seed(7);
        let simulation = Simulation::new(control_nodes, 1, losses);
        let mut world = World { simulation, version: 0, epochs: BTreeMap::new() };
        world.pass(START).await;
        assert_eq!(world.members().len(), control_nodes, "all are members at first");
        world
    }

    fn control(&self, n: usize) -> Rc<Machine> {
        self.simulation.control_nodes()[n].clone()
    }

    /// The addresses of the newest membership that any process knows.
    fn members(&self) -> Vec<String> {
        let newest = self.epochs.values().next_back().cloned().unwrap_or_default();
        newest.split(' ').filter_map(|member| Some(member.split_once('@')?.1.to_owned())).collect()
    }

    fn epoch(&self) -> u64 {
        self.epochs.keys().next_back().copied().unwrap_or(0)
    }

    /// How many of those that run may still be lost; none while not all of them are members.
    fn to_spare(&self) -> Option<usize> {
        let (running, majority) = (self.simulation.control_nodes(), self.members().len() / 2 + 1);
        running.iter().all(|m| self.has_disk(m)).then(|| running.len().saturating_sub(majority))
    }

    /// Whether the disk that a machine has now is a member; one that was wiped is another.
    fn has_disk(&self, machine: &Machine) -> bool {
        let Some(agent) = machine.agent() else { return false };
        let state = agent.status();
        let own = state["nodes"].as_array().expect("nodes").iter().find(|n| n["state"] == "this one");
        let disk = own.and_then(|own| own["disk"].as_str()).expect("its disk").to_owned();
        self.epochs.values().next_back().is_some_and(|newest| newest.contains(&format!("{disk}@")))
    }

    /// The epoch that the first control node has been told by a member that it holds.
    fn reported(&self, machine: &Machine) -> Option<u64> {
        let state = self.control(0).agent()?.status();
        let at = format!("{}:", machine.ip);
        let mut members = state["disks"].as_array()?.iter();
        members.find(|m| m["address"].as_str().is_some_and(|a| a.starts_with(&at)))?["epoch"].as_u64()
    }

    /// Whether a member has this machine's address.
    fn has(&self, machine: &Machine) -> bool {
        self.members().iter().any(|address| address.starts_with(&format!("{}:", machine.ip)))
    }

    /// Time goes by, and what each process knows is looked at.
    async fn pass(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            for agent in self.simulation.all_machines().iter().filter_map(|m| m.agent()) {
                let state = agent.status();
                let epoch = state["duties"][0]["epoch"].as_u64().expect("an epoch");
                let member = |m: &serde_json::Value| {
                    format!("{}@{}", m["disk"].as_str().expect("a disk"), m["address"].as_str().expect("one"))
                };
                let members: Vec<String> =
                    state["disks"].as_array().expect("disks").iter().map(member).collect();
                let members = members.join(" ");
                let known = self.epochs.entry(epoch).or_insert_with(|| members.clone());
                assert_eq!(*known, members, "epoch {epoch} has one membership");
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(ms(50))).await;
        }
    }

    /// An order is sent until some control node acknowledges it; which one did.
    async fn put(&mut self) -> Option<Rc<Machine>> {
        self.version += 1;
        let (began, text) = (Instant::now(), configuration(self.version, 0));
        while began.elapsed() < ACK {
            for at in self.simulation.control_nodes() {
                let text = text.clone();
                let put = async move |agent: Rc<ashvane_node::agent::Agent>| agent.put(text.as_bytes()).await;
                if matches!(at.call(PATIENCE, put).await, Some(PutOutcome::Accepted { version: _ })) {
                    log_line(&format!("HELD {} at {}", self.version, at.name));
                    return Some(at);
                }
            }
            sleep(ms(100)).await;
        }
        None
    }

    async fn put_in_time(&mut self) -> Rc<Machine> {
        let version = self.version + 1;
        self.put().await.unwrap_or_else(|| panic!("{version} is not acknowledged within {ACK:?}"))
    }

    /// Every control node that runs reads what was acknowledged.
    async fn read_back(&mut self) {
        for at in self.simulation.control_nodes().into_iter().filter(|m| m.agent().is_some()) {
            let read = async |agent: Rc<ashvane_node::agent::Agent>| agent.read_newest().await;
            let found = at.call(ACK, read).await.and_then(Result::ok).flatten();
            let found = found.unwrap_or_else(|| panic!("{} cannot read the register", at.name));
            assert_eq!(found.version, self.version, "{} reads what was acknowledged", at.name);
        }
    }

    /// These two don't reach each other.
    fn part(&self, a: &Machine, b: &Machine) {
        self.simulation.network.disconnect(&a.ip, &b.ip);
    }

    /// Its process is gone, and its disk with it.
    fn wipe(&self, machine: &Machine) {
        machine.kill(&self.simulation.network);
        machine.wipe();
    }

    /// The machine is gone for good.
    fn remove(&self, machine: &Machine) {
        machine.kill(&self.simulation.network);
        machine.is_removed.set(true);
    }

    fn start(&self, machine: &Machine) {
        machine.start(&self.simulation.network, false);
    }

    fn add(&self) -> Rc<Machine> {
        let new = self.simulation.add_control_node();
        self.start(&new);
        new
    }
}

/// How members are lost in a row of the table.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Wiped, and back at the same address half a second later.
    Wiped,
    /// Gone for good, and an empty one comes at another address a second later.
    Replaced,
    /// Gone for good, with connections that hang instead of breaking, and an empty one comes at once.
    Silent,
    /// The new one first, a second later the old one is told to end.
    Planned,
}

/// Loses as many members as may be lost at once, and as soon as `catch-up-s` allows as many others, and again. An order
/// is acknowledged right before each loss and right after it.
#[expect(clippy::cognitive_complexity, reason = "not done yet: The rest reads as well")]
async fn lose(many: usize, losses: usize, loss: Loss) {
    let mut world = World::new(many, losses).await;
    let mut longest = ms(0);
    for round in 0..3 {
        world.put_in_time().await;
        // Those that hold the duty go first; later rounds take those that have just come as well.
        let all = world.simulation.control_nodes();
        let first = if round == 1 { all.len() - losses } else { 0 };
        let lost: Vec<_> = all.into_iter().skip(first).take(losses).collect();
        let lost: Vec<_> = lost.iter().collect();
        let mut new = Vec::new();
        match loss {
            Loss::Wiped => {
                lost.iter().for_each(|m| world.wipe(m));
                world.pass(ms(500)).await;
                lost.iter().for_each(|m| world.start(m));
            }
            Loss::Replaced | Loss::Silent => {
                if loss == Loss::Silent {
                    world.simulation.network.partition(Direction::Both, lost.iter().map(|m| m.ip.clone()));
                    lost.iter().for_each(|m| m.is_removed.set(true));
                    lost.iter().for_each(|m| m.freeze(true));
                } else {
                    lost.iter().for_each(|m| world.remove(m));
                }
                if loss == Loss::Replaced {
                    world.pass(ms(1000)).await;
                }
                new.extend(lost.iter().map(|_| world.add()));
            }
            Loss::Planned => {
                new.extend(lost.iter().map(|_| world.add()));
                world.pass(ms(1000)).await;
                for machine in &lost {
                    let took = machine.terminate(&world.simulation.network).await;
                    assert!(took.is_some(), "{} leaves in time", machine.name);
                    machine.is_removed.set(true);
                }
            }
        }
        let back = Instant::now();
        world.put_in_time().await;
        // When the next loss may come, as many may go as at first.
        while world.to_spare().is_none_or(|spare| spare < (many - 1) / 2) {
            assert!(back.elapsed() < CATCH_UP, "{many} {losses} {loss:?} round {round}: {:?}", world.epochs);
            world.pass(ms(50)).await;
        }
        longest = longest.max(back.elapsed());
        world.pass(CATCH_UP.saturating_sub(back.elapsed())).await;
    }
    world.put_in_time().await;
    world.pass(CATCH_UP).await;
    world.read_back().await;
    log_line(&format!("ROW {many} {losses} {loss:?} whole after {} ms at most", longest.as_millis()));
}

/// The rows of the table in the docs: members, losses to bear.
const ROWS: [(usize, usize); 9] = [(3, 1), (5, 1), (5, 2), (6, 1), (6, 2), (7, 1), (7, 2), (9, 1), (9, 2)];

fn lose_in_each_row(loss: Loss) {
    ROWS.into_iter().for_each(|(many, losses)| run_simulation(lose(many, losses, loss)));
}

#[test]
fn as_many_as_may_be_lost_are_wiped_again_as_soon_as_they_may_be() {
    lose_in_each_row(Loss::Wiped);
}

#[test]
fn as_many_as_may_be_lost_are_replaced_again_as_soon_as_they_may_be() {
    lose_in_each_row(Loss::Replaced);
}

#[test]
fn as_many_as_may_be_lost_fall_silent_again_as_soon_as_they_may() {
    lose_in_each_row(Loss::Silent);
}

#[test]
fn as_many_as_may_be_lost_are_replaced_as_planned_again_as_soon_as_they_may_be() {
    lose_in_each_row(Loss::Planned);
}

/// Beyond what may be lost nothing is acknowledged and nothing is read: an old configuration would be worse than none.
#[test]
fn a_minority_says_nothing() {
    run_simulation(async {
        let mut world = World::new(3, 1).await;
        world.put_in_time().await;
        for n in [0, 1] {
            world.wipe(&world.control(n));
            world.start(&world.control(n));
        }
        assert!(world.put().await.is_none());
        world.pass(ms(10_000)).await;
        for at in world.simulation.control_nodes() {
            let read = async |agent: Rc<ashvane_node::agent::Agent>| agent.read_newest().await;
            assert!(!matches!(at.call(ACK, read).await, Some(Ok(_))), "{} reads", at.name);
        }
    });
}

/// The second of these is lost at each moment around the change that the first one's return brings about: before it,
/// during its votes, during the install, after it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Second {
    /// The process that proposes the change ends, and comes back with its disk.
    ProposerKilled,
    /// Its disk is wiped as well.
    ProposerWiped,
    /// The disk that has just come is wiped again.
    NewWiped,
    /// A member that neither proposes nor is new is wiped.
    OtherWiped,
}

/// A core of five of which one was wiped, at the moment at which it is back.
async fn wiped_and_back() -> (World, Rc<Machine>) {
    let mut world = World::new(5, 2).await;
    world.put_in_time().await;
    let wiped = world.control(3);
    world.wipe(&wiped);
    world.pass(ms(500)).await;
    world.start(&wiped);
    (world, wiped)
}

/// How long after a wiped disk is back it is a member.
async fn change_ends_after() -> Duration {
    let (mut world, _) = wiped_and_back().await;
    let (back, epoch) = (Instant::now(), world.epoch());
    while world.epoch() == epoch {
        world.pass(ms(1)).await;
    }
    back.elapsed()
}

async fn lose_around_a_change(second: Second, offset: Duration) {
    let (mut world, wiped) = wiped_and_back().await;
    world.pass(offset).await;
    let lost = match second {
        Second::ProposerKilled | Second::ProposerWiped => world.control(0),
        Second::NewWiped => wiped,
        Second::OtherWiped => world.control(4),
    };
    match second {
        Second::ProposerKilled => lost.kill(&world.simulation.network),
        _ => world.wipe(&lost),
    }
    world.pass(ms(400)).await;
    world.start(&lost);
    world.put_in_time().await;
    world.pass(CATCH_UP).await;
    assert!(world.to_spare().is_some_and(|spare| spare >= 2), "{second:?} {offset:?}: {:?}", world.epochs);
    world.read_back().await;
}

/// How long a change takes here at most, from the first vote to the last install.
const CHANGE: Duration = ms(60);

#[test]
fn a_second_loss_at_each_moment_of_a_change() {
    let end = run_simulation(change_ends_after());
    for second in [Second::ProposerKilled, Second::ProposerWiped, Second::NewWiped, Second::OtherWiped] {
        // From before its begin to a while after its end.
        for n in 0..12 {
            run_simulation(lose_around_a_change(second, (end + ms(n * 7)).saturating_sub(CHANGE)));
        }
    }
}

#[test]
fn a_successor_that_is_lost_is_replaced_again() {
    run_simulation(async {
        let mut world = World::new(5, 1).await;
        for gap in [0, 300, 900, 2000, 5000] {
            world.put_in_time().await;
            world.remove(&world.control(0));
            world.pass(ms(1000)).await;
            let successor = world.add();
            world.pass(ms(gap)).await;
            world.remove(&successor);
            world.pass(ms(1000)).await;
            world.add();
            world.put_in_time().await;
            world.pass(CATCH_UP).await;
            assert!(world.to_spare().is_some_and(|spare| spare >= 2), "{gap}: {:?}", world.epochs);
        }
        world.read_back().await;
    });
}

#[test]
fn a_disk_that_comes_back_after_it_was_replaced_is_no_member_until_it_is_let_in_again() {
    run_simulation(async {
        let mut world = World::new(5, 1).await;
        let old = world.control(1);
        old.kill(&world.simulation.network);
        world.add();
        world.pass(CATCH_UP).await;
        assert!(!world.has(&old) && world.members().len() == 5, "{:?}", world.epochs);
        world.put_in_time().await;
        let epoch = world.epoch();
        world.start(&old);
        world.pass(CATCH_UP).await;
        assert!(world.has(&old) && world.epoch() == epoch + 1, "{:?}", world.epochs);
        world.read_back().await;
    });
}

#[test]
fn restarts_in_turn_change_no_membership_and_take_no_time() {
    run_simulation(async {
        for gap in [200, 1000] {
            let mut world = World::new(5, 1).await;
            let epoch = world.epoch();
            for machine in world.simulation.control_nodes() {
                let took = machine.terminate(&world.simulation.network).await.expect("it ends by itself");
                assert!(took < ms(1000), "{} took {took:?}", machine.name);
                world.pass(ms(gap)).await;
                world.start(&machine);
                world.put_in_time().await;
            }
            world.pass(CATCH_UP).await;
            assert_eq!(world.epoch(), epoch);
            world.read_back().await;
        }
    });
}

#[test]
fn a_planned_replacement_leaves_before_it_ends() {
    run_simulation(async {
        let mut world = World::new(5, 1).await;
        for _ in 0..5 {
            let old = world.control(0);
            world.put_in_time().await;
            world.add();
            world.pass(ms(1500)).await;
            assert_eq!(world.members().len(), 6, "the new one first");
            let took = old.terminate(&world.simulation.network).await.expect("it leaves within its time");
            old.is_removed.set(true);
            world.pass(ms(0)).await;
            assert!(!world.has(&old) && world.members().len() == 5, "{:?}", world.epochs);
            assert!(took < GRACE_PERIOD / 3, "{took:?}");
        }
        world.put_in_time().await;
        world.read_back().await;
    });
}

/// Two are cut off while an order is decided by the other three; two of these are lost for good, and the last one that
/// knows of the order is told to end, for good, as the two come back that know nothing of it and two new ones start.
#[test]
fn nobody_ends_with_the_only_copy() {
    run_simulation(async {
        let mut world = World::new(5, 2).await;
        let [last, b, c, d, e] = [0, 1, 2, 3, 4].map(|n| world.control(n));
        world.put_in_time().await;
        world.simulation.network.partition(Direction::Both, [d.ip.clone(), e.ip.clone()]);
        world.pass(ms(500)).await;
        world.put_in_time().await;
        for lost in [&b, &c] {
            world.wipe(lost);
            lost.is_removed.set(true);
        }
        world.simulation.network.heal_all();
        for _ in [&b, &c] {
            world.add();
        }
        let took = last.terminate(&world.simulation.network).await;
        last.is_removed.set(true);
        assert!(took.is_some(), "the two come back within its time");
        world.pass(CATCH_UP).await;
        world.read_back().await;
    });
}

/// Two members don't reach each other, and each takes the other for lost: both propose a membership of their own.
#[test]
fn two_that_propose_at_once_end_with_one_membership() {
    run_simulation(async {
        for wait in 0..8 {
            let mut world = World::new(5, 1).await;
            let (a, b) = (world.control(0), world.control(1));
            world.part(&a, &b);
            world.pass(ms(1000 + wait * 250)).await;
            let new = world.add();
            world.part(&a, &new);
            world.put_in_time().await;
            world.pass(CATCH_UP).await;
            world.put_in_time().await;
            world.simulation.network.heal_all();
            world.pass(CATCH_UP * 2).await;
            assert!(world.to_spare().is_some_and(|spare| spare >= 2), "{wait}: {:?}", world.epochs);
            world.read_back().await;
        }
    });
}

/// A member whose disk holds nothing more is a member that is lost, whatever its process says: it must not keep another
/// one from being replaced.
#[test]
fn a_disk_that_hangs_does_not_keep_another_from_being_replaced() {
    run_simulation(async {
        let mut world = World::new(5, 2).await;
        let hangs = world.control(4);
        hangs.storage.as_ref().expect("a disk").sync_time.set(ms(60_000));
        let first = world.epoch();
        for lost in [world.control(3), world.control(1)] {
            world.remove(&lost);
            world.add();
            world.put_in_time().await;
            world.pass(CATCH_UP * 2).await;
            assert!(!world.has(&lost), "{:?}", world.epochs);
            assert_eq!(world.reported(&hangs), Some(first), "what is not synced is not said");
        }
        hangs.storage.as_ref().expect("a disk").sync_time.set(ms(5));
        world.pass(CATCH_UP * 20).await;
        assert_eq!(world.reported(&hangs), Some(world.epoch()));
        world.read_back().await;
    });
}

/// A member that was cut off during a change is brought into its epoch once it is back, though nobody writes.
#[test]
fn a_member_that_is_behind_is_brought_up_without_a_write() {
    run_simulation(async {
        let mut world = World::new(5, 2).await;
        world.put_in_time().await;
        let (behind, wiped) = (world.control(4), world.control(3));
        // It knows of the order: only the epoch is what it misses.
        world.pass(ms(2000)).await;
        world.simulation.network.partition(Direction::Both, [behind.ip.clone()]);
        world.wipe(&wiped);
        world.start(&wiped);
        world.pass(CATCH_UP).await;
        let epoch = world.epoch();
        assert!(!world.members().is_empty() && world.has_disk(&wiped), "{:?}", world.epochs);
        world.simulation.network.heal_all();
        world.pass(CATCH_UP).await;
        assert_eq!(world.epoch(), epoch, "nothing else changed");
        let safe = behind.storage.as_ref().expect("a disk").synced_state.borrow().clone();
        assert_eq!(safe.replica.expect("a state").membership.epoch, epoch);
    });
}
