//! Days with one fault at a time: machines are killed, frozen, partitioned, wiped or replaced, disks stall,
//! and all control nodes or all machines restart at once. Meanwhile operators compete, and servers start and
//! terminate.

use super::*;

impl World {
    /// Injects a random fault of control nodes or gateways.
    #[expect(clippy::too_many_lines, reason = "it is one match with an arm for each fault")]
    fn inject_fault(&mut self) {
        let control_nodes = self.simulation.control_nodes();
        let control_node = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        let (all, gateways) = (self.simulation.all_machines(), self.gateways());
        let duration_ms = self.rng.u64(200..4000);
        let kind = self.rng.usize(..14);
        log_line(&format!("FAULT {kind} at {} for {duration_ms} ms", control_node.name));
        if kind < 11 {
            self.settled_since = None;
        }
        match kind {
            0 => self.stop_for(&control_node, duration_ms),
            // A restart with a wiped disk.
            1 => {
                control_node.wipe();
                self.stop_for(&control_node, duration_ms);
            }
            2 => self.replace(&control_node, duration_ms),
            3 => self.freeze_for(&control_node, duration_ms),
            4 => match self.rng.usize(..3) {
                0 => self.partition_for(Direction::Inbound, vec![control_node], duration_ms),
                1 => {
                    self.simulation.network.break_connections(&control_node.ip);
                    control_node.healthy_since.set(None);
                    self.schedule_recovery(duration_ms, Recovery::Reconnect(None, vec![control_node]));
                }
                _ => self.partition_for(Direction::Both, vec![control_node], duration_ms),
            },
            // Two control nodes and half of the gateways: the smaller side must not decide.
            5 => {
                let machines = control_nodes[..2].iter().chain(&gateways[..3]);
                self.partition_for(Direction::Both, machines.cloned().collect(), duration_ms);
            }
            6 => self.stall_disk_for(&control_node, duration_ms),
            // All control nodes, or all machines, at once.
            7 => {
                let restarted = if self.rng.bool() { control_nodes } else { all };
                let downtime_ms = self.rng.u64(100..900);
                restarted.iter().for_each(|m| self.stop_for(m, downtime_ms));
            }
            // A power failure of all machines, which destroys as many disks as the system must tolerate.
            8 => {
                let downtime_ms = self.rng.u64(100..900);
                let mut wiped = control_nodes.clone();
                self.rng.shuffle(&mut wiped);
                wiped.iter().take(self.max_failures).for_each(|m| m.wipe());
                all.iter().for_each(|m| self.stop_for(m, downtime_ms));
            }
            9 => self.callers.crash_on_acknowledgement.set(Some(self.rng.bool())),
            // As many control nodes as the system must tolerate, each wiped or not, and for different times.
            10 => {
                let mut failed = control_nodes.clone();
                self.rng.shuffle(&mut failed);
                for machine in failed.iter().take(self.max_failures) {
                    let duration_ms = self.rng.u64(200..4000);
                    if self.rng.bool() {
                        machine.wipe();
                    }
                    self.stop_for(machine, duration_ms);
                }
            }
            _ => {
                let gateway = gateways[self.rng.usize(..gateways.len())].clone();
                match self.rng.usize(..3) {
                    0 => self.stop_for(&gateway, duration_ms),
                    1 => self.freeze_for(&gateway, duration_ms),
                    _ => self.partition_for(Direction::Both, vec![gateway], duration_ms),
                }
            }
        }
    }

    /// Takes a random action of an operator, or starts a server.
    fn act_as_operator(&mut self) {
        self.version += self.rng.u64(1..4);
        match self.rng.usize(..8) {
            0 => self.submit_invalid(),
            // Two operators at once; either submission may arrive first.
            1 | 2 => {
                self.submit_version(self.version + 1);
                self.submit_version(self.version);
                self.version += 1;
            }
            3..6 => self.submit_version(self.version),
            _ => self.run_server(),
        }
    }
}

/// Simulates a day. Panics if an invariant does not hold.
pub(crate) async fn simulate_day(seed: u64) {
    let mut world = World::new(seed, false);
    sleep(ms(2000)).await;
    world.version = 1;
    world.submit_version(1);
    let (mut next_fault, mut next_operator_action) = (Instant::now() + ms(4000), Instant::now() + ms(2000));
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end + RECOVERY_TIME {
        sleep(CHECK_INTERVAL).await;
        world.recover_crashed_machines();
        world.run_due_recoveries();
        if world.recoveries.is_empty() && world.settled_since.is_none() {
            world.settled_since = Some(Instant::now());
        }
        world.check_invariants();
        let now = Instant::now();
        if now > end {
            continue;
        }
        if now >= next_operator_action {
            next_operator_action = now + ms(world.rng.u64(200..2500));
            world.act_as_operator();
        }
        // The system tolerates one fault at a time: the next one comes when the control nodes have caught up.
        let has_caught_up = world.settled_since.is_some_and(|at| at.elapsed() > MAX_CATCH_UP_TIME);
        let no_fault_pending =
            world.recoveries.is_empty() && world.callers.crash_on_acknowledgement.get().is_none();
        if now >= next_fault && no_fault_pending && has_caught_up && now + ms(8000) < end {
            next_fault = now + ms(world.rng.u64(0..9000));
            world.inject_fault();
        }
    }
    world.check_final_state().await;
}
