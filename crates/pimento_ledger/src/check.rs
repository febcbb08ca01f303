//! Validation of the fields of operations, before the operations take effect.

use crate::{
    ClaimKey, Field, Holder, MAX_RESOURCE_NAME_BYTES,
    claims::{ClaimHolder, ClaimId, Fingerprint, KeyBytes},
    reservations::ResourceId,
};
use pimento_core::ServiceId;
use uuid::{Uuid, Variant};

/// Required version of the UUIDs that are used as keys.
const KEY_UUID_VERSION: usize = 7;

pub(crate) fn check_claim_key(claim_key: Option<&ClaimKey>) -> Result<ClaimId, Field> {
    let claim_key = claim_key.ok_or(Field::Key)?;
    let tenant = claim_key.tenant.parse().ok().ok_or(Field::Tenant)?;
    let service = claim_key.service.parse().ok().ok_or(Field::Service)?;
    let key = check_uuid(&claim_key.key).ok_or(Field::Key)?;
    Ok(ClaimId {
        key,
        tenant,
        service,
    })
}

fn check_uuid(bytes: &[u8]) -> Option<KeyBytes> {
    let uuid = Uuid::from_slice(bytes).ok()?;
    let valid =
        uuid.get_version_num() == KEY_UUID_VERSION && uuid.get_variant() == Variant::RFC4122;
    valid.then(|| uuid.into_bytes())
}

pub(crate) fn check_fingerprint(bytes: &[u8]) -> Result<Fingerprint, Field> {
    bytes.try_into().ok().ok_or(Field::Fingerprint)
}

pub(crate) fn check_holder(holder: Option<&Holder>) -> Result<ClaimHolder, Field> {
    let holder = holder.ok_or(Field::Holder)?;
    Ok(ClaimHolder {
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
