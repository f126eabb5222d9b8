//! Snapshots of the replicated state: a header frame, followed by frames with columns of shards. Frames
//! have a bounded number of shards, so that none exceeds the limit on the size of a frame.

use std::collections::BTreeMap;
use std::io::Cursor;

use grebepin_schema::framing::{read_frame, write_frame, FrameError};
use grebepin_schema::{
    Epoch, GroupId, OwnershipChunk, OwnershipHeader, ServerRecord, ServerSlot, ServiceName,
    ServiceRecord, ShardId,
};

use super::servers::{ServerEntry, ServerIndex, Servers};
use super::services::{Previous, ServiceState, ShardState};
use super::{Changes, OwnershipState};

/// Most shards in one frame of a snapshot.
const SHARDS_PER_CHUNK: usize = 65_536;

/// Error in a snapshot that was not restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// A frame is truncated or does not decode.
    #[error("snapshot frame does not decode: {0}")]
    Frame(#[from] FrameError),
    /// The snapshot belongs to another control group.
    #[error("snapshot of group {}", found.0)]
    OtherGroup {
        /// Group of the snapshot.
        found: GroupId,
    },
    /// The frames are inconsistent with each other.
    #[error("snapshot of service {} is inconsistent", service.as_str())]
    Inconsistent {
        /// Service whose frames are inconsistent.
        service: ServiceName,
    },
}

impl OwnershipState {
    /// Encodes the whole state; equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        write(&mut bytes, &self.header());
        for (name, service) in &self.services {
            for (chunk, shards) in service.shards.chunks(SHARDS_PER_CHUNK).enumerate() {
                let first = ShardId((chunk * SHARDS_PER_CHUNK) as u32);
                write(&mut bytes, &columns(name, first, shards));
            }
        }
        bytes
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// The snapshot is damaged or belongs to another group; the state is then unchanged.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let mut reader = Cursor::new(bytes);
        let header: OwnershipHeader = read_frame(&mut reader)?;
        if header.group != self.group {
            return Err(RestoreError::OtherGroup {
                found: header.group,
            });
        }
        let mut next = Self::with_guards(self.group, self.guards);
        next.restore_header(header)?;
        let mut filled = BTreeMap::new();
        while (reader.position() as usize) < bytes.len() {
            let chunk: OwnershipChunk = read_frame(&mut reader)?;
            next.restore_chunk(&chunk, &mut filled)?;
        }
        next.check_filled(&filled)?;
        *self = next;
        Ok(())
    }

    fn header(&self) -> OwnershipHeader {
        let slots = self.servers.slots().iter();
        let services = self.services.values();
        OwnershipHeader {
            group: self.group,
            applied: self.applied,
            table_index: self.table_index,
            bundle: self.bundle.clone(),
            accepted: self.accepted.clone(),
            servers: slots.map(|slot| slot_record(slot.as_ref())).collect(),
            services: services
                .map(|service| ServiceRecord {
                    service: service.service.clone(),
                    servers: service.servers.iter().map(|server| server.0).collect(),
                    removed: service.removed,
                })
                .collect(),
        }
    }

    fn restore_header(&mut self, header: OwnershipHeader) -> Result<(), RestoreError> {
        self.applied = header.applied;
        self.table_index = header.table_index;
        self.bundle = header.bundle;
        self.accepted = header.accepted;
        let slots = header.servers.into_iter();
        self.servers = Servers::from_slots(slots.map(|slot| slot.server.map(entry)).collect());
        for record in header.services {
            self.restore_service(record)?;
        }
        self.changes = Changes::default();
        self.changes.reset(header.applied);
        Ok(())
    }

    fn restore_service(&mut self, record: ServiceRecord) -> Result<(), RestoreError> {
        let mut state = ServiceState::new(record.service);
        state.removed = record.removed;
        for (position, slot) in record.servers.into_iter().enumerate() {
            let index = ServerIndex(slot);
            if self.servers.try_get(index).is_none() {
                return Err(RestoreError::Inconsistent {
                    service: state.service.name,
                });
            }
            self.servers.get_mut(index).position = position as u32;
            state.servers.push(index);
        }
        self.services.insert(state.service.name.clone(), state);
        Ok(())
    }

    /// Restores the next shards of a service; `filled` counts those restored from earlier frames.
    fn restore_chunk(
        &mut self,
        chunk: &OwnershipChunk,
        filled: &mut BTreeMap<ServiceName, usize>,
    ) -> Result<(), RestoreError> {
        let next = filled.entry(chunk.service.clone()).or_default();
        if chunk.first.0 as usize != *next || chunk.epochs.is_empty() {
            return Err(RestoreError::Inconsistent {
                service: chunk.service.clone(),
            });
        }
        *next += chunk.epochs.len();
        for offset in 0..chunk.epochs.len() {
            let shard = ShardId(chunk.first.0.saturating_add(offset as u32));
            let restored = self.shard_of_chunk(chunk, offset, shard);
            let inconsistent = || RestoreError::Inconsistent {
                service: chunk.service.clone(),
            };
            let state = restored.ok_or_else(inconsistent)?;
            let service = self
                .services
                .get_mut(&chunk.service)
                .ok_or_else(inconsistent)?;
            service.shards[shard.0 as usize] = state;
            if let Some(owner) = state.owner {
                service.unowned.remove(&shard);
                self.servers.get_mut(owner).add(shard, state.epoch);
            }
            if let Some(previous) = state.previous {
                self.servers.get_mut(previous.server).previous_of += 1;
            }
        }
        Ok(())
    }

    fn check_filled(&self, filled: &BTreeMap<ServiceName, usize>) -> Result<(), RestoreError> {
        for (name, service) in &self.services {
            if filled.get(name) != Some(&service.shards.len()) {
                return Err(RestoreError::Inconsistent {
                    service: name.clone(),
                });
            }
        }
        Ok(())
    }

    /// Reads one row of the columns; `None` if it refers to a shard or server that doesn't exist.
    fn shard_of_chunk(
        &self,
        chunk: &OwnershipChunk,
        offset: usize,
        shard: ShardId,
    ) -> Option<ShardState> {
        self.services.get(&chunk.service)?.shard(shard)?;
        let owner = self.slot_of_column(*chunk.owners.get(offset)?)?;
        let server = self.slot_of_column(*chunk.previous_owners.get(offset)?)?;
        let epoch = *chunk.previous_epochs.get(offset)?;
        let released = *chunk.previous_released.get(offset)?;
        Some(ShardState {
            owner,
            epoch: *chunk.epochs.get(offset)?,
            previous: server.map(|server| Previous {
                server,
                epoch,
                released,
            }),
        })
    }

    /// The slot in a column. The outer `None` is an invalid slot, the inner `None` stands for no server.
    fn slot_of_column(&self, column: u32) -> Option<Option<ServerIndex>> {
        let Some(slot) = column.checked_sub(1) else {
            return Some(None);
        };
        self.servers.slots().get(slot as usize)?.as_ref()?;
        Some(Some(ServerIndex(slot)))
    }
}

