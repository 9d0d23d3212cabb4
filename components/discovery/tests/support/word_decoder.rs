//! A decoder of records whose values are words.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::{Decode, Entry, Lifecycle, Record, UpstreamEntry};
use routes::Configuration;

/// Decodes values such as `ready 100 7` (state, start time, sequence number)
/// and `config 3`.
pub struct WordDecoder;

impl Decode for WordDecoder {
    fn decode(&self, record: &Record) -> Result<Entry, String> {
        let text = std::str::from_utf8(&record.value).map_err(|e| e.to_string())?;
        let words: Vec<&str> = text.split(' ').collect();
        let number = |i: usize| words[i].parse::<u64>().map_err(|e| e.to_string());
        let lifecycle = match words[0] {
            "foreign" => return Ok(Entry::Foreign),
            "config" => {
                let configuration = Configuration {
                    version: number(1)?,
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
            cold_remaining: Millis::ZERO,
            started_at: Some(Millis(number(1)?)),
            sequence: number(2)?,
        }))
    }
}
