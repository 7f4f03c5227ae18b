//! Connecting to a host that may have been unreachable until recently.

use {
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{io, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// The delay after which another attempt is started while the earlier ones are pending: several
/// round trips between regions, and less than the second after which TCP retransmits a lost SYN.
const ATTEMPT_DELAY: Duration = Duration::from_millis(300);

/// Connects with `connect`, and starts another attempt in parallel every 300 ms until one
/// completes. Returns the result of the first attempt that completes. There is no time limit; the
/// caller must set one.
///
/// A SYN sent to a host without power is lost, and is retransmitted only after a second. A single
/// attempt would therefore connect late to a host that has been reachable again for most of that
/// second.
///
/// # Errors
///
/// The first attempt that completed failed.
pub async fn dial<T, F, C>(mut connect: C) -> io::Result<T>
where
    C: FnMut() -> F,
    F: Future<Output = io::Result<T>>,
{
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect());
        let next_attempt_at = Instant::now() + ATTEMPT_DELAY;
        tokio::select! {
            Some(result) = attempts.next() => return result,
            () = sleep_until(next_attempt_at) => {}
        }
    }
}
