//! Serves ledger calls of routers. Each stream carries one call and one reply.

use {
    crate::{
        command::{Command, Output},
        control::Shared,
        replicated_log::CommitError,
    },
    ledger::{LedgerCall, LedgerReply},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    wire::{Stream, WireError},
};

/// Time limit for receiving the call.
const CALL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Serves one ledger call.
pub(crate) async fn serve(shared: Arc<Shared>, mut stream: Stream) -> Result<(), WireError> {
    let Ok(call) = timeout(CALL_TIMEOUT, stream.recv.recv::<LedgerCall>()).await else {
        return Ok(());
    };
    let Some(call) = call? else { return Ok(()) };
    let reply = execute(&shared, call).await;
    stream.send.send(&reply).await?;
    stream.send.finish();
    Ok(())
}

async fn execute(shared: &Shared, call: LedgerCall) -> LedgerReply {
    let command = Command::Ledger { at_ms: shared.unix_time_ms(), call };
    match shared.log.propose(&command).await {
        Ok(Output::Ledger(reply)) => reply,
        Ok(_) | Err(CommitError::Unknown) => LedgerReply::NoQuorum,
        Err(CommitError::NotLeader) => {
            LedgerReply::NotLeader { leader: shared.log.leader_internal_addr() }
        }
    }
}
