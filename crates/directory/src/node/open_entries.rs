//! The end of the log that is not applied, for gateways without contact to a leader.

use grebepin_catalog::{Command, Entry, InstanceState};
use grebepin_reactor::decode_frame;
use grebepin_schema::EntryPayload;
use grebepin_storage::Disk;

use super::Node;
use crate::link::OpenEntries;

/// Bytes of log entries that a status message may describe. Each status message goes to every linked gateway:
/// 32 KiB to 100 gateways take half a second of a link of 51 Mbit/s.
const MAX_OPEN_BYTES: usize = 32 << 10;

impl<D: Disk> Node<D> {
    /// Commands in the log of this voter that are not applied here and may be acknowledged. Empty while the state is
    /// handed to gateways as current, since it then contains every acknowledged command.
    pub fn open_entries(&self, is_fed: bool) -> OpenEntries {
        let mut open = OpenEntries::default();
        if is_fed || !self.votes() {
            return open;
        }
        let mut bytes = 0;
        for entry in self.consensus.entries_after(self.applied) {
            let EntryPayload::Command(frame) = &entry.payload else {
                continue;
            };
            bytes += frame.0.len();
            let decoded = decode_frame::<Entry>(&frame.0);
            let (true, Ok(mut decoded)) = (bytes <= MAX_OPEN_BYTES, decoded) else {
                open.is_truncated = true;
                break;
            };
            decoded.drop_documents();
            let binding = decoded.commands.into_iter().filter(binds_gateways);
            open.commands
                .extend(binding.map(|command| (entry.index.0, command)));
        }
        open
    }
}

/// Whether a gateway that does not know of a command may break what was acknowledged with it. A request for a
/// shard that has moved is refused by its former owner, and a server that a gateway does not know gets none.
fn binds_gateways(command: &Command) -> bool {
    match command {
        Command::ChangeItems(_) | Command::SetEvacuation { .. } | Command::SetQuarantine { .. } => {
            true
        }
        Command::SetState { state, .. } => *state == InstanceState::Draining,
        Command::Register(instance) => instance.is_cold || instance.state != InstanceState::Ready,
        Command::RecordLeave { .. }
        | Command::Suspend { .. }
        | Command::FreeShards { .. }
        | Command::AssignShards { .. }
        | Command::RecordGrant { .. } => false,
    }
}
