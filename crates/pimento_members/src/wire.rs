//! Checked conversions between domain types and their encoded forms.

use crate::{Contact, EncodedContact, EncodedInfo, ServiceLoad, VmInfo, message::EncodedService};
use std::net::{IpAddr, SocketAddr};

/// The number of bytes of an encoded port.
const PORT_LEN: usize = 2;

/// The latency unit of messages, in microseconds.
pub(crate) const LATENCY_UNIT_MICROS: u32 = 100;

/// Encodes the IP address bytes, followed by the port in big-endian order.
pub(crate) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes the output of [`encode_address`]; returns `None` for any other length.
pub(crate) fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let split = bytes.len().checked_sub(PORT_LEN)?;
    let (ip, port) = bytes.split_at(split);
    let ip: IpAddr = if let Ok(v4) = <[u8; 4]>::try_from(ip) {
        v4.into()
    } else {
        <[u8; 16]>::try_from(ip).ok()?.into()
    };
    let port = u16::from_be_bytes(port.try_into().ok()?);
    Some(SocketAddr::new(ip, port))
}

fn encode_optional(address: Option<SocketAddr>) -> Vec<u8> {
    address.map(encode_address).unwrap_or_default()
}

pub(crate) fn encode_info(info: &VmInfo) -> EncodedInfo {
    EncodedInfo {
        vm: info.vm.to_string(),
        region: info.region.to_string(),
        domain: info.domain.to_string(),
        incarnation: info.incarnation,
        link: encode_address(info.link),
        callers: encode_optional(info.callers),
        forwards: encode_optional(info.forwards),
        targets: encode_optional(info.targets),
    }
}

pub(crate) fn decode_info(encoded: &EncodedInfo) -> Option<VmInfo> {
    Some(VmInfo {
        vm: encoded.vm.parse().ok()?,
        region: encoded.region.parse().ok()?,
        domain: encoded.domain.parse().ok()?,
        incarnation: encoded.incarnation,
        link: decode_address(&encoded.link)?,
        callers: decode_address(&encoded.callers),
        forwards: decode_address(&encoded.forwards),
        targets: decode_address(&encoded.targets),
    })
}

pub(crate) fn encode_contact(contact: &Contact) -> EncodedContact {
    EncodedContact {
        vm: contact.vm.to_string(),
        link: encode_address(contact.link),
        callers: encode_optional(contact.callers),
        forwards: encode_optional(contact.forwards),
    }
}

pub(crate) fn decode_contact(encoded: &EncodedContact) -> Option<Contact> {
    Some(Contact {
        vm: encoded.vm.parse().ok()?,
        link: decode_address(&encoded.link)?,
        callers: decode_address(&encoded.callers),
        forwards: decode_address(&encoded.forwards),
    })
}

pub(crate) fn encode_service(load: &ServiceLoad) -> EncodedService {
    EncodedService {
        name: load.service.to_string(),
        slots: load.slots,
        cold: load.cold,
    }
}

/// Decodes a service with its slots; the other fields are zero until load values
/// arrive.
pub(crate) fn decode_service(encoded: &EncodedService) -> Option<ServiceLoad> {
    Some(ServiceLoad {
        service: encoded.name.parse().ok()?,
        slots: encoded.slots,
        free: 0,
        queued: 0,
        latency: 0,
        cold: encoded.cold,
    })
}

/// The frequently changing values of a load: free slots, queued requests and
/// latency.
pub(crate) fn load_values(load: &ServiceLoad) -> [u32; 3] {
    [load.free, load.queued, load.latency / LATENCY_UNIT_MICROS]
}

/// Sets the values of a load from [`load_values`]; missing ones become zero.
pub(crate) fn set_load_values(load: &mut ServiceLoad, values: &[u32]) {
    let value = |i: usize| values.get(i).copied().unwrap_or(0);
    load.free = value(0).min(load.slots);
    load.queued = value(1);
    load.latency = value(2).saturating_mul(LATENCY_UNIT_MICROS);
}
