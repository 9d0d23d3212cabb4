//! A decoder of records whose values are words.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::{Decode, Entry, Lifecycle, Record, UpstreamEntry};
use routes::{Configuration, ServiceLimits};

/// Decodes values such as `ready 100 7` (state, start time, sequence number), also with
/// the time for which an upstream is cold as a fourth word, `config 3`, also with the
/// cold rate of all services as a third word, and `evacuate`.
pub struct WordDecoder;

impl Decode for WordDecoder {
    fn decode(&self, record: &Record) -> Result<Entry, String> {
        let text = std::str::from_utf8(&record.value).map_err(|e| e.to_string())?;
        let words: Vec<&str> = text.split(' ').collect();
        let number = |i: usize| words[i].parse::<u64>().map_err(|e| e.to_string());
        let lifecycle = match words[0] {
            "foreign" => return Ok(Entry::Foreign),
            "evacuate" => return Ok(Entry::Evacuation(record.key.clone())),
            "config" => {
                let limits = ServiceLimits {
                    connections: 1,
                    cold_rate: words.get(2).and_then(|rate| rate.parse().ok()),
                };
                let configuration = Configuration {
                    version: number(1)?,
                    services: [("s".to_owned(), limits)].into(),
                    ..Configuration::default()
                };
                return Ok(Entry::Configuration(Rc::new(configuration)));
            }
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            other => return Err(format!("unknown state {other}")),
        };
        Ok(Entry::Upstream(UpstreamEntry {
            id: record.key.clone(),
            service: "s".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            domain: "a".to_owned(),
            slots: 2,
            lifecycle,
            cold_remaining: match words.len() {
                4 => Millis(number(3)?),
                _ => Millis::ZERO,
            },
            started_at: Some(Millis(number(1)?)),
            sequence: number(2)?,
        }))
    }
}
