//! What happens to the daemons of a simulated fleet.

use rand::RngExt;

use crate::fleet::Fleet;

/// A registration without renewal expires after 7 to 10 s.
const EXPIRY_MS: std::ops::Range<u64> = 7_000..10_000;

impl Fleet {
    /// Kills a daemon; its registration expires later.
    pub fn kill(&mut self, at: usize) {
        self.daemons[at].is_up = false;
        self.expire_later(at);
    }

    fn expire_later(&mut self, at: usize) {
        let expiry = self.now + self.rng.random_range(EXPIRY_MS);
        self.expiries.push((expiry, at));
    }

    /// Starts a daemon again under its name.
    pub fn restart(&mut self, at: usize) {
        self.expiries.retain(|(_, daemon)| *daemon != at);
        self.daemons[at] = self.start_daemon(at);
        if !self.registered.contains(&at) {
            self.registered.push(at);
            self.publish();
        }
        self.set_list(at, self.registered.clone());
    }

    /// Ends a daemon, which removes its registration.
    pub fn leave(&mut self, at: usize) {
        self.daemons[at].is_up = false;
        self.registered.retain(|daemon| *daemon != at);
        self.publish();
    }

    /// Freezes a daemon.
    pub fn pause(&mut self, at: usize) {
        self.daemons[at].is_paused = true;
        self.expire_later(at);
    }

    /// Lets a frozen daemon continue. It has the old list until the store answers it.
    pub fn resume(&mut self, at: usize) {
        self.daemons[at].is_paused = false;
        self.return_to_store(at);
    }

    /// Cuts daemons off from the store and the others.
    pub fn cut(&mut self, cut: &[usize]) {
        for &at in cut {
            self.daemons[at].side = 1;
            self.expire_later(at);
        }
    }

    pub fn heal(&mut self) {
        for at in 0..self.daemons.len() {
            if std::mem::take(&mut self.daemons[at].side) > 0 {
                self.return_to_store(at);
            }
        }
    }

    fn return_to_store(&mut self, at: usize) {
        self.expiries.retain(|(_, daemon)| *daemon != at);
        if !self.registered.contains(&at) {
            self.registered.push(at);
        }
        self.publish();
    }
}
