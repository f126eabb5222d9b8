//! Acceptance of bundles, with a compare-and-set on the parent's digest.
//!
//! Invariant: the version in force only grows, each version is accepted with one digest, and a resend
//! of an accepted bundle gets the same record as the first submission.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{
    AcceptBundle, AcceptedBundle, Bundle, BundleRecord, Digest, LogIndex, ServerName,
    ServerStanding, Service, ServiceName, StandingOrigin,
};

use super::servers::{ServerEntry, ServerIndex};
use super::services::ServiceState;
use super::OwnershipState;
use crate::applied::{BundleOutcome, BundleRefusal};
use crate::guards::Guard;

/// Records of accepted bundles kept, so that a late resend still gets the same answer.
const ACCEPTED_KEPT: usize = 1_024;

impl OwnershipState {
    pub(super) fn accept_bundle(
        &mut self,
        index: LogIndex,
        accept: &AcceptBundle,
    ) -> BundleOutcome {
        match self.check_bundle(&accept.signed.bundle, &accept.digest) {
            Err(refusal) => return BundleOutcome::Refused(refusal),
            Ok(Some(record)) => {
                return BundleOutcome::Accepted {
                    record,
                    repeated: true,
                }
            }
            Ok(None) => {}
        }
        let record = BundleRecord {
            version: accept.signed.bundle.version,
            digest: accept.digest.clone(),
            index,
        };
        self.install(&accept.signed.bundle);
        self.bundle = Some(AcceptedBundle {
            signed: accept.signed.clone(),
            record: record.clone(),
        });
        self.accepted.push(record.clone());
        let surplus = self.accepted.len().saturating_sub(ACCEPTED_KEPT);
        self.accepted.drain(..surplus);
        self.table_index = index;
        self.changes.reset(index);
        BundleOutcome::Accepted {
            record,
            repeated: false,
        }
    }

    /// Checks whether a bundle can be accepted now: `Ok(None)` if it can, `Ok(Some(_))` if it was
    /// accepted before. Signatures are not checked.
    ///
    /// # Errors
    /// The reason why the bundle would be refused.
    pub fn check_bundle(
        &self,
        bundle: &Bundle,
        digest: &Digest,
    ) -> Result<Option<BundleRecord>, BundleRefusal> {
        let repeated = self.accepted.iter().find(|known| known.digest == *digest);
        if let Some(record) = repeated {
            return Ok(Some(record.clone()));
        }
        self.check_succession(bundle)?;
        self.check_names(bundle)?;
        Ok(None)
    }

    fn check_succession(&self, bundle: &Bundle) -> Result<(), BundleRefusal> {
        let in_force = self.bundle_record();
        if !self.guards.is_enabled(Guard::CompareAndSet) {
            return Ok(());
        }
        let version = bundle.version;
        if let Some(same) = self.accepted.iter().find(|known| known.version == version) {
            return Err(BundleRefusal::VersionConflict {
                accepted: same.clone(),
            });
        }
        if let Some(accepted) = in_force.filter(|accepted| version < accepted.version) {
            return Err(BundleRefusal::OlderVersion {
                version,
                accepted: accepted.clone(),
            });
        }
        if bundle.parent.as_ref() != in_force.map(|accepted| &accepted.digest) {
            return Err(BundleRefusal::ParentMismatch {
                accepted: in_force.cloned(),
            });
        }
        Ok(())
    }

    fn check_names(&self, bundle: &Bundle) -> Result<(), BundleRefusal> {
        if let Some(accepted) = self.bundle().map(|signed| &signed.bundle.deployment) {
            if bundle.deployment != *accepted {
                return Err(BundleRefusal::DeploymentChanged {
                    accepted: accepted.clone(),
                });
            }
        }
        let mut services = BTreeSet::new();
        let mut servers = BTreeSet::new();
        for service in &bundle.services {
            if !services.insert(&service.name) {
                return Err(BundleRefusal::DuplicateService {
                    service: service.name.clone(),
                });
            }
            self.check_shards(service)?;
            for server in &service.servers {
                if !servers.insert(&server.name) {
                    return Err(BundleRefusal::DuplicateServer {
                        server: server.name.clone(),
                    });
                }
                self.check_server(&server.name, &service.name)?;
            }
        }
        Ok(())
    }

