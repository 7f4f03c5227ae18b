//! The ledger as routers call it: one call frame, one reply frame.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        log::NotCommitted,
    },
    ledger::{LedgerCall, LedgerReply},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Stream, WireError},
};

/// How long a call may take to arrive.
const CALL_LIMIT: Duration = Duration::from_millis(5_000);

/// Serves one call.
pub(crate) async fn serve(shared: Arc<Shared>, mut stream: Stream) -> Result<(), WireError> {
    let Ok(call) = timeout(CALL_LIMIT, stream.recv.recv::<LedgerCall>()).await else {
        return Ok(());
    };
    let Some(call) = call? else { return Ok(()) };
    let reply = carry_out(&shared, call).await;
    stream.send.send(&reply).await?;
    stream.send.finish();
    Ok(())
}

async fn carry_out(shared: &Shared, call: LedgerCall) -> LedgerReply {
    let command = Command::Ledger { at_ms: shared.wall_ms(), call };
    match shared.log.propose(&command).await {
        Ok(Output::Ledger(reply)) => reply,
        Ok(_) | Err(NotCommitted::Unknown) => LedgerReply::NoQuorum,
        Err(NotCommitted::NotLeader) => {
            LedgerReply::NotLeader { leader: shared.log.leader_inner() }
        }
    }
}
