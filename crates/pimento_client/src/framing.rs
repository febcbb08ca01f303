//! Where the body of a response ends.

use std::io;

/// Limit on a line of chunk metadata and on all trailers together, in bytes.
const MAX_METADATA_BYTES: usize = 16 << 10;

/// The length of the line break after the data of a chunk, in bytes.
const LINE_BREAK_BYTES: u64 = 2;

/// What is left of a response's body.
///
/// It is followed only as far as needed to find the end of the body. The HTTP
/// library decodes and checks it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks up to the last one and its trailers.
    Chunked(Chunk),
    /// All bytes up to the end of the connection (HTTP/1.0).
    UntilClose,
}

/// The position in a chunked body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Chunk {
    /// In the line with a chunk's size and extensions.
    Size {
        size: u64,
        in_digits: bool,
        line_bytes: usize,
    },
    /// In a chunk's data or the line break after it.
    Data { remaining: u64 },
    /// In the trailers.
    Trailers { bytes: usize, line_bytes: usize },
    /// After the empty line at the end of the body.
    End,
}

impl Chunk {
    /// The start of a chunk.
    pub(crate) const START: Self = Self::Size {
        size: 0,
        in_digits: true,
        line_bytes: 0,
    };
}

impl Framing {
    /// The body has ended.
    pub(crate) const END: Self = Self::Length(0);

    /// Whether the body has ended.
    pub(crate) fn is_end(self) -> bool {
        matches!(self, Self::Length(0) | Self::Chunked(Chunk::End))
    }

    /// Advances by the bytes that belong to the body, and returns their number.
    pub(crate) fn advance(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Self::Length(remaining) => Ok(take(remaining, bytes.len())),
            Self::Chunked(chunk) => chunk.advance(bytes),
            Self::UntilClose => Ok(bytes.len()),
        }
    }
}

/// Takes up to `available` bytes off `remaining`, and returns their number.
fn take(remaining: &mut u64, available: usize) -> usize {
    let taken = (*remaining).min(available as u64);
    *remaining -= taken;
    taken as usize
}

impl Chunk {
    fn advance(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut used = 0;
        while used < bytes.len() && *self != Self::End {
            if let Self::Data { remaining } = self {
                used += take(remaining, bytes.len() - used);
                if *remaining == 0 {
                    *self = Self::START;
                }
            } else {
                *self = self.after_byte(bytes[used])?;
                used += 1;
            }
        }
        Ok(used)
    }

    /// The position after one byte of metadata.
    fn after_byte(self, byte: u8) -> io::Result<Self> {
        match self {
            Self::Size { size, .. } if byte == b'\n' => Ok(Self::after_size(size)),
            Self::Size {
                size,
                in_digits,
                line_bytes,
            } => {
                let digit = char::from(byte).to_digit(16).filter(|_| in_digits);
                Ok(Self::Size {
                    size: digit.map_or(Ok(size), |digit| push_digit(size, digit))?,
                    in_digits: digit.is_some(),
                    line_bytes: add_metadata(line_bytes)?,
                })
            }
            Self::Trailers { line_bytes: 0, .. } if byte == b'\n' => Ok(Self::End),
            Self::Trailers { bytes, line_bytes } => Ok(Self::Trailers {
                bytes: add_metadata(bytes)?,
                line_bytes: match byte {
                    b'\n' => 0,
                    b'\r' => line_bytes,
                    _ => line_bytes + 1,
                },
            }),
            Self::Data { .. } | Self::End => Ok(self),
        }
    }

    fn after_size(size: u64) -> Self {
        match size {
            0 => Self::Trailers {
                bytes: 0,
                line_bytes: 0,
            },
            size => Self::Data {
                remaining: size.saturating_add(LINE_BREAK_BYTES),
            },
        }
    }
}

fn push_digit(size: u64, digit: u32) -> io::Result<u64> {
    let size = size.checked_mul(16).map(|size| size + u64::from(digit));
    size.ok_or_else(|| invalid("the size of a chunk is too large"))
}

fn add_metadata(bytes: usize) -> io::Result<usize> {
    if bytes < MAX_METADATA_BYTES {
        Ok(bytes + 1)
    } else {
        Err(invalid("the metadata of a chunk is too long"))
    }
}

/// The error for bytes that are no valid response.
pub(crate) fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
