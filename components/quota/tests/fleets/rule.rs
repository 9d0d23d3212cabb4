//! The rule that admitted requests keep, and what a quota allows.

use quota::Margin;

/// Returns the largest number of times within a window.
pub fn busiest_window(times: &[u64], window_ms: u64) -> usize {
    let count = |(n, at): (usize, &u64)| times.partition_point(|t| *t < at + window_ms) - n;
    times.iter().enumerate().map(count).max().unwrap_or(0)
}

/// Fails if more requests were admitted in some window than the rule allows.
pub fn assert_rule(admitted: &[u64], per_second: f64, burst: f64) {
    let margin = Margin::default();
    let exact = per_second * margin.window.0 as f64 / 1_000.0 + burst;
    let allowed = exact * (1.0 + margin.overage) + margin.slack;
    let mut times = admitted.to_vec();
    times.sort_unstable();
    let most = busiest_window(&times, margin.window.0);
    assert!(
        most as f64 <= allowed,
        "{most} in a window, {allowed} allowed"
    );
}

/// Returns how many requests from `from` on are within the quota, by one exact token
/// bucket.
pub fn within_quota(offered: &[u64], quota: (f64, f64), from: u64) -> usize {
    let (per_second, burst) = (quota.0, quota.1.max(1.0));
    let (mut level, mut at, mut count) = (burst, 0, 0);
    for &time in offered {
        let refill = (time - at) as f64 * per_second / 1_000.0;
        level = f64::min(level + refill, burst);
        at = time;
        if level >= 1.0 {
            level -= 1.0;
            count += usize::from(time >= from);
        }
    }
    count
}

/// Returns the share of the requests within the quota that was admitted from `from` on.
pub fn admitted_share(admitted: &[u64], offered: &[u64], quota: (f64, f64), from: u64) -> f64 {
    let allowed = within_quota(offered, quota, from);
    let got = admitted.iter().filter(|t| **t >= from).count();
    got as f64 / allowed.max(1) as f64
}
