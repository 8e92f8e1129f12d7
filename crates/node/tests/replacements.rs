//! Failures, replacements and shutdowns of control nodes in quick succession, with whole processes in the
//! simulation. Acknowledged configurations stay readable, each epoch has one membership, and writes are
//! acknowledged in time.

#[allow(dead_code)]
mod simulation;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_node::agent::PutOutcome;
use simulation::{Direction, GRACE_PERIOD, Machine, Simulation, configuration, log_line, ms, run_simulation};
use tokio::time::{Instant, sleep};

/// The users' limit for the acknowledgement of a configuration at the small sites.
const ACKNOWLEDGEMENT_LIMIT: Duration = ms(6000);
/// The users' `catch-up-s` at the small sites: after a loss, the cluster tolerates the next one within this
/// time.
const RECOVERY_LIMIT: Duration = ms(4000);
/// Time after which the caller of a control node gives up.
const CALL_TIMEOUT: Duration = ms(1000);
/// Time in which a new cluster forms its first membership.
const FORMATION_TIME: Duration = ms(2500);

struct Cluster {
    simulation: Rc<Simulation>,
    version: u64,
    /// The membership of each epoch, as reported by the processes.
    epochs: BTreeMap<u64, String>,
}

impl Cluster {
    async fn new(control_nodes: usize, losses: usize) -> Self {
        fastrand::seed(7);
        let simulation = Simulation::new(control_nodes, 1, losses);
        let mut cluster = Cluster { simulation, version: 0, epochs: BTreeMap::new() };
        cluster.advance(FORMATION_TIME).await;
        assert_eq!(
            cluster.members().len(),
            control_nodes,
            "every control node is a member of the first epoch"
        );
        cluster
    }

    fn control_node(&self, index: usize) -> Rc<Machine> {
        self.simulation.control_nodes()[index].clone()
    }

    /// Addresses of the members of the newest epoch known to any process.
    fn members(&self) -> Vec<String> {
        let newest = self.epochs.values().next_back().cloned().unwrap_or_default();
        newest.split(' ').filter_map(|member| Some(member.split_once('@')?.1.to_owned())).collect()
    }

    fn epoch(&self) -> u64 {
        self.epochs.keys().next_back().copied().unwrap_or(0)
    }

    /// Number of running control nodes that may fail without losing the quorum. None while not all of them
    /// are members.
    fn tolerable_losses(&self) -> Option<usize> {
        let (running, majority) = (self.simulation.control_nodes(), self.members().len() / 2 + 1);
        running.iter().all(|m| self.is_disk_member(m)).then(|| running.len().saturating_sub(majority))
    }

    /// Whether the machine's current disk is a member. A wiped disk counts as a different disk.
    fn is_disk_member(&self, machine: &Machine) -> bool {
        let Some(agent) = machine.agent() else { return false };
        let state = agent.status();
        let own = state["nodes"]
            .as_array()
            .expect("the status lists the nodes")
            .iter()
            .find(|n| n["state"] == "this one");
        let disk =
            own.and_then(|own| own["disk"].as_str()).expect("a control node reports its disk").to_owned();
        self.epochs.values().next_back().is_some_and(|newest| newest.contains(&format!("{disk}@")))
    }

    /// Epoch that a member has reported to the first control node.
    fn reported_epoch(&self, machine: &Machine) -> Option<u64> {
        let state = self.control_node(0).agent()?.status();
        let prefix = format!("{}:", machine.ip);
        let mut members = state["disks"].as_array()?.iter();
        members.find(|m| m["address"].as_str().is_some_and(|address| address.starts_with(&prefix)))?["epoch"]
            .as_u64()
    }

    /// Whether a member has this machine's address.
    fn has_member_at(&self, machine: &Machine) -> bool {
        self.members().iter().any(|address| address.starts_with(&format!("{}:", machine.ip)))
    }

