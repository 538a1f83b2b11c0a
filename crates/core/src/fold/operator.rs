//! Records written by operators: `Publish`, `Activate` and `Release`.

use std::sync::Arc;

use super::{ActivePreset, Place, Plan, PublishedPreset, Release, ServiceState, State};
use crate::code::Code;
use crate::ids::{Offset, Service};
use crate::preset::{Isolation, Preset, ServiceLimits};
use crate::record::ReleaseTarget;

/// Maximum number of releases that are kept; older ones are dropped.
const MAX_RELEASES: usize = 256;

impl State {
    pub(super) fn apply_publish(
        &mut self,
        offset: Offset,
        name: String,
        expected: u32,
        text: String,
    ) -> Result<(), Code> {
        let current = self
            .presets
            .get(&name)
            .map_or(0, |published| published.version);
        if current != expected {
            return Err(Code::VersionConflict);
        }
        let preset = Preset::parse(&text).map_err(|_| Code::InvalidPreset)?;
        if preset.name != name || !self.is_compatible(&preset) {
            return Err(Code::InvalidPreset);
        }
        let version = current + 1;
        let subject = format!("preset {name}");
        let published = PublishedPreset {
            version,
            preset: Arc::new(preset),
            text,
        };
        self.presets.insert(name, published);
        self.audit
            .record(offset, subject, "published", current, version);
        Ok(())
    }

    pub(super) fn apply_activate(
        &mut self,
        offset: Offset,
        name: &str,
        version: u32,
        expected: u32,
    ) -> Result<(), Code> {
        let count = self.active.as_ref().map_or(0, |active| active.count);
        if count != expected {
            return Err(Code::VersionConflict);
        }
        let published = self.presets.get(name).ok_or(Code::UnknownPreset)?;
        if published.version != version {
            return Err(Code::UnknownPreset);
        }
        let preset = Arc::clone(&published.preset);
        if !self.is_compatible(&preset) {
            return Err(Code::InvalidPreset);
        }
        self.intern_preset(&preset);
        let before = self
            .active
            .as_ref()
            .map(|active| active.preset.name.clone());
        self.active = Some(ActivePreset {
            count: count + 1,
            version,
            since: offset,
            preset,
        });
        self.grow_reservations();
        let before = before.unwrap_or_default();
        self.audit
            .record(offset, "preset in force".into(), "activated", before, name);
        Ok(())
    }

    pub(super) fn apply_release(
        &mut self,
        offset: Offset,
        released: ReleaseTarget,
    ) -> Result<(), Code> {
        let (known, after) = match &released {
            ReleaseTarget::Upstream(name) => (self.upstream_named(name).is_some(), name.clone()),
            ReleaseTarget::Domain(name) => (self.domain_named(name).is_some(), name.clone()),
        };
        if !known {
            return Err(Code::UnknownName);
        }
        self.releases.push_back(Release { offset, released });
        if self.releases.len() > MAX_RELEASES {
            self.releases.pop_front();
        }
        self.audit
            .record(offset, "release".into(), "operator", "", after);
        Ok(())
    }

    /// Whether known services keep their numbers of shards and do not lose `keep`.
    fn is_compatible(&self, preset: &Preset) -> bool {
        self.preserves_shard_counts(preset) && self.preserves_isolation(preset)
    }

    /// Whether each known service keeps its number of shards.
    ///
    /// With a different number, keys would map to other shards while their old
    /// owners still hold them.
    fn preserves_shard_counts(&self, preset: &Preset) -> bool {
        preset.services.iter().all(|service| {
            let known = self.service_named(&service.name);
            let places = known.map(|key| self.service(key).plan.places.len());
            places.is_none_or(|places| places == shard_count(service))
        })
    }

    /// Whether no service changes from `keep` back to `lapse`.
    ///
    /// An isolated failure domain might not learn of the change and keep its keys
    /// while other domains take them over.
    fn preserves_isolation(&self, preset: &Preset) -> bool {
        preset.services.iter().all(|service| {
            let known = self.service_named(&service.name);
            let keep_allowed = known.is_some_and(|key| self.service(key).keep_allowed);
            !keep_allowed || service.isolation == Isolation::Keep
        })
    }

    fn intern_preset(&mut self, preset: &Preset) {
        for club in &preset.clubs {
            self.intern_club(&club.name);
        }
        for service in &preset.services {
            let key = self.intern_service(service);
            let state = &mut self.services[usize::from(key.0)];
            state.keep_allowed |= service.isolation == Isolation::Keep;
        }
    }

    fn intern_service(&mut self, service: &ServiceLimits) -> Service {
        if let Some(key) = self.service_named(&service.name) {
            return key;
        }
        let places = vec![Place::default(); shard_count(service)];
        let plan = Plan { version: 0, places };
        let name = service.name.clone();
        self.services.push(ServiceState {
            name,
            plan,
            keep_allowed: false,
        });
        Service(self.services.len() as u16 - 1)
    }
}

fn shard_count(service: &ServiceLimits) -> usize {
    if service.keyed {
        usize::from(service.shards)
    } else {
        0
    }
}
