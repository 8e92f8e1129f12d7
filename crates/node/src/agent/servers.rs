//! Servers: their heartbeats, the acknowledgement that one leaves, the list that is kept on disk as a hint.

use super::*;

impl Agent {
    /// A server has said something. One that leaves is acknowledged only once a majority of those that hear
    /// servers knows it, so that it does not depend on this process.
    pub async fn beat(self: &Rc<Self>, beat: Heartbeat) -> bool {
        let leaves = beat.state > State::Ready;
        let id = beat.id.clone();
        let told = self.directory.borrow_mut().beat(beat, self.now());
        self.spread(told, None);
        !leaves || self.confirm(&id).await
    }

    pub async fn left(self: &Rc<Self>, id: &str) -> bool {
        let told = self.directory.borrow_mut().left(id, self.now());
        self.spread(told, None);
        self.confirm(id).await
    }

    pub(super) async fn confirm(self: &Rc<Self>, id: &str) -> bool {
        let Some(server) = self.directory.borrow().server(id).cloned() else { return false };
        let need = self.directory.borrow().membership().majority().saturating_sub(1);
        if need == 0 {
            return true;
        }
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let (done, confirmed) = oneshot::channel();
        let confirm = Confirm { need, got: BTreeSet::new(), done: Some(done) };
        self.confirms.borrow_mut().insert(number, confirm);
        {
            let mut links = self.links.borrow_mut();
            let control_nodes: Vec<u64> =
                links.iter().filter(|(_, l)| l.peer.disk.is_some()).map(|(number, _)| number).collect();
            links
                .send_all(&control_nodes, &Message::Update { number, updates: vec![Update::Server(server)] });
        }
        let confirmed = tokio::time::timeout(CONFIRMED, confirmed).await;
        self.confirms.borrow_mut().remove(&number);
        matches!(confirmed, Ok(Ok(())))
    }

    pub(super) fn confirmed(&self, number: u64, link: u64) {
        let mut links = self.links.borrow_mut();
        let Some(peer) = links.get_mut(link).filter(|l| l.peer.disk.is_some()) else { return };
        let mut confirms = self.confirms.borrow_mut();
        let Some(confirm) = confirms.get_mut(&number) else { return };
        confirm.got.insert(peer.peer.name.clone());
        if confirm.got.len() >= confirm.need
            && let Some(done) = confirm.done.take()
        {
            let _ = done.send(());
        }
    }

    /// Whether a server is known here as one that is ready and has been heard of late.
    pub fn offers_work_to(&self, id: &str) -> bool {
        self.directory.borrow().server(id).is_some_and(|s| s.state == State::Ready && !s.silent)
    }

    /// Servers that were known before a restart: until they beat, better than none. Some may have left since, so they
    /// count as silent here, and whatever others know of them stands above it.
    pub fn recall(self: &Rc<Self>, servers: Vec<Server>) {
        let recalled = servers.into_iter().map(|s| Update::Server(Server { seq: 0, silent: true, ..s }));
        self.learn(recalled.collect(), None);
    }

    pub(super) fn look_at_hints(&self) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (Instant::now(), self.directory.borrow());
        let (at, changes) = self.hinted.get();
        // One that left is struck out at once, lest a restart bring it back.
        if (at + HINT <= now || self.left.take()) && changes != directory.changes() {
            self.hinted.set((now, directory.changes()));
            let known = directory.servers().filter(|s| s.state < State::Gone);
            register.disk().hint(known.cloned().collect());
        }
    }
}
