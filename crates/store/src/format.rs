//! The disk format. Integers are big-endian; checksums are CRC-32 (ISO 3309).
//!
//! A file (a log segment or a snapshot) is a header followed by frames:
//!
//! | offset | bytes | header field |
//! | --- | --- | --- |
//! | 0 | 4 | magic `TXST` |
//! | 4 | 2 | format version, [`VERSION`] |
//! | 6 | 1 | kind: 0 log, 1 snapshot |
//! | 7 | 8 | file number, as in the file's name |
//! | 15 | 8 | logs: number of the predecessor, the file that this log continues; snapshots: 0 |
//! | 23 | 8 | logs: number of valid bytes of the predecessor when this log was created; snapshots: 0 |
//! | 31 | 4 | checksum of the preceding 31 bytes |
//!
//! | offset | bytes | frame field |
//! | --- | --- | --- |
//! | 0 | 4 | length of the record, at most [`MAX_RECORD_BYTES`]; `0xffff_ffff` in a trailer |
//! | 4 | 4 | checksum of the length field and the record |
//! | 8 | length | the record; in a trailer 8 bytes, the number of records before it |
//!
//! A snapshot ends with a trailer, so that a truncation between two frames is detected. A log has no trailer.

/// The first and current format version. Files of newer versions are neither read nor changed.
pub const VERSION: u16 = 1;
/// The first bytes of each file.
const MAGIC: &[u8; 4] = b"TXST";
/// Length of a file's header (bytes).
pub const HEADER_BYTES: usize = 4 + 2 + 1 + 8 + 8 + 8 + CHECKSUM_BYTES;
/// Length of a checksum (bytes).
const CHECKSUM_BYTES: usize = 4;
/// Offset of the format version in the header (bytes).
const VERSION_OFFSET: usize = 4;
/// Offset of the predecessor's file number in the header (bytes).
const PREDECESSOR_NUMBER_OFFSET: usize = 15;
/// Offset of the predecessor's valid bytes in the header (bytes).
const PREDECESSOR_LENGTH_OFFSET: usize = 23;
/// Length of a frame's header (bytes): length and checksum of the record.
pub const FRAME_HEADER_BYTES: usize = 8;
/// Maximum length of a record (bytes). A greater length field counts as corruption and causes no allocation.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;
/// The length field of a trailer.
const TRAILER_LENGTH: u32 = u32::MAX;
/// Length of the record in a trailer (bytes).
const TRAILER_RECORD_BYTES: usize = 8;
/// Number of hexadecimal digits of the file number in a file name.
const NAME_DIGITS: usize = 16;

/// The kind of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A log segment: the records since a snapshot or since the previous log.
    Log,
    /// A snapshot: all records of the state at a checkpoint.
    Snapshot,
}

/// A position in the sequence of files: a file, and the number of its valid bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// Number of the file; 0 for the position before any file.
    pub file_number: u64,
    /// Number of valid bytes of the file.
    pub valid_bytes: u64,
}

impl LogPosition {
    /// The position before any file.
    pub const START: LogPosition = LogPosition {
        file_number: 0,
        valid_bytes: 0,
    };
}

/// The reason why a file, or its part after the valid bytes, cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// A header or a frame is incomplete.
    #[error("a header or frame is truncated")]
    Truncated,
    /// The file was not written by the store, does not match its name, has a wrong trailer, or does not continue a
    /// replayed file.
    #[error("the content does not belong to this file")]
    Foreign,
    /// A checksum differs, or a length is impossible.
    #[error("a checksum does not match")]
    ChecksumMismatch,
    /// The file has a newer format version.
    #[error("format version {0} is newer than {VERSION}")]
    NewerVersion(u16),
    /// The snapshot has no trailer.
    #[error("the snapshot has no trailer")]
    MissingTrailer,
}

/// Returns the name of a file.
pub fn file_name(kind: FileKind, number: u64) -> String {
    match kind {
        FileKind::Log => format!("log-{number:016x}"),
        FileKind::Snapshot => format!("snap-{number:016x}"),
    }
}

/// Returns the kind and number of a file by its name; `None` for a file that does not belong to the store.
pub fn parse_file_name(name: &str) -> Option<(FileKind, u64)> {
    let (prefix, digits) = name.split_once('-')?;
    let kind = match prefix {
        "log" => FileKind::Log,
        "snap" => FileKind::Snapshot,
        _ => return None,
    };
    if digits.len() != NAME_DIGITS {
        return None;
    }
    let number = u64::from_str_radix(digits, 16).ok()?;
    Some((kind, number))
}

/// Encodes the header of a file. `predecessor` is the position that a log continues; [`LogPosition::START`] for a
/// snapshot.
pub fn encode_header(kind: FileKind, number: u64, predecessor: LogPosition) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&VERSION.to_be_bytes());
    bytes.push(u8::from(kind == FileKind::Snapshot));
    bytes.extend_from_slice(&number.to_be_bytes());
    bytes.extend_from_slice(&predecessor.file_number.to_be_bytes());
    bytes.extend_from_slice(&predecessor.valid_bytes.to_be_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Encodes a record as a frame. `record` must have at most [`MAX_RECORD_BYTES`].
pub fn encode_frame(record: &[u8]) -> Vec<u8> {
    encode_frame_with_length(record.len() as u32, record)
}

/// Encodes the trailer of a snapshot of `record_count` records.
pub fn encode_trailer(record_count: u64) -> Vec<u8> {
    encode_frame_with_length(TRAILER_LENGTH, &record_count.to_be_bytes())
}

fn encode_frame_with_length(length: u32, record: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + record.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&frame_checksum(length, record).to_be_bytes());
    bytes.extend_from_slice(record);
    bytes
}

