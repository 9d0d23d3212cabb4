//! An event that many tasks can wait for.

use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// An event that happens once, such as the start of a shutdown; its clones share
/// it.
#[derive(Clone)]
pub struct Event {
    /// Dropping the sender wakes those that wait.
    sender: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl Default for Event {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: Rc::new(RefCell::new(Some(sender))),
            receiver: receiver.shared(),
        }
    }
}

impl Event {
    /// Lets the event happen.
    pub fn set(&self) {
        self.sender.take();
    }

    /// Whether the event has happened.
    pub fn is_set(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the event happens.
    pub async fn wait(&self) {
        // The channel is always cancelled, never used.
        let _ = self.receiver.clone().await;
    }
}
