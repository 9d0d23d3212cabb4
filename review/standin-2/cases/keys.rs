//! Another writer has entries under `servers/` whose keys hold a space. All daemons are
//! killed and start again.

use std::time::Duration;

use super::End;
use crate::store::Store;
use crate::world::{Action, Backend, Call, Folder, Gateway, Record, Route, put_config, sleep_ms};

const SERVICE: &str = "kafi81c";
/// Items in a page of the small site (`page` in its file); the pages say about 500 at most.
const PAGE_ITEMS: usize = 50;
const ENTRIES: usize = 60;
const RECOVERY_S: u64 = 12;
const REQUESTS: usize = 80;

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(PAGE_ITEMS);
    let start = |n: usize| {
        let zone = ["bne", "tsv", "cns", "rok"][n % 4];
        Backend::start(
            record,
            &store,
            &format!("i-{n:02}"),
            SERVICE,
            zone,
            |_, _| Action::Serve(20, b"found".to_vec()),
        )
    };
    let _backends: Vec<Backend> = (0..16).map(start).collect();
    let route = Route {
        name: "r-ibw6kpq",
        prefix: "/goka902/",
        kind: "safe",
        timeout_ms: 4_000,
        objective_ms: 400,
        attempts: 2,
        service: SERVICE,
    };
    put_config(&store, record, 7, &[route]);
    let mut gateways = Gateway::start_all(record, &folder, &store, 3);
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        return End::NotRun;
    }
    sleep_ms(1_000);
    // The same entries are there without the disruption, under keys without a space.
    let separator = if trouble { " " } else { "-" };
    for n in 0..ENTRIES {
        let key = format!("servers/box{separator}{n:02}");
        store.put(&key, b"not an entry of a backend");
    }
    record.write(&format!(
        "another writer has written {ENTRIES} entries, `servers/box{separator}00` first"
    ));
    sleep_ms(3_000);
    let before = served(record, &gateways, "b");
    gateways.iter_mut().for_each(Gateway::kill);
    sleep_ms(1_000);
    gateways.iter_mut().for_each(Gateway::start_again);
    sleep_ms(RECOVERY_S * 1_000);
    let after = served(record, &gateways, "c");
    for gateway in &gateways {
        record.write(&format!(
            "{} is ready: {}",
            gateway.name,
            gateway.is_ready()
        ));
        for line in gateway.log_lines("store unreachable") {
            record.write(&format!("log of {}: {line}", gateway.name));
        }
    }
    record.write(&format!(
        "{before} of {REQUESTS} requests were served before the kill, {after} of {REQUESTS} later than \
         {RECOVERY_S} s after the start"
    ));
    if before * 4 < REQUESTS {
        return End::NotRun;
    }
    End::of(after * 4 < REQUESTS)
}

/// Returns how many of the requests are served.
fn served(record: &Record, gateways: &[Gateway], prefix: &str) -> usize {
    let send = |n: &usize| {
        let id = format!("{prefix}{n:015x}");
        let call = Call {
            method: "GET",
            path: "/goka902/2f",
            id: &id,
            deadline_ms: 1_000,
            body: b"",
        };
        let answer = call.send(record, &gateways[n % gateways.len()]);
        sleep_ms(30);
        answer.is_some_and(|a| a.status == 200)
    };
    (0..REQUESTS).filter(send).count()
}
