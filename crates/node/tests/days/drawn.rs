//! Days of one trouble at a time: machines killed, frozen, cut off, wiped, replaced, disks that stall, the whole core
//! killed at once, all without power, while operators race each other and servers come and go.

use super::*;

impl World {
    /// One trouble of the core, or of the others beside it.
    #[expect(clippy::too_many_lines, reason = "not done yet: The rest reads as well")]
    fn trouble(&mut self) {
        let control_nodes = self.simulation.control_nodes();
        let control_node = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        let (all, gateways) = (self.simulation.all_machines(), self.gateways());
        let lasts = self.rng.u64(200..4000);
        let what = self.rng.usize(..14);
        log_line(&format!("TROUBLE {what} at {} for {lasts} ms", control_node.name));
        if what < 11 {
            self.settled = None;
        }
        match what {
            0 => self.down(&control_node, lasts),
            // Its disk is wiped with it.
            1 => {
                control_node.wipe();
                self.down(&control_node, lasts);
            }
            2 => self.replace(&control_node, lasts),
            3 => self.freeze(&control_node, lasts),
            4 => match self.rng.usize(..3) {
                0 => self.cut(Direction::Inbound, vec![control_node], lasts),
                1 => {
                    self.simulation.network.break_connections(&control_node.ip);
                    control_node.healthy_since.set(None);
                    self.after(lasts, Heal::Join(None, vec![control_node]));
                }
                _ => self.cut(Direction::Both, vec![control_node], lasts),
            },
            // Two of the core and half of the others: the smaller side must not decide.
            5 => {
                let far = control_nodes[..2].iter().chain(&gateways[..3]);
                self.cut(Direction::Both, far.cloned().collect(), lasts);
            }
            6 => self.stall(&control_node, lasts),
            // All at once: the core's processes, or the whole system.
            7 => {
                let struck = if self.rng.bool() { control_nodes } else { all };
                let back = self.rng.u64(100..900);
                struck.iter().for_each(|m| self.down(m, back));
            }
            // As many disks as may be lost, while all others lose power.
            8 => {
                let back = self.rng.u64(100..900);
                let mut wiped = control_nodes.clone();
                self.rng.shuffle(&mut wiped);
                wiped.iter().take(self.losses).for_each(|m| m.wipe());
                all.iter().for_each(|m| self.down(m, back));
            }
            9 => self.callers.strike.set(Some(self.rng.bool())),
            // As many as may be lost, not quite at once, each in its own way.
            10 => {
                let mut lost = control_nodes.clone();
                self.rng.shuffle(&mut lost);
                for machine in lost.iter().take(self.losses) {
                    let lasts = self.rng.u64(200..4000);
                    if self.rng.bool() {
                        machine.wipe();
                    }
                    self.down(machine, lasts);
                }
            }
            _ => {
                let gateway = gateways[self.rng.usize(..gateways.len())].clone();
                match self.rng.usize(..3) {
                    0 => self.down(&gateway, lasts),
                    1 => self.freeze(&gateway, lasts),
                    _ => self.cut(Direction::Both, vec![gateway], lasts),
                }
            }
        }
    }

    fn operate(&mut self) {
        self.version += self.rng.u64(1..4);
        match self.rng.usize(..8) {
            0 => self.put_invalid(),
            // Two operators at once, in either order.
            1 | 2 => {
                self.put(self.version + 1);
                self.put(self.version);
                self.version += 1;
            }
            3..6 => self.put(self.version),
            _ => self.server(),
        }
    }
}

pub(crate) async fn simulate_day(seed: u64) {
    let mut world = World::new(seed, false);
    sleep(ms(2000)).await;
    world.version = 1;
    world.put(1);
    let (mut trouble, mut operate) = (Instant::now() + ms(4000), Instant::now() + ms(2000));
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end + CALM {
        sleep(STEP).await;
        world.fall_after_an_acknowledgement();
        world.heal();
        if world.heals.is_empty() && world.settled.is_none() {
            world.settled = Some(Instant::now());
        }
        world.check();
        let now = Instant::now();
        if now > end {
            continue;
        }
        if now >= operate {
            operate = now + ms(world.rng.u64(200..2500));
            world.operate();
        }
        // One loss is to be borne at once: the next comes when the last one has caught up.
        let calm = world.settled.is_some_and(|at| at.elapsed() > CATCH_UP);
        let quiet = world.heals.is_empty() && world.callers.strike.get().is_none();
        if now >= trouble && quiet && calm && now + ms(8000) < end {
            trouble = now + ms(world.rng.u64(0..9000));
            world.trouble();
        }
    }
    world.read_back().await;
}