    fn check_shards(&self, service: &Service) -> Result<(), BundleRefusal> {
        match self.services.get(&service.name) {
            Some(known) if known.service.shards != service.shards => {
                Err(BundleRefusal::ShardCountChanged {
                    service: service.name.clone(),
                    shards: known.service.shards.get(),
                })
            }
            _ => Ok(()),
        }
    }

    /// A server can change its service only when no shard of the old service refers to it.
    fn check_server(&self, name: &ServerName, service: &ServiceName) -> Result<(), BundleRefusal> {
        let Some((_, entry)) = self.servers.by_name(name) else {
            return Ok(());
        };
        let referred = !entry.owned.is_empty() || entry.previous_of > 0;
        if entry.service != *service && referred {
            return Err(BundleRefusal::ServerOfOtherService {
                server: name.clone(),
                service: entry.service.clone(),
            });
        }
        Ok(())
    }

    fn install(&mut self, bundle: &Bundle) {
        for service in self.services.values_mut() {
            service.removed = true;
        }
        let indexes: Vec<_> = self.servers.iter().map(|(index, _)| index).collect();
        let was_removed: BTreeMap<ServerIndex, bool> = indexes
            .into_iter()
            .map(|index| {
                let entry = self.servers.get_mut(index);
                (index, std::mem::replace(&mut entry.removed, true))
            })
            .collect();
        for service in &bundle.services {
            self.install_service(service, &was_removed);
        }
        self.drop_removed_services();
        self.servers.free_unreferenced();
        self.append_removed_owners();
    }

    fn install_service(&mut self, service: &Service, was_removed: &BTreeMap<ServerIndex, bool>) {
        let mut listed = Vec::with_capacity(service.servers.len());
        for server in &service.servers {
            let index = match self.servers.find(&server.name) {
                Some(index) => index,
                None => {
                    let entry = ServerEntry::new(service.name.clone(), server.clone());
                    self.servers.insert(entry)
                }
            };
            let entry = self.servers.get_mut(index);
            entry.server = server.clone();
            entry.service = service.name.clone();
            entry.removed = false;
            entry.position = listed.len() as u32;
            if was_removed.get(&index).copied().unwrap_or(false) {
                entry.standing = ServerStanding::Active;
                entry.origin = StandingOrigin::Server;
            }
            listed.push(index);
        }
        let state = self
            .services
            .entry(service.name.clone())
            .or_insert_with(|| ServiceState::new(service.clone()));
        state.service = service.clone();
        state.removed = false;
        state.servers = listed;
    }

    /// Drops services removed from the bundle whose shards all have no owner.
    fn drop_removed_services(&mut self) {
        let servers = &mut self.servers;
        self.services.retain(|_, service| {
            if !service.removed || service.unowned.len() < service.shards.len() {
                return true;
            }
            for previous in service.shards.iter().filter_map(|shard| shard.previous) {
                servers.get_mut(previous.server).previous_of -= 1;
            }
            false
        });
    }

    /// Appends removed servers that still own shards to the bundle's servers.
    fn append_removed_owners(&mut self) {
        for service in self.services.values_mut().filter(|service| service.removed) {
            service.servers.clear();
        }
        let indexes: Vec<_> = self.servers.iter().map(|(index, _)| index).collect();
        for index in indexes {
            let entry = self.servers.get_mut(index);
            if !entry.removed || entry.owned.is_empty() {
                continue;
            }
            if let Some(service) = self.services.get_mut(&entry.service) {
                entry.position = service.servers.len() as u32;
                service.servers.push(index);
            }
        }
    }
}