    /// Lets time pass, and checks every 50 ms that all processes agree on the membership of each epoch.
    async fn advance(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            for agent in self.simulation.all_machines().iter().filter_map(|m| m.agent()) {
                let state = agent.status();
                let epoch = state["duties"][0]["epoch"].as_u64().expect("the status has an epoch");
                let member = |m: &serde_json::Value| {
                    format!(
                        "{}@{}",
                        m["disk"].as_str().expect("a member has a disk"),
                        m["address"].as_str().expect("a member has an address")
                    )
                };
                let members: Vec<String> = state["disks"]
                    .as_array()
                    .expect("the status lists the disks")
                    .iter()
                    .map(member)
                    .collect();
                let members = members.join(" ");
                let known = self.epochs.entry(epoch).or_insert_with(|| members.clone());
                assert_eq!(*known, members, "epoch {epoch} has one membership");
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            sleep(remaining.min(ms(50))).await;
        }
    }

    /// Writes the next configuration, trying the control nodes in turn until one acknowledges it. Returns
    /// that control node, or none if the time is up.
    async fn put(&mut self) -> Option<Rc<Machine>> {
        self.version += 1;
        let (began, text) = (Instant::now(), configuration(self.version, 0));
        while began.elapsed() < ACKNOWLEDGEMENT_LIMIT {
            for node in self.simulation.control_nodes() {
                let text = text.clone();
                let put = async move |agent: Rc<ashvane_node::agent::Agent>| agent.put(text.as_bytes()).await;
                if matches!(node.call(CALL_TIMEOUT, put).await, Some(PutOutcome::Accepted { version: _ })) {
                    log_line(&format!("acknowledged version {} at {}", self.version, node.name));
                    return Some(node);
                }
            }
            sleep(ms(100)).await;
        }
        None
    }

    /// Writes the next configuration, and fails the test if it is not acknowledged in time.
    async fn put_in_time(&mut self) -> Rc<Machine> {
        let version = self.version + 1;
        self.put().await.unwrap_or_else(|| {
            panic!("version {version} is not acknowledged within {ACKNOWLEDGEMENT_LIMIT:?}")
        })
    }

    /// Asserts that every running control node reads the newest acknowledged version.
    async fn assert_all_read_newest(&mut self) {
        for node in self.simulation.control_nodes().into_iter().filter(|m| m.agent().is_some()) {
            let read = async |agent: Rc<ashvane_node::agent::Agent>| agent.read_newest().await;
            let found = node.call(ACKNOWLEDGEMENT_LIMIT, read).await.and_then(Result::ok).flatten();
            let found = found.unwrap_or_else(|| panic!("{} fails to read the register", node.name));
            assert_eq!(found.version, self.version, "{} reads the newest acknowledged version", node.name);
        }
    }

    /// Cuts the connection between two machines in both directions.
    fn disconnect(&self, a: &Machine, b: &Machine) {
        self.simulation.network.disconnect(&a.ip, &b.ip);
    }

    /// Kills the process of a machine and erases its disk.
    fn wipe(&self, machine: &Machine) {
        machine.kill(&self.simulation.network);
        machine.wipe();
    }

    /// Removes a machine for good.
    fn remove(&self, machine: &Machine) {
        machine.kill(&self.simulation.network);
        machine.is_removed.set(true);
    }

    fn start(&self, machine: &Machine) {
        machine.start(&self.simulation.network, false);
    }

    /// Starts an additional, empty control node.
    fn add(&self) -> Rc<Machine> {
        let new = self.simulation.add_control_node();
        self.start(&new);
        new
    }
}

/// How members are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// Killed with its disk erased, and restarted at the same address half a second later.
    Wiped,
    /// Removed for good; an empty control node starts at another address a second later.
    Replaced,
    /// Removed for good with connections that hang instead of breaking; an empty control node starts at once.
    Silent,
    /// An empty control node starts first; a second later the old one is told to shut down.
    Planned,
}

