//! Daemons that start while the platform's list of instances holds an entry that can't be
//! read. Real processes run against a stand-in store and upstreams.

use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan};

/// Guards against daemons that never learn of each other after all of them were restarted.
#[compio::test]
async fn daemons_find_each_other_beside_an_odd_entry() {
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let odd = json!({ "id": "another &+#%", "address": "nowhere", "state": "unknown" });
    fleet.publish_instances_with(&[odd]).await;
    for daemon in &mut fleet.daemons {
        daemon.process.kill();
    }
    for number in 0..fleet.daemons.len() {
        fleet.restart_daemon(number).await;
    }
    fleet.wait_until_ready().await;
    for daemon in &fleet.daemons {
        const REPORT: &str = "instance list ignored";
        daemon.process.wait_for_line(REPORT).await;
        let reports = daemon.process.read_log().matches(REPORT).count();
        assert_eq!(reports, 1, "{}", daemon.name);
    }
}
