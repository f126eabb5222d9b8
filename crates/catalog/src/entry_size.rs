//! Estimated size of an entry in memory, for those who bound what they keep.

use std::mem::size_of;

use crate::command::{Command, Entry, FreedShard};
use crate::instance::Instance;
use crate::item::{Item, ItemChange, ItemContent, Removal, WeightedService};

impl Entry {
    /// Returns the estimated size of the entry in memory, in bytes, without what its allocator adds.
    pub fn memory_size(&self) -> usize {
        let commands = self.commands.iter().map(command_size);
        size_of::<Self>() + commands.sum::<usize>()
    }
}

fn command_size(command: &Command) -> usize {
    let referenced = match command {
        Command::ChangeItems(change) => change_size(change),
        Command::Register(instance) => instance_size(instance),
        Command::SetState { id, .. }
        | Command::RecordLeave { id }
        | Command::Suspend { id }
        | Command::RecordGrant { id, .. } => id.name().len(),
        Command::FreeShards { id, shards, .. } => {
            let shards = shards
                .iter()
                .map(|shard| size_of::<FreedShard>() + shard.handover.len());
            id.name().len() + shards.sum::<usize>()
        }
        Command::AssignShards { id, shards, .. } => {
            id.name().len() + shards.len() * size_of::<u16>()
        }
        Command::SetEvacuation { zone, .. } => zone.len(),
        Command::SetQuarantine { .. } => 0,
    };
    size_of::<Command>() + referenced
}

fn change_size(change: &ItemChange) -> usize {
    let upserts = change.upserts.iter().map(item_size);
    let removals = change.removals.iter();
    let removals = removals.map(|one| size_of::<Removal>() + one.key.name.len());
    upserts.sum::<usize>() + removals.sum::<usize>()
}

fn item_size(item: &Item) -> usize {
    let content = match &item.content {
        ItemContent::Route(route) => {
            let targets = route.targets.iter();
            let targets = targets.map(|one| size_of::<WeightedService>() + one.service.len());
            route.host.len() + route.prefix.len() + targets.sum::<usize>()
        }
        ItemContent::Limits(_) | ItemContent::Service(_) => 0,
    };
    size_of::<Item>() + item.name.len() + item.document.len() + content
}

fn instance_size(instance: &Instance) -> usize {
    let texts = [&instance.service, &instance.address, &instance.zone];
    let texts: usize = texts.into_iter().map(String::len).sum();
    instance.id.name().len() + texts
}
