//! A pool without upstreams, and calls to send through it.

use std::rc::Rc;

use clock::Millis;
use slog::{Discard, Logger, o};
use upstreams::{Call, Message, Pool, PoolConfig, RetryPolicy, Shard, Shared, UpstreamKey};

/// A shard whose replicas are all upstreams of a pool.
pub struct AllUpstreams(pub Rc<Pool>);

impl Shard for AllUpstreams {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.0.keys()
    }
}

/// A pool without upstreams.
pub fn empty_pool(config: PoolConfig) -> Rc<Pool> {
    let log = Logger::root(Discard, o!());
    let pool = Pool::new(&Shared::with_config(&log, config), "s");
    pool.set_queue_limit(8);
    pool
}

/// A call whose deadline is `within` from now.
pub fn call(message: impl Message + 'static, within: Millis, policy: RetryPolicy) -> Call {
    Call {
        message: Rc::new(message),
        version: None,
        fingerprint: 1,
        priority: 0,
        deadline: Millis::now() + within,
        rate_by: Millis::now() + within,
        draw: 0.0,
        caller_left: Rc::default(),
        permission: Rc::new(upstreams::Permanent),
        workspace: None,
        may_have_run: Rc::default(),
        attempts: Rc::default(),
        policy,
    }
}
