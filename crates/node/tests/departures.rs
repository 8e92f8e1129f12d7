//! Servers that have reported their end, and repeat it. Whole processes in the simulation.

#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;

use std::rc::Rc;
use std::time::Duration;

use ashvane_node::agent::Agent;
use simulation::{Machine, Simulation, ms, run_simulation};
use tokio::time::sleep;

/// Time that the caller of a control node waits for an answer.
const CALL_TIMEOUT: Duration = ms(1000);
/// Time after which only the tombstone of a terminated server is left.
const ENTRY_RETENTION: Duration = ms(610_000);

/// Sends the `DELETE` of a server to a control node. Returns whether it was acknowledged.
async fn deregister(node: &Machine, id: &'static str) -> bool {
    let call = async move |agent: Rc<Agent>| agent.deregister(&id.into()).await;
    node.call(CALL_TIMEOUT, call).await == Some(Ok(()))
}

/// Guards against a repeated `DELETE` that is refused because only the tombstone of its server is left.
#[test]
fn a_deregistration_is_acknowledged_again_after_its_entry_has_expired() {
    run_simulation(async move {
        let simulation = Simulation::new(3, 0, 1);
        let machines = simulation.all_machines();
        sleep(ms(2000)).await;
        assert!(deregister(&machines[0], "i-1").await);
        sleep(ENTRY_RETENTION).await;
        for machine in &machines {
            assert!(deregister(machine, "i-1").await, "{} refuses", machine.name);
        }
    });
}
