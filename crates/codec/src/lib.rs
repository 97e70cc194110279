//! Reads and writes the fields of datagrams: fixed-size, big-endian, without padding.
//!
//! # Contents
//! - [`ByteReader`] and [`ByteWriter`]: read fields from the front of a datagram, and append fields to a datagram.
//! - [`wire_enum!`]: defines enums that are one byte on the wire.
//! - `test_support`: hexadecimal digits and fixture files, for the tests of other packages (feature `test-support`).
//! - [`DecodeError`]: the reason why bytes could not be decoded.
//! - [`fnv1a_16`], [`fnv1a_32`] and [`fnv1a_64`]: the hashes of names and texts in messages.
//!
//! This package defines no messages: layouts, limits and the handling of malformed fields belong to the `codec` module
//! of the message's package. This package does no I/O, and no input makes the reader panic.
//!
//! # Why not `bytes::Buf`
//! The usual getters of `bytes::Buf` panic on short input, and datagrams come from the network. Its checked getters
//! (`try_get_u32`) do not support codes, finite numbers or sub-readers. A few dozen lines over a slice are simpler
//! than the dependency.
//!
//! Start reading at [`ByteReader`].

mod error;
mod hash;
mod reader;
#[cfg(feature = "test-support")]
pub mod test_support;
mod wire_enum;
mod writer;

pub use error::DecodeError;
pub use hash::{fnv1a_16, fnv1a_32, fnv1a_64};
pub use reader::ByteReader;
pub use writer::ByteWriter;
