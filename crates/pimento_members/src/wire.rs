//! Checked conversions between names and addresses and their encoded forms.

use crate::{Contact, ContactText, Info, InfoText, ServiceLoad, message::ServiceText};
use std::net::{IpAddr, SocketAddr};

/// The bytes of a port.
const PORT_LEN: usize = 2;

/// The latency unit of messages, in microseconds.
pub(crate) const LATENCY_UNIT: u32 = 100;

/// The address bytes, then the port.
pub(crate) fn encode(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// The address that [`encode`] made, if the bytes have the length of one.
pub(crate) fn decode(bytes: &[u8]) -> Option<SocketAddr> {
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

fn encode_option(address: Option<SocketAddr>) -> Vec<u8> {
    address.map(encode).unwrap_or_default()
}

pub(crate) fn info_text(info: &Info) -> InfoText {
    InfoText {
        vm: info.vm.to_string(),
        region: info.region.to_string(),
        domain: info.domain.to_string(),
        incarnation: info.incarnation,
        link: encode(info.link),
        callers: encode_option(info.callers),
        forwards: encode_option(info.forwards),
        targets: encode_option(info.targets),
    }
}

pub(crate) fn info(text: &InfoText) -> Option<Info> {
    Some(Info {
        vm: text.vm.parse().ok()?,
        region: text.region.parse().ok()?,
        domain: text.domain.parse().ok()?,
        incarnation: text.incarnation,
        link: decode(&text.link)?,
        callers: decode(&text.callers),
        forwards: decode(&text.forwards),
        targets: decode(&text.targets),
    })
}

pub(crate) fn contact_text(contact: &Contact) -> ContactText {
    ContactText {
        vm: contact.vm.to_string(),
        link: encode(contact.link),
        callers: encode_option(contact.callers),
        forwards: encode_option(contact.forwards),
    }
}

pub(crate) fn contact(text: &ContactText) -> Option<Contact> {
    Some(Contact {
        vm: text.vm.parse().ok()?,
        link: decode(&text.link)?,
        callers: decode(&text.callers),
        forwards: decode(&text.forwards),
    })
}

pub(crate) fn service_text(load: &ServiceLoad) -> ServiceText {
    ServiceText {
        name: load.service.to_string(),
        slots: load.slots,
        cold: load.cold,
    }
}

/// The service with its slots; the rest is zero until its numbers come.
pub(crate) fn service(text: &ServiceText) -> Option<ServiceLoad> {
    Some(ServiceLoad {
        service: text.name.parse().ok()?,
        slots: text.slots,
        free: 0,
        queued: 0,
        latency: 0,
        cold: text.cold,
    })
}

/// The numbers of a load, which change all the time.
pub(crate) fn numbers(load: &ServiceLoad) -> [u32; 3] {
    [load.free, load.queued, load.latency / LATENCY_UNIT]
}

/// Takes the numbers of a load.
pub(crate) fn set_numbers(load: &mut ServiceLoad, numbers: &[u32]) {
    let at = |i: usize| numbers.get(i).copied().unwrap_or(0);
    load.free = at(0).min(load.slots);
    load.queued = at(1);
    load.latency = at(2).saturating_mul(LATENCY_UNIT);
}
