//! The registration of a daemon while it runs, leaves, or loses answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use clock::Millis;
use discovery::{Error, InstanceEntry, Lease, Leases, Registration, Result};

/// Longer than the interval between two renewals.
const OBSERVATION: Duration = Duration::from_millis(3_300);
/// A daemon without connections exits this long after the end.
const EXIT_DELAY: Duration = Duration::from_millis(2_500);
const CALL_DELAY: Duration = Duration::from_millis(200);
const PART_OF_CALL: Duration = Duration::from_millis(80);

/// What happens to a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// The call is executed and answered after [`CALL_DELAY`].
    Late,
    /// The call is executed, but its answer is lost.
    AnswerLost,
    /// The call is refused.
    Refused,
    /// The call is neither executed nor answered.
    Hanging,
}

/// Leases in memory; a fault applies to the next call only.
#[derive(Default)]
struct FakeLeases {
    granted: Cell<u64>,
    epoch: Cell<u64>,
    live: RefCell<BTreeSet<u64>>,
    /// Leases that hold a registration.
    registered: RefCell<BTreeSet<u64>>,
    grant_fault: Cell<Fault>,
    register_fault: Cell<Fault>,
    end_fault: Cell<Fault>,
}

fn lost() -> Error {
    let detail = "no answer".to_owned();
    Error::Unavailable { detail }
}

async fn call<T>(fault: Fault, execute: impl FnOnce() -> T) -> Result<T> {
    match fault {
        Fault::None => Ok(execute()),
        Fault::Late => {
            compio::time::sleep(CALL_DELAY).await;
            Ok(execute())
        }
        Fault::AnswerLost => {
            execute();
            Err(lost())
        }
        Fault::Refused => Err(lost()),
        Fault::Hanging => std::future::pending().await,
    }
}

impl FakeLeases {
    fn is_registered(&self) -> bool {
        !self.registered.borrow().is_empty()
    }
}

#[async_trait(?Send)]
impl Leases for FakeLeases {
    async fn grant(&self, _: Millis) -> Result<Lease> {
        let execute = || {
            let lease = self.granted.get() + 1;
            self.granted.set(lease);
            self.live.borrow_mut().insert(lease);
            Lease {
                number: lease,
                epoch: self.epoch.get(),
            }
        };
        call(self.grant_fault.take(), execute).await
    }

    fn is_lost(&self, lease: Lease) -> bool {
        lease.epoch != self.epoch.get()
    }

    async fn register(&self, Lease { number: lease, .. }: Lease, _: &InstanceEntry) -> Result<()> {
        let execute = || match self.live.borrow().contains(&lease) {
            true => {
                self.registered.borrow_mut().insert(lease);
                Ok(())
            }
            false => Err(Error::LeaseEnded),
        };
        call(self.register_fault.take(), execute).await?
    }

    async fn renew(&self, lease: Lease) -> Result<()> {
        match self.live.borrow().contains(&lease.number) && !self.is_lost(lease) {
            true => Ok(()),
            false => Err(Error::LeaseEnded),
        }
    }

    async fn end(&self, Lease { number: lease, .. }: Lease) -> Result<()> {
        let execute = || {
            self.registered.borrow_mut().remove(&lease);
            self.live.borrow_mut().remove(&lease)
        };
        match call(self.end_fault.take(), execute).await? {
            true => Ok(()),
            false => Err(Error::LeaseEnded),
        }
    }
}

/// Starts a registration and waits for part of its first call.
async fn start(leases: &Rc<FakeLeases>) -> Rc<Registration> {
    let instance = InstanceEntry {
        millicores: 0,
        name: "d1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000)),
        domain: "a".to_owned(),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let registration = Registration::new(leases.clone(), instance, &log);
    compio::runtime::spawn(registration.clone().run()).detach();
    compio::time::sleep(PART_OF_CALL).await;
    registration
}

#[compio::test]
async fn a_registration_is_not_made_again_after_its_end() {
    let leases = Rc::new(FakeLeases::default());
    let registration = start(&leases).await;
    assert!(leases.is_registered());
    registration.end().await;
    assert!(!leases.is_registered());
    compio::time::sleep(OBSERVATION).await;
    assert_eq!(leases.granted.get(), 1);
    assert!(!leases.is_registered());
}

#[compio::test]
async fn a_registration_that_completes_after_the_end_is_ended() {
    let leases = Rc::new(FakeLeases::default());
    leases.register_fault.set(Fault::Late);
    let registration = start(&leases).await;
    registration.end().await;
    compio::time::sleep(2 * CALL_DELAY).await;
    assert_eq!(leases.granted.get(), 1);
    assert!(!leases.is_registered());
}

#[compio::test]
async fn a_lease_that_is_granted_after_the_end_is_ended() {
    let leases = Rc::new(FakeLeases::default());
    leases.grant_fault.set(Fault::Late);
    let registration = start(&leases).await;
    registration.end().await;
    compio::time::sleep(2 * CALL_DELAY).await;
    assert_eq!(leases.granted.get(), 1);
    assert!(leases.live.borrow().is_empty());
    assert!(!leases.is_registered());
}

#[compio::test]
async fn a_registration_whose_answer_was_lost_is_ended() {
    let leases = Rc::new(FakeLeases::default());
    leases.register_fault.set(Fault::AnswerLost);
    let registration = start(&leases).await;
    assert!(leases.is_registered());
    registration.end().await;
    assert!(!leases.is_registered());
}

#[compio::test]
async fn a_registration_whose_answer_was_lost_keeps_its_lease() {
    let leases = Rc::new(FakeLeases::default());
    leases.register_fault.set(Fault::AnswerLost);
    let _registration = start(&leases).await;
    compio::time::sleep(OBSERVATION).await;
    assert_eq!(leases.granted.get(), 1);
    assert!(leases.is_registered());
}

#[compio::test]
async fn an_end_that_was_refused_is_repeated() {
    let leases = Rc::new(FakeLeases::default());
    let registration = start(&leases).await;
    leases.end_fault.set(Fault::Refused);
    registration.end().await;
    compio::time::sleep(OBSERVATION).await;
    assert!(!leases.is_registered());
}

#[compio::test]
async fn an_end_that_was_cut_is_repeated_before_the_exit() {
    let leases = Rc::new(FakeLeases::default());
    let registration = start(&leases).await;
    leases.end_fault.set(Fault::Hanging);
    let cut = compio::time::timeout(CALL_DELAY, registration.end()).await;
    assert!(cut.is_err());
    compio::time::sleep(EXIT_DELAY - CALL_DELAY).await;
    assert!(!leases.is_registered());
}

/// The store grants the numbers of earlier leases again after it came back from a
/// copy.
#[compio::test]
async fn a_registration_that_a_restored_store_lacks_is_made_again() {
    let leases = Rc::new(FakeLeases::default());
    let registration = start(&leases).await;
    assert!(leases.is_registered());
    leases.registered.borrow_mut().clear();
    leases.epoch.set(1);
    compio::time::sleep(OBSERVATION).await;
    assert_eq!(leases.granted.get(), 2);
    assert!(leases.is_registered());
    registration.end().await;
    let live = leases.live.borrow();
    assert_eq!(live.iter().collect::<Vec<_>>(), [&1], "others may hold it");
}
