//! A measurement, not a case: the memory of a gateway under searches, first while nobody reads
//! its metrics and then while somebody does each 5 s.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

use crate::base::*;

const HOST: &str = "search.example";
const SHARDS: usize = 25;
const SERVERS: usize = 2;
const CLIENTS: usize = 4;
const STEP_MS: u64 = 5_000;
const UNREAD_STEPS: usize = 8;
const READ_STEPS: usize = 4;

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn read_metrics(gateway: &Gateway) {
    if let Ok(stream) = TcpStream::connect(format!("{}:9464", gateway.ip)) {
        let mut conn = Conn::new(stream);
        let _ = conn.write(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n");
        let _ = conn.read();
    }
}

fn configuration() -> String {
    let names: Vec<String> = (0..SHARDS).map(|s| format!("\"sh{s}\"")).collect();
    let services: Vec<String> =
        names.iter().map(|n| format!("{{\"name\":{n},\"health-check-path\":\"/health\",\"max-connections\":41}}")).collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-search\",\"host\":\"{HOST}\",\"prefix\":\"/search/\",\"route-kind\":\"safe\",\
         \"timeout-ms\":1200,\"target-latency-ms\":200,\"priority\":1,\"gather\":[{}],\"max-attempts\":2,\"top-k\":5,\
         \"min-success-share\":0.75}}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        names.join(","),
        services.join(",")
    )
}

fn answer(stream: TcpStream, id: &str) {
    let mut conn = Conn::new(stream);
    while let Ok(request) = conn.read() {
        let of = request.header("request-id").unwrap_or_default().to_owned();
        let stamp = format!("{id}.{of}");
        let headers = [("Request-Id", of.as_str()), ("Server-Stamp", &stamp), ("Server-Load", "1,0,5")];
        if conn.write(&response("200 OK", &headers, &[7; 96])).is_err() {
            return;
        }
    }
}

pub fn run(record: &str, dir: &str) -> bool {
    let record = Record::create(record);
    let store = Store::new();
    for shard in 0..SHARDS {
        for server in 0..SERVERS {
            let (listener, address) = listen();
            let id = format!("i-{shard:02}{server:02}");
            let entry = format!(
                "{{\"service\":\"sh{shard}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\"capacity-slots\":5,\
                 \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1,\"born\":1700000000000}}"
            );
            store.put(&format!("servers/{id}"), entry.as_bytes(), 0);
            serve(listener, move |stream| answer(stream, &id));
        }
    }
    store.put("op/config", configuration().as_bytes(), 0);
    let address = store.serve(Arc::default());
    let gateways = plan_gateways(dir, &[Plan { name: "g1", zone: "z1", store: address }]);
    let gateway = gateways[0].clone();
    gateway.start();
    gateway.wait_ready();
    sleep_ms(1_000);
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    for client in 0..CLIENTS {
        let (gateway, stop, count) = (gateway.clone(), stop.clone(), count.clone());
        thread::spawn(move || {
            let mut kept = None;
            for n in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (id, path) = (format!("c{client}-{n}"), format!("/search/c{client}-{n}"));
                let ask_it = Ask { method: "GET", host: HOST, path: &path, id: &id, deadline_ms: 1_200, body: b"" };
                let is_served = ask(gateway.front, &mut kept, &ask_it).is_ok_and(|a| a.status() == 200);
                count.fetch_add(usize::from(is_served), Ordering::Relaxed);
            }
        });
    }
    for step in 0..UNREAD_STEPS + READ_STEPS {
        let is_read = step >= UNREAD_STEPS;
        if is_read {
            read_metrics(&gateway);
        }
        sleep_ms(STEP_MS);
        let (count, kb) = (count.load(Ordering::Relaxed), resident_kb(gateway.pid()));
        record.say(&format!("metrics read: {is_read}; {count} searches of {SHARDS} shards answered, {kb} kB resident"));
    }
    stop.store(true, Ordering::Relaxed);
    gateway.kill();
    false
}