fn write<T: serde::Serialize>(bytes: &mut Vec<u8>, frame: &T) {
    write_frame(bytes, frame).expect("a frame of bounded size is written to memory");
}

fn slot_record(slot: Option<&ServerEntry>) -> ServerSlot {
    ServerSlot {
        server: slot.map(|entry| ServerRecord {
            service: entry.service.clone(),
            server: entry.server.clone(),
            standing: entry.standing,
            origin: entry.origin,
            boot: entry.boot,
            removed: entry.removed,
        }),
    }
}

fn entry(record: ServerRecord) -> ServerEntry {
    let mut entry = ServerEntry::new(record.service, record.server);
    entry.standing = record.standing;
    entry.origin = record.origin;
    entry.boot = record.boot;
    entry.removed = record.removed;
    entry
}

fn columns(service: &ServiceName, first: ShardId, shards: &[ShardState]) -> OwnershipChunk {
    let slot_column = |slot: Option<ServerIndex>| slot.map_or(0, |slot| slot.0 + 1);
    let previous = |shard: &ShardState| shard.previous;
    OwnershipChunk {
        service: service.clone(),
        first,
        epochs: shards.iter().map(|shard| shard.epoch).collect(),
        owners: shards
            .iter()
            .map(|shard| slot_column(shard.owner))
            .collect(),
        previous_epochs: shards
            .iter()
            .map(|shard| previous(shard).map_or(Epoch(0), |previous| previous.epoch))
            .collect(),
        previous_owners: shards
            .iter()
            .map(|shard| slot_column(previous(shard).map(|previous| previous.server)))
            .collect(),
        previous_released: shards
            .iter()
            .map(|shard| previous(shard).is_some_and(|previous| previous.released))
            .collect(),
    }
}
