//! Until when an upstream is cold, as its reports say. No I/O.

use clock::Millis;

/// A period that ends sooner than known by no more than this is no change: reports arrive
/// with different delays.
const END_TOLERANCE: Millis = Millis(1_000);

/// The end of an upstream's cold period after a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ColdEnd {
    pub(super) until: Millis,
    /// Whether it differs from the known end.
    pub(super) is_changed: bool,
}

/// Returns the end of the cold period of an upstream that reports at `now` that it is cold
/// for `left` more. An upstream may turn cold again at any time, so that a later end always
/// counts; since reports are seen late, the known end is not too early otherwise.
pub(super) fn cold_end(known: Millis, left: Millis, now: Millis) -> ColdEnd {
    let until = now + left;
    let is_later = left > Millis::ZERO && until > known;
    let is_sooner = until + END_TOLERANCE < known;
    match is_later || is_sooner {
        true => ColdEnd {
            until,
            is_changed: true,
        },
        false => ColdEnd {
            until: known,
            is_changed: false,
        },
    }
}
