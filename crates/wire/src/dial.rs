//! Connecting to a host that may have been down a moment ago.

use {
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{io, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// After how long another attempt begins beside those that have no answer: several round trips between regions, and less
/// than the second after which the first packet of a connection is sent again.
const AGAIN: Duration = Duration::from_millis(300);

/// Connects by `connect`, with another attempt beside the former ones as long as none has an answer; the first answer
/// holds. To be given up by a time limit of the caller's.
///
/// A connection's first packet that was sent to a host without power is lost, and is sent again only after a second: a
/// host that has been back for most of that time would be found late.
///
/// # Errors
///
/// The first answer is an error.
pub async fn dial<T, F, C>(mut connect: C) -> io::Result<T>
where
    C: FnMut() -> F,
    F: Future<Output = io::Result<T>>,
{
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(connect());
        let again_at = Instant::now() + AGAIN;
        tokio::select! {
            Some(answer) = attempts.next() => return answer,
            () = sleep_until(again_at) => {}
        }
    }
}
