//! Which processes this one connects to, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::{Directory, Node, select_peers};
use ashvane_identifiers::Address;

use super::LinkTable;
use crate::links::ConnectionEnd;

/// Pause before a process to which no connection came up is called again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);
/// Time for which another process is connected to in place of one that cannot be reached.
const UNREACHABLE_FOR: Duration = Duration::from_millis(2500);

/// The attempts to connect. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct Dialer {
    attempted_at: BTreeMap<Address, Duration>,
    /// Addresses to which an attempt is under way, or holds a link.
    in_progress: BTreeSet<Address>,
    unreachable_until: BTreeMap<Address, Duration>,
}

/// What decides whom to connect to, beside the attempts.
#[derive(Clone, Copy)]
pub struct DialContext<'a> {
    /// What is known.
    pub directory: &'a Directory,
    /// The links that there are.
    pub links: &'a LinkTable,
    /// How many machines may fail at once.
    pub max_failures: usize,
    /// Where the machines of the settings file are reached.
    pub seeds: &'a [Address],
    /// Whether no link leads to a control node that is of use.
    pub is_isolated: bool,
}

impl Dialer {
    /// An attempt is to begin; false if one is under way or was a moment ago. One at a time: a process that is slow to
    /// answer must not be called once more with each tick.
    pub fn begin(&mut self, address: &Address, now: Duration) -> bool {
        let is_too_soon = self.attempted_at.get(address).is_some_and(|at| *at + REDIAL_DELAY > now);
        if is_too_soon || !self.in_progress.insert(address.clone()) {
            return false;
        }
        self.attempted_at.insert(address.clone(), now);
        true
    }

    /// An attempt has ended, and with it the link if it led to one.
    pub fn connection_ended(&mut self, address: &Address, end: ConnectionEnd, now: Duration) {
        self.in_progress.remove(address);
        if end == ConnectionEnd::NeverLinked {
            self.unreachable_until.insert(address.clone(), now + UNREACHABLE_FOR);
        }
    }

    /// A process has been reached.
    pub fn link_opened(&mut self, address: &Address) {
        self.unreachable_until.remove(address);
    }

    /// A link has ended: the peer may be called again at once, for it may only have restarted.
    pub fn link_closed(&mut self, address: &Address) {
        self.attempted_at.remove(address);
    }

    /// Forgets attempts that do not count any more.
    pub fn expire(&mut self, now: Duration) {
        self.unreachable_until.retain(|_, until| *until > now);
        self.attempted_at.retain(|_, at| *at + REDIAL_DELAY > now);
    }

    /// The addresses to connect to now.
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
            // A control node that is down may be back with nothing but seeds that are gone: the others look for it.
            let is_lost = |node: &&Node| {
                node.is_down
                    && node.disk.is_some()
                    && !self.unreachable_until.contains_key(&node.address)
                    && !is_linked(node)
            };
            addresses.extend(directory.nodes().filter(is_lost).map(|node| node.address.clone()));
        }
        let waits_for_admission = is_control_node && directory.membership().epoch == 0;
        if context.is_isolated || waits_for_admission {
            addresses.extend(addresses_of_last_resort(context));
        }
        addresses
    }
}

/// None of those that one would select answers: the seeds may, and any control node that is known.
fn addresses_of_last_resort(context: DialContext<'_>) -> Vec<Address> {
    let own = &context.directory.own_node().address;
    let is_unlinked = |address: &&Address| *address != own && context.links.to_address(address).is_none();
    let is_candidate = |node: &&Node| {
        node.disk.is_some() && context.links.to_node(&node.name).is_none() && node.address != *own
    };
    let seeds = context.seeds.iter().filter(is_unlinked).cloned();
    let control_nodes = context.directory.nodes().filter(is_candidate).map(|node| node.address.clone());
    seeds.chain(control_nodes).collect()
}
