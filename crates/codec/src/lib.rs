//! Reading and writing the fields of datagrams: fixed-size, big-endian, one after the other.
//!
//! # What it owns
//! - [`ByteReader`] and [`ByteWriter`]: fields read from the front of a datagram, and appended to one.
//! - [`wire_enum!`]: enums that are one byte on the wire.
//! - [`DecodeError`]: why bytes could not be decoded.
//! - [`fnv1a_16`], [`fnv1a_32`] and [`fnv1a_64`]: the hashes of names and texts that stand in messages.
//!
//! It knows no message: layouts, limits and what is skipped or rejected stay with the package of the message, in its
//! `codec` module. It does no I/O, and no input makes the reader panic.
//!
//! # Why not `bytes::Buf`
//! The usual getters of `bytes::Buf` panic on short input, and datagrams come from the network; its checked ones
//! (`try_get_u32`) know neither codes nor finite numbers nor a part of the datagram as a reader of its own. What is
//! needed here is a few dozen lines over a slice, fewer than the dependency would bring.
//!
//! Start reading at [`ByteReader`].

mod error;
mod hash;
mod reader;
mod wire_enum;
mod writer;

pub use error::DecodeError;
pub use hash::{fnv1a_16, fnv1a_32, fnv1a_64};
pub use reader::ByteReader;
pub use writer::ByteWriter;
