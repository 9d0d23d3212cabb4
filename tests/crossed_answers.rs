//! An upstream's answer never reaches another request when the upstream sends
//! the answer to an earlier request, or sends each answer twice, the second one
//! late.

use std::net::SocketAddr;
use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::{TcpListener, TcpStream};
use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};
use standins::raw_request::RawRequest;

const REQUESTS: usize = 3_000;
const BATCH_SIZE: usize = 50;

fn check_rows(query: &str, answer: &Value) {
    for (shard, rows) in answer["rows"].as_object().into_iter().flatten() {
        assert_eq!(rows[0]["query"], query, "{answer}");
        assert_eq!(rows[0]["shard"], shard.as_str(), "{answer}");
    }
}

/// Starts a service with six fast upstreams and a queue for all searches.
async fn fast_fleet() -> Fleet {
    let mut service = ServicePlan::new("jobs", 6);
    service.behaviour.service_ms = 1.0;
    service.service.queue = 4_096;
    Fleet::ready(&Binaries::find(), Plan::of(service)).await
}

/// Sends searches in batches and checks each answer against its own query;
/// returns how many succeeded.
async fn send_searches(fleet: &Fleet) -> usize {
    let clients: Vec<_> = (0..3).map(|d| fleet.client(d)).collect();
    let mut answered = 0;
    for batch in 0..REQUESTS / BATCH_SIZE {
        let sends = (0..BATCH_SIZE).map(async |n| {
            let query = format!("q-{batch}-{n}");
            let answer = search(&clients[n % 3], "jobs", &json!(query))
                .await
                .unwrap();
            check_rows(&query, &answer.body);
            usize::from(answer.status == 200)
        });
        answered += join_all(sends).await.into_iter().sum::<usize>();
    }
    answered
}

#[compio::test]
async fn crossed_answers_reach_no_caller() {
    let fleet = fast_fleet().await;
    fleet.control("jobs-1", json!({ "mode": "crossed" })).await;
    let answered = send_searches(&fleet).await;
    println!("{answered} of {REQUESTS} answered");
    assert!(answered * 2 > REQUESTS, "{answered} of {REQUESTS} answered");
}

/// Serves a connection and sends every answer twice, the second one 1 ms later.
async fn answer_twice(mut stream: TcpStream) {
    while let Some(request) = RawRequest::read(&mut stream).await {
        let header = |name: &str| request.header(name);
        let answer = match request.head.starts_with("GET /health") {
            true => {
                json!({ "state": "ok", "boot": "b", "holds": [{ "partitioning": "p1", "snapshot": 1 }] })
            }
            false => {
                json!([{ "query": serde_json::from_str::<Value>(&request.body).unwrap_or_default(),
                "shard": header("x-shard") }])
            }
        };
        let answer = answer.to_string();
        let reply = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nx-request-id: {}\r\nx-shard: {}\r\nx-snapshot: {}\r\n\
             x-partitioning: {}\r\n\r\n{answer}",
            answer.len(),
            header("x-request-id"),
            header("x-shard"),
            header("x-snapshot"),
            header("x-partitioning"),
        );
        for _ in 0..2 {
            if stream
                .write_all(reply.clone().into_bytes())
                .await
                .0
                .is_err()
            {
                return;
            }
            compio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn start_duplicating_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(answer_twice(stream)).detach();
        }
    };
    compio::runtime::spawn(accept).detach();
    address
}

#[compio::test]
async fn answers_that_are_sent_twice_reach_no_caller() {
    let fleet = fast_fleet().await;
    let mut declared = fleet.declarations.clone();
    declared.services[0].upstreams[0].address = start_duplicating_upstream().await;
    let reply = fleet.apply(0, &declared, "twice").await;
    assert_eq!(reply["outcome"], "committed", "{reply}");
    let answered = send_searches(&fleet).await;
    println!("{answered} of {REQUESTS} answered");
    assert!(answered * 2 > REQUESTS, "{answered} of {REQUESTS} answered");
}