/// Loses the tolerated number of members at once, and others as soon as `catch-up-s` allows it, in three
/// rounds. A configuration is acknowledged right before and right after each loss.
#[expect(clippy::cognitive_complexity, reason = "one scenario in sequence; not split yet")]
async fn lose_repeatedly(members: usize, losses: usize, loss: Loss) {
    let mut cluster = Cluster::new(members, losses).await;
    let mut max_recovery = ms(0);
    for round in 0..3 {
        cluster.put_in_time().await;
        // The first and third rounds take the longest-serving control nodes, which hold the duties; the
        // second round takes the newest ones.
        let all = cluster.simulation.control_nodes();
        let first = if round == 1 { all.len() - losses } else { 0 };
        let lost: Vec<_> = all.into_iter().skip(first).take(losses).collect();
        let lost: Vec<_> = lost.iter().collect();
        let mut new = Vec::new();
        match loss {
            Loss::Wiped => {
                lost.iter().for_each(|m| cluster.wipe(m));
                cluster.advance(ms(500)).await;
                lost.iter().for_each(|m| cluster.start(m));
            }
            Loss::Replaced | Loss::Silent => {
                if loss == Loss::Silent {
                    cluster.simulation.network.partition(Direction::Both, lost.iter().map(|m| m.ip.clone()));
                    lost.iter().for_each(|m| m.is_removed.set(true));
                    lost.iter().for_each(|m| m.freeze(true));
                } else {
                    lost.iter().for_each(|m| cluster.remove(m));
                }
                if loss == Loss::Replaced {
                    cluster.advance(ms(1000)).await;
                }
                new.extend(lost.iter().map(|_| cluster.add()));
            }
            Loss::Planned => {
                new.extend(lost.iter().map(|_| cluster.add()));
                cluster.advance(ms(1000)).await;
                for machine in &lost {
                    let shutdown_time = machine.terminate(&cluster.simulation.network).await;
                    assert!(shutdown_time.is_some(), "{} shuts down within its grace period", machine.name);
                    machine.is_removed.set(true);
                }
            }
        }
        let restored = Instant::now();
        cluster.put_in_time().await;
        // Before the next loss is due, the cluster must tolerate as many losses as at first.
        while cluster.tolerable_losses().is_none_or(|spare| spare < (members - 1) / 2) {
            assert!(
                restored.elapsed() < RECOVERY_LIMIT,
                "{members} {losses} {loss:?} round {round}: {:?}",
                cluster.epochs
            );
            cluster.advance(ms(50)).await;
        }
        max_recovery = max_recovery.max(restored.elapsed());
        cluster.advance(RECOVERY_LIMIT.saturating_sub(restored.elapsed())).await;
    }
    cluster.put_in_time().await;
    cluster.advance(RECOVERY_LIMIT).await;
    cluster.assert_all_read_newest().await;
    log_line(&format!(
        "ROW {members} {losses} {loss:?} redundancy restored after {} ms at most",
        max_recovery.as_millis()
    ));
}

/// Rows of the table in the documentation: number of members, number of losses to tolerate at once.
const CLUSTER_SIZES: [(usize, usize); 9] =
    [(3, 1), (5, 1), (5, 2), (6, 1), (6, 2), (7, 1), (7, 2), (9, 1), (9, 2)];

fn lose_at_each_size(loss: Loss) {
    CLUSTER_SIZES
        .into_iter()
        .for_each(|(members, losses)| run_simulation(lose_repeatedly(members, losses, loss)));
}

#[test]
fn repeated_loss_of_the_tolerable_number_of_members_by_wiped_disks() {
    lose_at_each_size(Loss::Wiped);
}

#[test]
fn repeated_loss_of_the_tolerable_number_of_members_with_replacement() {
    lose_at_each_size(Loss::Replaced);
}

#[test]
fn repeated_loss_of_the_tolerable_number_of_members_with_hanging_connections() {
    lose_at_each_size(Loss::Silent);
}

