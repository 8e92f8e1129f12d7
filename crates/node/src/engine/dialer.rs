//! Decides which processes this one connects to, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::{Directory, Node, select_peers};
use ashvane_identifiers::Address;

use super::LinkTable;
use crate::links::ConnectionEnd;

/// Minimum time between two connection attempts to the same address.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Time for which another process is selected in place of one that could not be reached.
const UNREACHABLE_PERIOD: Duration = Duration::from_millis(2500);

/// State of connection attempts. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct Dialer {
    attempted_at: BTreeMap<Address, Duration>,
    /// Addresses with a connection attempt in progress or an open connection that resulted from one.
    in_progress: BTreeSet<Address>,
    unreachable_until: BTreeMap<Address, Duration>,
}

/// Inputs to the selection of addresses, besides the state of attempts.
#[derive(Clone, Copy)]
pub struct DialContext<'a> {
    /// View of the system.
    pub directory: &'a Directory,
    /// Open links.
    pub links: &'a LinkTable,
    /// Number of machines that may fail at the same time.
    pub max_failures: usize,
    /// Internal addresses of the machines in the settings file.
    pub seeds: &'a [Address],
    /// Whether this process has no link to a usable control node.
    pub is_isolated: bool,
}

impl Dialer {
    /// Starts a connection attempt. Returns false if one is in progress or started less than [`REDIAL_DELAY`]
    /// ago. There is at most one attempt per address, so that a process that is slow to answer does not
    /// receive another connection with each tick.
    pub fn begin(&mut self, address: &Address, now: Duration) -> bool {
        let is_too_soon = self.attempted_at.get(address).is_some_and(|at| *at + REDIAL_DELAY > now);
        if is_too_soon || !self.in_progress.insert(address.clone()) {
            return false;
        }
        self.attempted_at.insert(address.clone(), now);
        true
    }

    /// Records that a connection attempt, or the connection that resulted from it, has ended.
    pub fn connection_ended(&mut self, address: &Address, end: ConnectionEnd, now: Duration) {
        self.in_progress.remove(address);
        if end == ConnectionEnd::NeverLinked {
            self.unreachable_until.insert(address.clone(), now + UNREACHABLE_PERIOD);
        }
    }

    /// Records that the process at an address was reached.
    pub fn link_opened(&mut self, address: &Address) {
        self.unreachable_until.remove(address);
    }

    /// Records that a link was closed. The peer may be dialed again at once, since it may have restarted.
    pub fn link_closed(&mut self, address: &Address) {
        self.attempted_at.remove(address);
    }

    /// Discards expired attempts and unreachable addresses.
    pub fn expire(&mut self, now: Duration) {
        self.unreachable_until.retain(|_, until| *until > now);
        self.attempted_at.retain(|_, at| *at + REDIAL_DELAY > now);
    }

    /// Returns the addresses to connect to now.
    #[must_use]
    pub fn addresses_to_dial(&self, context: DialContext<'_>) -> Vec<Address> {
        let directory = context.directory;
        let is_control_node = directory.own_node().disk.is_some();
        let is_reachable =
            |node: &Node| is_control_node || !self.unreachable_until.contains_key(&node.address);
        let is_linked = |node: &Node| context.links.to_node(&node.name).is_some();
        let peers = select_peers(directory.own_node(), directory.nodes(), context.max_failures, is_reachable);
        let missing = peers.into_iter().filter(|node| !is_linked(node));
        let mut addresses: Vec<Address> = missing.map(|node| node.address.clone()).collect();
        if is_control_node {
            // All control nodes dial one that is down. When it comes back, the seeds in its settings may all
            // be gone, so that it cannot find the others itself.
            let is_unlinked_and_down = |node: &&Node| {
                node.is_down
                    && node.disk.is_some()
                    && !self.unreachable_until.contains_key(&node.address)
                    && !is_linked(node)
            };
            addresses.extend(directory.nodes().filter(is_unlinked_and_down).map(|node| node.address.clone()));
        }
        let is_awaiting_admission = is_control_node && directory.membership().epoch == 0;
        if context.is_isolated || is_awaiting_admission {
            addresses.extend(fallback_addresses(context));
        }
        addresses
    }
}

/// Returns the seeds and all known control nodes that are not linked, for a process that has no usable link
/// or knows no membership yet.
fn fallback_addresses(context: DialContext<'_>) -> Vec<Address> {
    let own = &context.directory.own_node().address;
    let is_unlinked = |address: &&Address| *address != own && context.links.to_address(address).is_none();
    let is_candidate = |node: &&Node| {
        node.disk.is_some() && context.links.to_node(&node.name).is_none() && node.address != *own
    };
    let seeds = context.seeds.iter().filter(is_unlinked).cloned();
    let control_nodes = context.directory.nodes().filter(is_candidate).map(|node| node.address.clone());
    seeds.chain(control_nodes).collect()
}
