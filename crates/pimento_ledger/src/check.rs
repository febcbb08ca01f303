//! Checking operations before they have any effect.

use crate::{
    ClaimKey, Field, Holder, MAX_RESOURCE_NAME_BYTES,
    claims::{Id, Key, Owner, Print},
    places::ResourceId,
};
use pimento_core::ServiceId;
use uuid::{Uuid, Variant};

/// The version of the UUIDs that keys are.
const KEY_VERSION: usize = 7;

pub(crate) fn check_slot(slot: Option<&ClaimKey>) -> Result<Id, Field> {
    let slot = slot.ok_or(Field::Key)?;
    let tenant = slot.tenant.parse().ok().ok_or(Field::Tenant)?;
    let service = slot.service.parse().ok().ok_or(Field::Service)?;
    let key = check_key(&slot.key).ok_or(Field::Key)?;
    Ok(Id {
        key,
        tenant,
        service,
    })
}

fn check_key(bytes: &[u8]) -> Option<Key> {
    let uuid = Uuid::from_slice(bytes).ok()?;
    let valid = uuid.get_version_num() == KEY_VERSION && uuid.get_variant() == Variant::RFC4122;
    valid.then(|| uuid.into_bytes())
}

pub(crate) fn check_print(bytes: &[u8]) -> Result<Print, Field> {
    bytes.try_into().ok().ok_or(Field::Fingerprint)
}

pub(crate) fn check_holder(holder: Option<&Holder>) -> Result<Owner, Field> {
    let holder = holder.ok_or(Field::Holder)?;
    Ok(Owner {
        vm: holder.vm.parse().ok().ok_or(Field::Holder)?,
        incarnation: holder.incarnation,
        attempt: holder.attempt,
    })
}

pub(crate) fn check_resource(service: ServiceId, name: &str) -> Result<ResourceId, Field> {
    if name.is_empty() || name.len() > MAX_RESOURCE_NAME_BYTES {
        return Err(Field::Resource);
    }
    let name = name.into();
    Ok(ResourceId { service, name })
}
