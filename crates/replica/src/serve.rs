//! Receiving from another replica.

use {
    crate::{
        driver::Input,
        link::{Arrived, Frame},
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
    wire::Stream,
};

/// Hands the frames of a stream to the driver, and answers that they arrived, until the stream or the driver ends;
/// frames that claim to come from somewhere else than the `known` replicas are dropped.
pub(crate) async fn receive(
    stream: Stream,
    known: Option<Arc<[SocketAddr]>>,
    inputs: mpsc::Sender<Input>,
) {
    let is_known = |it: &SocketAddr| known.as_ref().is_none_or(|known| known.contains(it));
    let (mut send, mut recv) = stream.split();
    loop {
        let frame = tokio::select! {
            frame = recv.recv::<Frame>() => frame,
            () = inputs.closed() => return,
        };
        match frame {
            Ok(Some(frame)) if is_known(&frame.from) => {
                let taken = inputs.send(Input::Frame(frame)).await.is_ok();
                if !taken || send.send(&Arrived).await.is_err() {
                    return;
                }
            }
            Ok(Some(frame)) => {
                tracing::warn!("replica: dropped a message of unknown replica {}", frame.from);
            }
            Ok(None) => return,
            Err(err) => {
                tracing::debug!("replica: receiving failed: {err}");
                return;
            }
        }
    }
}