#[test]
fn repeated_planned_replacement_of_the_tolerable_number_of_members() {
    lose_at_each_size(Loss::Planned);
}

/// Without a quorum nothing is acknowledged and nothing is read: an old configuration would be worse than
/// none.
#[test]
fn a_minority_neither_acknowledges_nor_reads() {
    run_simulation(async {
        let mut cluster = Cluster::new(3, 1).await;
        cluster.put_in_time().await;
        for index in [0, 1] {
            cluster.wipe(&cluster.control_node(index));
            cluster.start(&cluster.control_node(index));
        }
        assert!(cluster.put().await.is_none());
        cluster.advance(ms(10_000)).await;
        for node in cluster.simulation.control_nodes() {
            let read = async |agent: Rc<ashvane_node::agent::Agent>| agent.read_newest().await;
            assert!(
                !matches!(node.call(ACKNOWLEDGEMENT_LIMIT, read).await, Some(Ok(_))),
                "{} reads without a quorum",
                node.name
            );
        }
    });
}

/// How a second member is lost around the membership change that readmits a wiped one: the loss is injected
/// before the change, during its votes, during the install, and after it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SecondLoss {
    /// The process that proposes the change is killed, and restarts with its disk.
    ProposerKilled,
    /// The process that proposes the change is killed and its disk wiped.
    ProposerWiped,
    /// The disk that is being admitted is wiped again.
    NewWiped,
    /// A member that neither proposes the change nor is admitted by it is wiped.
    OtherWiped,
}

/// Returns a cluster of five at the moment at which a wiped member has restarted, and that member.
async fn restarted_after_wipe() -> (Cluster, Rc<Machine>) {
    let mut cluster = Cluster::new(5, 2).await;
    cluster.put_in_time().await;
    let wiped = cluster.control_node(3);
    cluster.wipe(&wiped);
    cluster.advance(ms(500)).await;
    cluster.start(&wiped);
    (cluster, wiped)
}

/// Time from the restart of a wiped member until its new disk is a member.
async fn membership_change_delay() -> Duration {
    let (mut cluster, _) = restarted_after_wipe().await;
    let (restarted, epoch) = (Instant::now(), cluster.epoch());
    while cluster.epoch() == epoch {
        cluster.advance(ms(1)).await;
    }
    restarted.elapsed()
}

async fn lose_during_membership_change(second_loss: SecondLoss, offset: Duration) {
    let (mut cluster, wiped) = restarted_after_wipe().await;
    cluster.advance(offset).await;
    let lost = match second_loss {
        SecondLoss::ProposerKilled | SecondLoss::ProposerWiped => cluster.control_node(0),
        SecondLoss::NewWiped => wiped,
        SecondLoss::OtherWiped => cluster.control_node(4),
    };
    match second_loss {
        SecondLoss::ProposerKilled => lost.kill(&cluster.simulation.network),
        _ => cluster.wipe(&lost),
    }
    cluster.advance(ms(400)).await;
    cluster.start(&lost);
    cluster.put_in_time().await;
    cluster.advance(RECOVERY_LIMIT).await;
    assert!(
        cluster.tolerable_losses().is_some_and(|spare| spare >= 2),
        "{second_loss:?} {offset:?}: {:?}",
        cluster.epochs
    );
    cluster.assert_all_read_newest().await;
}

/// Longest time that a membership change takes here, from the first vote to the last install.
const MAX_CHANGE_DURATION: Duration = ms(60);

#[test]
fn a_second_loss_at_each_moment_of_a_membership_change() {
    let end = run_simulation(membership_change_delay());
    for second_loss in
        [SecondLoss::ProposerKilled, SecondLoss::ProposerWiped, SecondLoss::NewWiped, SecondLoss::OtherWiped]
    {
        // From before the start of the change to shortly after its end.
        for step in 0..12 {
            run_simulation(lose_during_membership_change(
                second_loss,
                (end + ms(step * 7)).saturating_sub(MAX_CHANGE_DURATION),
            ));
        }
    }
}

