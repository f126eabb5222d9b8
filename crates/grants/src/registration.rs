//! Registration of servers from their heartbeats, and whether a server has to give up its shards.

use grebepin_catalog::{
    Catalog, Command, FreedShard, Instance, InstanceId, InstanceState, ShardOwnership,
};

use crate::heartbeat::Heartbeat;

/// Commands that register the server and suspend those that it replaces at its address. These may return: a heartbeat
/// does not prove that they have ended.
pub(crate) fn registration_commands(
    catalog: &Catalog,
    heartbeat: &Heartbeat,
    replaced: Vec<InstanceId>,
) -> Vec<Command> {
    let state = match heartbeat.draining {
        true => InstanceState::Draining,
        false => InstanceState::Ready,
    };
    let known = catalog.instance(&heartbeat.id);
    let known = known.filter(|_| !catalog.is_suspended(&heartbeat.id));
    let instance = Instance {
        id: heartbeat.id.clone(),
        service: heartbeat.service.clone(),
        address: heartbeat.address.clone(),
        zone: heartbeat.zone.clone(),
        slots: heartbeat.slots,
        state: known.map_or(state, |known| known.state.max(state)),
        is_cold: !heartbeat.warmup_left.is_zero()
            && catalog.warmup_rate(&heartbeat.service).is_some(),
    };
    let mut commands = Vec::new();
    if known == Some(&instance) {
        return commands;
    }
    commands.extend(replaced.into_iter().map(|id| Command::Suspend { id }));
    commands.push(Command::Register(instance));
    commands
}

pub(crate) fn freed_shard(
    ownership: &ShardOwnership,
    shard: usize,
    handover: String,
) -> FreedShard {
    FreedShard {
        shard: shard as u16,
        fence: ownership.shards()[shard].fence,
        handover,
    }
}

/// Whether a server is draining or gone.
pub(crate) fn is_leaving(catalog: &Catalog, heartbeat: &Heartbeat) -> bool {
    let known = catalog.instance(&heartbeat.id);
    let known = known.filter(|_| !catalog.is_suspended(&heartbeat.id));
    heartbeat.draining
        || known.is_some_and(|instance| instance.state != InstanceState::Ready)
        || (known.is_none() && catalog.left_early(&heartbeat.id))
}

/// Whether a server must give up its shards because it is leaving or because its zone is evacuated.
pub(crate) fn must_release(catalog: &Catalog, heartbeat: &Heartbeat) -> bool {
    is_leaving(catalog, heartbeat) || catalog.evacuated_zones().contains(&heartbeat.zone)
}
