//! The encoding of records in a file, with checksums.
//!
//! A record is the payload's length, a checksum of the length, a checksum of
//! the payload (4 bytes each, little-endian), the payload, and an end marker
//! that isn't zero. So a torn record, which is cut short or ends in zeros, can
//! be distinguished from a complete record that was damaged later.

use bytes::Bytes;

/// The first bytes of a file, with the version of its format.
pub(crate) const MAGIC: &[u8; 8] = b"PIMENTO1";
/// The size of the header before a payload.
const HEADER_BYTES: usize = 12;
/// The byte after a payload, not zero.
const END_MARKER: u8 = 0xA5;

/// The records of a file.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Parsed {
    pub records: Vec<Bytes>,
    /// The size of the file up to the end of the last complete record.
    pub valid_bytes: usize,
}

/// The result of parsing one record.
enum Frame {
    Complete(Bytes),
    /// A complete payload, followed by zeros instead of the end marker.
    MissingMarker(Bytes),
    Torn,
}

/// A record that was written completely was damaged later.
#[derive(Debug, Eq, PartialEq)]
pub(crate) struct Damage {
    /// Where the record begins, in bytes.
    pub offset: usize,
    pub reason: &'static str,
}

/// Appends an encoded record.
pub(crate) fn append_record(out: &mut Vec<u8>, payload: &[u8]) {
    let len = u32::try_from(payload.len())
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    out.extend_from_slice(&len);
    out.extend_from_slice(&crc32fast::hash(&len).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    out.extend_from_slice(payload);
    out.push(END_MARKER);
}

/// Parses all records, without a torn one at the end.
pub(crate) fn parse(data: &Bytes) -> Result<Parsed, Damage> {
    if !data.starts_with(MAGIC) {
        let reason = "not a log of this format";
        return Err(Damage { offset: 0, reason });
    }
    let mut parsed = Parsed {
        records: Vec::new(),
        valid_bytes: MAGIC.len(),
    };
    while parsed.valid_bytes < data.len() {
        let (payload, last) = match parse_record(data, parsed.valid_bytes)? {
            Frame::Complete(payload) => (payload, false),
            Frame::MissingMarker(payload) => (payload, true),
            Frame::Torn => break,
        };
        parsed.valid_bytes += HEADER_BYTES + payload.len() + 1;
        parsed.records.push(payload);
        if last {
            break;
        }
    }
    Ok(parsed)
}

/// Parses the record at an offset.
fn parse_record(data: &Bytes, at: usize) -> Result<Frame, Damage> {
    let damage = |reason| Damage { offset: at, reason };
    let rest = &data[at..];
    // Complete records end in a nonzero marker, so a tail of zeros was never
    // synced.
    let torn = rest.iter().all(|b| *b == 0) || rest.len() < HEADER_BYTES;
    if torn {
        return Ok(Frame::Torn);
    }
    let len = read_u32(rest, 0);
    if crc32fast::hash(&len.to_le_bytes()) != read_u32(rest, 4) {
        let damage = damage("the checksum of the length differs");
        return torn_or_damaged(&rest[8..], damage);
    }
    let end = HEADER_BYTES + len as usize;
    if rest.len() <= end {
        return Ok(Frame::Torn);
    }
    if crc32fast::hash(&rest[HEADER_BYTES..end]) != read_u32(rest, 8) {
        let damage = damage("the checksum of the record differs");
        return torn_or_damaged(&rest[end - 1..], damage);
    }
    let payload = data.slice(at + HEADER_BYTES..at + end);
    if rest[end] == END_MARKER {
        Ok(Frame::Complete(payload))
    } else if rest[end..].iter().all(|b| *b == 0) {
        Ok(Frame::MissingMarker(payload))
    } else {
        Err(damage("the end marker of the record differs"))
    }
}

/// A record with a wrong checksum is torn if only zeros follow from inside it to
/// the end of the file. One changed byte can't cause this, since a complete
/// record ends in [`END_MARKER`].
fn torn_or_damaged(tail: &[u8], damage: Damage) -> Result<Frame, Damage> {
    let torn = tail.iter().all(|b| *b == 0);
    if torn { Ok(Frame::Torn) } else { Err(damage) }
}

/// Reads a little-endian integer of a header.
fn read_u32(data: &[u8], at: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&data[at..at + 4]);
    u32::from_le_bytes(bytes)
}