#[test]
fn a_failed_replacement_is_replaced_again() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 1).await;
        for gap in [0, 300, 900, 2000, 5000] {
            cluster.put_in_time().await;
            cluster.remove(&cluster.control_node(0));
            cluster.advance(ms(1000)).await;
            let successor = cluster.add();
            cluster.advance(ms(gap)).await;
            cluster.remove(&successor);
            cluster.advance(ms(1000)).await;
            cluster.add();
            cluster.put_in_time().await;
            cluster.advance(RECOVERY_LIMIT).await;
            assert!(
                cluster.tolerable_losses().is_some_and(|spare| spare >= 2),
                "{gap}: {:?}",
                cluster.epochs
            );
        }
        cluster.assert_all_read_newest().await;
    });
}

#[test]
fn a_replaced_disk_that_returns_is_readmitted_by_a_new_epoch() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 1).await;
        let old = cluster.control_node(1);
        old.kill(&cluster.simulation.network);
        cluster.add();
        cluster.advance(RECOVERY_LIMIT).await;
        assert!(!cluster.has_member_at(&old) && cluster.members().len() == 5, "{:?}", cluster.epochs);
        cluster.put_in_time().await;
        let epoch = cluster.epoch();
        cluster.start(&old);
        cluster.advance(RECOVERY_LIMIT).await;
        assert!(cluster.has_member_at(&old) && cluster.epoch() == epoch + 1, "{:?}", cluster.epochs);
        cluster.assert_all_read_newest().await;
    });
}

#[test]
fn rolling_restarts_change_no_membership_and_end_within_a_second() {
    run_simulation(async {
        for gap in [200, 1000] {
            let mut cluster = Cluster::new(5, 1).await;
            let epoch = cluster.epoch();
            for machine in cluster.simulation.control_nodes() {
                let shutdown_time = machine
                    .terminate(&cluster.simulation.network)
                    .await
                    .expect("it shuts down within its grace period");
                assert!(
                    shutdown_time < ms(1000),
                    "{} shuts down within a second: {shutdown_time:?}",
                    machine.name
                );
                cluster.advance(ms(gap)).await;
                cluster.start(&machine);
                cluster.put_in_time().await;
            }
            cluster.advance(RECOVERY_LIMIT).await;
            assert_eq!(cluster.epoch(), epoch);
            cluster.assert_all_read_newest().await;
        }
    });
}

#[test]
fn a_planned_replacement_leaves_the_membership_before_its_process_ends() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 1).await;
        for _ in 0..5 {
            let old = cluster.control_node(0);
            cluster.put_in_time().await;
            cluster.add();
            cluster.advance(ms(1500)).await;
            assert_eq!(cluster.members().len(), 6, "the replacement is a member before the old one leaves");
            let shutdown_time = old
                .terminate(&cluster.simulation.network)
                .await
                .expect("it shuts down within its grace period");
            old.is_removed.set(true);
            cluster.advance(ms(0)).await;
            assert!(!cluster.has_member_at(&old) && cluster.members().len() == 5, "{:?}", cluster.epochs);
            assert!(shutdown_time < GRACE_PERIOD / 3, "shutdown took {shutdown_time:?}");
        }
        cluster.put_in_time().await;
        cluster.assert_all_read_newest().await;
    });
}

/// Two members are cut off while the other three choose a configuration. Two of these three are then lost for
/// good, and the last one is told to shut down while the two members without the configuration reconnect and
/// two empty ones start.
#[test]
fn shutdown_waits_while_the_node_holds_the_only_copy() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 2).await;
        let [last, b, c, d, e] = [0, 1, 2, 3, 4].map(|n| cluster.control_node(n));
        cluster.put_in_time().await;
        cluster.simulation.network.partition(Direction::Both, [d.ip.clone(), e.ip.clone()]);
        cluster.advance(ms(500)).await;
        cluster.put_in_time().await;
        for lost in [&b, &c] {
            cluster.wipe(lost);
            lost.is_removed.set(true);
        }
        cluster.simulation.network.heal_all();
        for _ in [&b, &c] {
            cluster.add();
        }
        let shutdown_time = last.terminate(&cluster.simulation.network).await;
        last.is_removed.set(true);
        assert!(
            shutdown_time.is_some(),
            "it hands the configuration over and shuts down within its grace period"
        );
        cluster.advance(RECOVERY_LIMIT).await;
        cluster.assert_all_read_newest().await;
    });
}

