//! A pool and the calls that tests send through it.

use std::rc::Rc;

use clock::Millis;
use slog::{Discard, Logger, o};
use upstreams::{Call, Message, Pool, RetryPolicy, Shard, Shared, UpstreamKey};

/// A shard that all upstreams of a pool hold.
pub struct All(pub Rc<Pool>);

impl Shard for All {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.0.keys()
    }
}

/// A pool without upstreams.
pub fn empty_pool() -> Rc<Pool> {
    let log = Logger::root(Discard, o!());
    let pool = Pool::new(&Shared::new(&log), "s");
    pool.set_queue_limit(8);
    pool
}

/// A call that must be answered within some time.
pub fn call(message: impl Message + 'static, within: Millis, policy: RetryPolicy) -> Call {
    Call {
        message: Rc::new(message),
        version: None,
        fingerprint: 1,
        priority: 0,
        deadline: Millis::now() + within,
        caller_left: Rc::default(),
        policy,
    }
}
