//! What a heartbeat says of its server, and what the replicated state says of it.

use grebepin_catalog::{Catalog, Command, FreedShard, Instance, InstanceState, ShardOwnership};

use crate::addresses::Addresses;
use crate::heartbeat::Heartbeat;

/// Commands that take in the server and end earlier ones at its address.
pub(crate) fn registration(
    catalog: &Catalog,
    addresses: &mut Addresses,
    beat: &Heartbeat,
) -> Vec<Command> {
    let state = match beat.draining {
        true => InstanceState::Draining,
        false => InstanceState::Ready,
    };
    let known = catalog.instance(&beat.id);
    let instance = Instance {
        id: beat.id.clone(),
        service: beat.service.clone(),
        address: beat.address.clone(),
        zone: beat.zone.clone(),
        slots: beat.slots,
        state: known.map_or(state, |known| known.state.max(state)),
        is_cold: !beat.warmup_left.is_zero() && catalog.warmup_rate(&beat.service).is_some(),
    };
    let mut commands = Vec::new();
    if known == Some(&instance) {
        return commands;
    }
    if known.is_none() {
        let replaced = addresses.live_at(catalog, &beat.address).into_iter();
        commands.extend(replaced.map(|id| Command::SetState {
            id,
            state: InstanceState::Gone,
        }));
    }
    addresses.note(&beat.address, &beat.id);
    commands.push(Command::Register(instance));
    commands
}

pub(crate) fn freed(ownership: &ShardOwnership, shard: usize, handover: String) -> FreedShard {
    FreedShard {
        shard: shard as u16,
        fence: ownership.shards()[shard].fence,
        handover,
    }
}

/// Whether a server drains or has ended.
pub(crate) fn is_leaving(catalog: &Catalog, beat: &Heartbeat) -> bool {
    let known = catalog.instance(&beat.id);
    beat.draining || known.is_some_and(|instance| instance.state != InstanceState::Ready)
}

/// Whether a server must give its shards away: it leaves, or its zone is evacuated.
pub(crate) fn must_release(catalog: &Catalog, beat: &Heartbeat) -> bool {
    is_leaving(catalog, beat) || catalog.evacuated_zones().contains(&beat.zone)
}