/// Two members can't reach each other and each considers the other failed, so that both propose a membership.
#[test]
fn concurrent_proposals_lead_to_one_membership() {
    run_simulation(async {
        for wait in 0..8 {
            let mut cluster = Cluster::new(5, 1).await;
            let (a, b) = (cluster.control_node(0), cluster.control_node(1));
            cluster.disconnect(&a, &b);
            cluster.advance(ms(1000 + wait * 250)).await;
            let new = cluster.add();
            cluster.disconnect(&a, &new);
            cluster.put_in_time().await;
            cluster.advance(RECOVERY_LIMIT).await;
            cluster.put_in_time().await;
            cluster.simulation.network.heal_all();
            cluster.advance(RECOVERY_LIMIT * 2).await;
            assert!(
                cluster.tolerable_losses().is_some_and(|spare| spare >= 2),
                "{wait}: {:?}",
                cluster.epochs
            );
            cluster.assert_all_read_newest().await;
        }
    });
}

/// A member whose disk no longer stores anything counts as failed, whatever its process reports: it must not
/// block the replacement of another member.
#[test]
fn a_hanging_disk_does_not_block_the_replacement_of_another_member() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 2).await;
        let hanging = cluster.control_node(4);
        hanging.storage.as_ref().expect("a control node has a disk").sync_time.set(ms(60_000));
        let first = cluster.epoch();
        for lost in [cluster.control_node(3), cluster.control_node(1)] {
            cluster.remove(&lost);
            cluster.add();
            cluster.put_in_time().await;
            cluster.advance(RECOVERY_LIMIT * 2).await;
            assert!(!cluster.has_member_at(&lost), "{:?}", cluster.epochs);
            assert_eq!(
                cluster.reported_epoch(&hanging),
                Some(first),
                "a member reports only the epoch that it has synced"
            );
        }
        hanging.storage.as_ref().expect("a control node has a disk").sync_time.set(ms(5));
        cluster.advance(RECOVERY_LIMIT * 20).await;
        assert_eq!(cluster.reported_epoch(&hanging), Some(cluster.epoch()));
        cluster.assert_all_read_newest().await;
    });
}

/// A member that was cut off during a membership change learns the new epoch once it is reachable, without
/// any write.
#[test]
fn a_member_behind_in_epoch_catches_up_without_a_write() {
    run_simulation(async {
        let mut cluster = Cluster::new(5, 2).await;
        cluster.put_in_time().await;
        let (behind, wiped) = (cluster.control_node(4), cluster.control_node(3));
        // It has received the configuration, so that it misses nothing but the epoch.
        cluster.advance(ms(2000)).await;
        cluster.simulation.network.partition(Direction::Both, [behind.ip.clone()]);
        cluster.wipe(&wiped);
        cluster.start(&wiped);
        cluster.advance(RECOVERY_LIMIT).await;
        let epoch = cluster.epoch();
        assert!(!cluster.members().is_empty() && cluster.is_disk_member(&wiped), "{:?}", cluster.epochs);
        cluster.simulation.network.heal_all();
        cluster.advance(RECOVERY_LIMIT).await;
        assert_eq!(cluster.epoch(), epoch, "no further membership change happens");
        let safe = behind.storage.as_ref().expect("a control node has a disk").synced_state.borrow().clone();
        assert_eq!(safe.replica.expect("the disk stores a replica").membership.epoch, epoch);
    });
}
