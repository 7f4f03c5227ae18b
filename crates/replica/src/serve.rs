//! Receives frames from other replicas.

use {
    crate::{
        driver::Input,
        link::{Frame, FrameAck},
        protocols::Protocols,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
    wire::Stream,
};

/// Passes the frames of a stream to the driver and acknowledges them, until the stream or the driver ends. Frames whose
/// sender is not among `allowed_senders` are dropped.
pub(crate) async fn receive(
    stream: Stream,
    allowed_senders: Option<Arc<[SocketAddr]>>,
    inputs: mpsc::Sender<Input>,
    protocols: Protocols,
) {
    let is_allowed =
        |it: &SocketAddr| allowed_senders.as_ref().is_none_or(|allowed| allowed.contains(it));
    let mut unrecorded = Some(stream.protocol);
    let (mut send, mut recv) = stream.split();
    loop {
        let frame = tokio::select! {
            frame = recv.recv::<Frame>() => frame,
            () = inputs.closed() => return,
        };
        match frame {
            Ok(Some(frame)) if is_allowed(&frame.from) => {
                if let Some(protocol) = unrecorded.take() {
                    protocols.record(frame.from, protocol);
                }
                let taken = inputs.send(Input::Frame(frame)).await.is_ok();
                if !taken || send.send(&FrameAck).await.is_err() {
                    return;
                }
            }
            Ok(Some(frame)) => {
                tracing::warn!("replica: dropped a frame from unknown address {}", frame.from);
            }
            Ok(None) => return,
            Err(err) => {
                tracing::debug!("replica: receiving failed: {err}");
                return;
            }
        }
    }
}
