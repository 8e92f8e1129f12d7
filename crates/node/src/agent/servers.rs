//! Servers: their heartbeats, the acknowledgement that one leaves, the list that is kept on disk as a hint.

use ashvane_quorum::DiskId;

use super::*;

impl Agent {
    /// A server has said something. One that leaves is acknowledged only once a majority of the members knows it, so
    /// that it does not depend on this process.
    pub async fn beat(self: &Rc<Self>, beat: Heartbeat) -> bool {
        let leaves = beat.state > ServerState::Ready;
        let id = beat.id.clone();
        let told = self.directory.borrow_mut().record_heartbeat(beat, self.now());
        self.spread(told, None);
        !leaves || self.confirm_server(&id).await
    }

    pub async fn left(self: &Rc<Self>, id: &ServerId) -> bool {
        let told = self.directory.borrow_mut().deregister(id, self.now());
        self.spread(told, None);
        self.confirm_server(id).await
    }

    async fn confirm_server(self: &Rc<Self>, id: &ServerId) -> bool {
        let server = self.directory.borrow().server(id).cloned();
        let Some(server) = server else { return false };
        self.confirm(Update::Server(server)).await
    }

    /// Whether a majority of the members has taken in an update in time: of the membership in force, and of each that
    /// followed it meanwhile. Where no majority is in contact the answer is no, at once.
    pub(super) async fn confirm(self: &Rc<Self>, update: Update) -> bool {
        if !self.in_contact() {
            return false;
        }
        let number = self.next_number();
        let (done, confirmed) = oneshot::channel();
        let confirmation = {
            let directory = self.directory.borrow();
            Confirmation::new(update, directory.membership().clone(), directory.own().disk.clone(), done)
        };
        self.confirmations.borrow_mut().insert(number, confirmation);
        self.confirm_again();
        let confirmed = tokio::time::timeout(CONFIRMED, confirmed).await;
        self.confirmations.borrow_mut().remove(&number);
        matches!(confirmed, Ok(Ok(())))
    }

    /// Asks the members that are linked and have not been asked yet, over the links that they have now.
    pub(super) fn confirm_again(&self) {
        let mut links = self.links.borrow_mut();
        let linked: Vec<(u64, DiskId)> =
            links.iter().filter_map(|(number, l)| Some((number, l.peer.disk.clone()?))).collect();
        for (number, confirmation) in self.confirmations.borrow_mut().iter_mut() {
            let asked = confirmation.ask(&linked);
            let line = Message::Update { number: *number, updates: vec![confirmation.update().clone()] };
            links.send_all(&asked, &line);
        }
    }

    pub(super) fn confirmed(&self, number: u64, link: u64, taken: bool, epoch: u64) {
        if let Some(confirmation) = self.confirmations.borrow_mut().get_mut(&number) {
            confirmation.answered(link, taken, epoch);
        }
    }

    /// What waits for a majority waits for one of the next membership as well.
    pub(super) fn membership_changed(&self) {
        let membership = self.directory.borrow().membership().clone();
        for confirmation in self.confirmations.borrow_mut().values_mut() {
            confirmation.membership_changed(membership.clone());
        }
        self.confirm_again();
    }

    pub(super) fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Whether a server is known here as one that is ready and has been heard of late.
    pub fn offers_work_to(&self, id: &ServerId) -> bool {
        self.directory
            .borrow()
            .server(id)
            .is_some_and(|s| s.state == ServerState::Ready && !s.has_timed_out())
    }

    /// Servers that were known before a restart: until they beat, better than none. Some may have left since, so they
    /// count as silent here, and whatever others know of them stands above it.
    pub fn recall(self: &Rc<Self>, servers: Vec<Server>) {
        let recalled =
            |s| Update::Server(Server { heartbeat_sequence: 0, liveness: Liveness::TimedOut, ..s });
        self.learn(servers.into_iter().map(recalled).collect(), None);
    }

    pub(super) fn look_at_hints(&self) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (Instant::now(), self.directory.borrow());
        let (at, changes) = self.hinted.get();
        // One that left is struck out at once, lest a restart bring it back.
        if (at + HINT <= now || self.left.take()) && changes != directory.revision() {
            self.hinted.set((now, directory.revision()));
            let known = directory.servers().filter(|s| s.state < ServerState::Terminated);
            register.disk().hint(known.cloned().collect());
        }
    }
}
