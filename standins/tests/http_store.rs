//! The client of the daemons' store, against its stand-in.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use rstest::rstest;
use store::{HttpStore, Store, Swap};
use transport::{Event, Listener, ServerLimits, serve};

const WAIT: Millis = Millis(10);

async fn start_store() -> HttpStore {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any_port).await.unwrap();
    let address = listener.address;
    let limits = ServerLimits::default();
    let router = standins::store::router();
    let serving = serve(listener, router, limits, Event::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
    HttpStore::new(address)
}

/// Guards against a key that makes the URI of a call invalid, or that of another key.
#[rstest]
#[case::usual("service/jobs/00ff")]
#[case::space("service/a b/00ff")]
#[case::reserved("service/a%41?after=1#b&c+d/00ff")]
#[case::text("service/\u{fc}\n/00ff")]
#[compio::test]
async fn a_value_is_found_under_its_key(#[case] key: &str) {
    let store = start_store().await;
    let other = format!("{key}2");
    assert_eq!(store.swap(key, 0, "one").await.unwrap(), Swap::Written(1));
    assert_eq!(
        store.swap(&other, 0, "two").await.unwrap(),
        Swap::Written(1)
    );
    assert_eq!(store.get(key).await.unwrap().unwrap().value, "one");
    let watched = store.watch(&other, 0, WAIT).await.unwrap();
    assert_eq!(watched.unwrap().value, "two");
}