fn frame_checksum(length: u32, record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_be_bytes());
    hasher.update(record);
    hasher.finalize()
}

/// The decoded content of a file, up to the first error.
#[derive(Debug, Clone, PartialEq)]
pub struct DecodedFile {
    /// The position that a log continues.
    pub predecessor: LogPosition,
    /// The valid records.
    pub records: Vec<Vec<u8>>,
    /// Number of valid bytes of the file.
    pub valid_bytes: usize,
    /// The error after the valid bytes, if any.
    pub error: Option<FormatError>,
}

/// Decodes a file whose name has this kind and number. No input causes a panic.
pub fn decode_file(bytes: &[u8], kind: FileKind, number: u64) -> DecodedFile {
    let mut file = DecodedFile {
        predecessor: LogPosition::START,
        records: Vec::new(),
        valid_bytes: 0,
        error: None,
    };
    let decoded = decode_header(bytes, kind, number).and_then(|predecessor| {
        file.predecessor = predecessor;
        file.valid_bytes = HEADER_BYTES;
        file.decode_frames(bytes, kind)
    });
    file.error = decoded.err();
    file
}

impl DecodedFile {
    /// Decodes the frames after the header, up to the end of the file, the trailer or the first error.
    fn decode_frames(&mut self, bytes: &[u8], kind: FileKind) -> Result<(), FormatError> {
        while self.valid_bytes < bytes.len() {
            match decode_frame(&bytes[self.valid_bytes..])? {
                Frame::Record(record) => {
                    self.valid_bytes += FRAME_HEADER_BYTES + record.len();
                    self.records.push(record.to_vec());
                }
                Frame::Trailer { record_count } => {
                    self.valid_bytes += FRAME_HEADER_BYTES + TRAILER_RECORD_BYTES;
                    let is_complete = kind == FileKind::Snapshot
                        && record_count == self.records.len() as u64
                        && self.valid_bytes == bytes.len();
                    return if is_complete {
                        Ok(())
                    } else {
                        Err(FormatError::Foreign)
                    };
                }
            }
        }
        match kind {
            FileKind::Log => Ok(()),
            FileKind::Snapshot => Err(FormatError::MissingTrailer),
        }
    }
}

/// Decodes a header, and returns the position that the file continues.
fn decode_header(bytes: &[u8], kind: FileKind, number: u64) -> Result<LogPosition, FormatError> {
    let header = bytes.get(..HEADER_BYTES).ok_or(FormatError::Truncated)?;
    if !header.starts_with(MAGIC) {
        return Err(FormatError::Foreign);
    }
    let (fields, checksum) = header.split_at(HEADER_BYTES - CHECKSUM_BYTES);
    if crc32fast::hash(fields).to_be_bytes() != checksum {
        return Err(FormatError::ChecksumMismatch);
    }
    let version = u16::from_be_bytes([header[VERSION_OFFSET], header[VERSION_OFFSET + 1]]);
    if version > VERSION {
        return Err(FormatError::NewerVersion(version));
    }
    let predecessor = LogPosition {
        file_number: read_u64(header, PREDECESSOR_NUMBER_OFFSET).ok_or(FormatError::Truncated)?,
        valid_bytes: read_u64(header, PREDECESSOR_LENGTH_OFFSET).ok_or(FormatError::Truncated)?,
    };
    if header != encode_header(kind, number, predecessor) {
        return Err(FormatError::Foreign);
    }
    Ok(predecessor)
}

enum Frame<'a> {
    Record(&'a [u8]),
    Trailer { record_count: u64 },
}

/// Decodes the frame at the beginning of `bytes`.
fn decode_frame(bytes: &[u8]) -> Result<Frame<'_>, FormatError> {
    let length = read_u32(bytes, 0).ok_or(FormatError::Truncated)?;
    let checksum = read_u32(bytes, 4).ok_or(FormatError::Truncated)?;
    let is_trailer = length == TRAILER_LENGTH;
    let record_bytes = if is_trailer {
        TRAILER_RECORD_BYTES
    } else {
        length as usize
    };
    if record_bytes > MAX_RECORD_BYTES {
        return Err(FormatError::ChecksumMismatch);
    }
    let record = bytes
        .get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + record_bytes)
        .ok_or(FormatError::Truncated)?;
    if frame_checksum(length, record) != checksum {
        return Err(FormatError::ChecksumMismatch);
    }
    if is_trailer {
        let record_count = read_u64(record, 0).ok_or(FormatError::Truncated)?;
        return Ok(Frame::Trailer { record_count });
    }
    Ok(Frame::Record(record))
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_be_bytes(field.try_into().ok()?))
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset + 8)?;
    Some(u64::from_be_bytes(field.try_into().ok()?))
}
