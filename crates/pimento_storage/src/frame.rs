//! The records of a file and their checksums.
//!
//! A record is the payload's length, a checksum of the length, a checksum of
//! the payload (4 bytes each, little-endian), the payload, and a closing byte
//! that isn't zero. So a torn record, cut short or ending in zeros, can be told
//! from one that was whole and has been damaged since.

use bytes::Bytes;

/// The first bytes of a file, with the version of its format.
pub(crate) const MAGIC: &[u8; 8] = b"PIMENTO1";
/// The bytes before a payload.
const HEAD: usize = 12;
/// The byte after a payload.
const CLOSE: u8 = 0xA5;

/// What was read from a file.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Parsed {
    pub records: Vec<Bytes>,
    /// The length of the whole records, in bytes.
    pub len: usize,
}

/// What stands at an offset.
enum Found {
    Whole(Bytes),
    /// A whole payload, and then zeros in place of the closing byte.
    Unclosed(Bytes),
    Torn,
}

/// A whole record was damaged at an offset in bytes.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Damage {
    pub offset: usize,
    pub fault: &'static str,
}

/// Appends a record.
pub(crate) fn write(out: &mut Vec<u8>, payload: &[u8]) {
    let len = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    out.extend_from_slice(&len);
    out.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    out.extend_from_slice(payload);
    out.push(CLOSE);
}

/// Reads all records; a torn one at the end is left out.
pub(crate) fn parse(data: &Bytes) -> Result<Parsed, Damage> {
    if !data.starts_with(MAGIC) {
        let fault = "not a log of this format";
        return Err(Damage { offset: 0, fault });
    }
    let mut parsed = Parsed {
        records: Vec::new(),
        len: MAGIC.len(),
    };
    while parsed.len < data.len() {
        let (payload, last) = match record(data, parsed.len)? {
            Found::Whole(payload) => (payload, false),
            Found::Unclosed(payload) => (payload, true),
            Found::Torn => break,
        };
        parsed.len += HEAD + payload.len() + 1;
        parsed.records.push(payload);
        if last {
            break;
        }
    }
    Ok(parsed)
}

/// Reads the record at an offset.
fn record(data: &Bytes, at: usize) -> Result<Found, Damage> {
    let damage = |fault| Damage { offset: at, fault };
    let rest = &data[at..];
    // No whole record ends in zeros, so all that follows was never synced.
    let torn = rest.iter().all(|b| *b == 0) || rest.len() < HEAD;
    if torn {
        return Ok(Found::Torn);
    }
    let len = word(rest, 0);
    if crc32fast::hash(&len.to_le_bytes()) != word(rest, 4) {
        let fault = damage("the checksum of the length differs");
        return torn_or(&rest[8..], fault);
    }
    let end = HEAD + len as usize;
    if rest.len() <= end {
        return Ok(Found::Torn);
    }
    if crc32fast::hash(&rest[HEAD..end]) != word(rest, 8) {
        let fault = damage("the checksum of the record differs");
        return torn_or(&rest[end - 1..], fault);
    }
    let payload = data.slice(at + HEAD..at + end);
    if rest[end] == CLOSE {
        Ok(Found::Whole(payload))
    } else if rest[end..].iter().all(|b| *b == 0) {
        Ok(Found::Unclosed(payload))
    } else {
        Err(damage("the closing byte of the record differs"))
    }
}

/// A damaged record is torn if the file ends in zeros from inside it on, more
/// than one changed byte can make, since a whole record ends in [`CLOSE`].
fn torn_or(tail: &[u8], damage: Damage) -> Result<Found, Damage> {
    let torn = tail.iter().all(|b| *b == 0);
    if torn { Ok(Found::Torn) } else { Err(damage) }
}

/// Reads four bytes of a head.
fn word(data: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&data[at..at + 4]);
    u32::from_le_bytes(bytes)
}
