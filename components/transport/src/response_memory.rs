//! A bound on the memory of the large responses that are read at the same time.

use std::cell::RefCell;

use futures_channel::oneshot;
use slotmap::{SlotMap, new_key_type};

/// Bytes that all large responses together may hold, one and a half times the largest
/// answer of an upstream.
const TOTAL_BYTES: usize = 12 * 1024 * 1024;

new_key_type! {
    /// Key of a large response that is being read.
    struct ReaderKey;
}

/// The memory of large responses. Beyond the bound only the largest one is read on:
/// it is the next to end or to reach its own limit. A stalled response holds no more
/// than what has arrived of it.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    /// Bytes of each response so far.
    readers: RefCell<SlotMap<ReaderKey, usize>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl ResponseMemory {
    pub(crate) fn start_reader(&self) -> Reader<'_> {
        let key = self.readers.borrow_mut().insert(0);
        Reader { memory: self, key }
    }
}

/// A large response that is being read; dropping it frees its memory.
pub(crate) struct Reader<'a> {
    memory: &'a ResponseMemory,
    key: ReaderKey,
}

impl Reader<'_> {
    /// Sets the bytes that the response holds, and waits until more may be read.
    pub(crate) async fn hold(&self, bytes: usize) {
        if let Some(held) = self.memory.readers.borrow_mut().get_mut(self.key) {
            *held = bytes;
        }
        while !self.may_read_on() {
            let (sender, freed) = oneshot::channel();
            self.memory.waiting.borrow_mut().push(sender);
            // Completes when the sender is dropped.
            let _ = freed.await;
        }
    }

    fn may_read_on(&self) -> bool {
        let readers = self.memory.readers.borrow();
        let total: usize = readers.values().sum();
        let largest = readers.iter().max_by_key(|(key, held)| (**held, *key));
        total <= TOTAL_BYTES || largest.is_some_and(|(key, _)| key == self.key)
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        self.memory.readers.borrow_mut().remove(self.key);
        // Dropping the senders wakes the waiting readers.
        self.memory.waiting.take();
    }
}
