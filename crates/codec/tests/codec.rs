//! Fields are read as they were written, truncated or malformed input is an error, and hashes match published values.

use tansymux_codec::{fnv1a_16, fnv1a_32, fnv1a_64, ByteReader, ByteWriter, DecodeError};

fn one_field_of_each_type() -> Vec<u8> {
    let mut writer = ByteWriter::with_capacity(32);
    writer
        .u8(1)
        .u16(0x0203)
        .u32(0x0405_0607)
        .u64(0x0809_0a0b_0c0d_0e0f)
        .f32(1.5)
        .bytes(b"end");
    writer.into_bytes()
}

#[test]
fn fields_are_written_big_endian() {
    assert_eq!(
        one_field_of_each_type(),
        *b"\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b\x0c\x0d\x0e\x0f\x3f\xc0\x00\x00end"
    );
}

#[test]
fn fields_are_read_as_they_were_written() {
    let bytes = one_field_of_each_type();
    let mut reader = ByteReader::new(&bytes);
    assert_eq!(reader.u8(), Ok(1));
    assert_eq!(reader.u16(), Ok(0x0203));
    assert_eq!(reader.u32(), Ok(0x0405_0607));
    assert_eq!(reader.u64(), Ok(0x0809_0a0b_0c0d_0e0f));
    assert_eq!(reader.finite_f32(), Ok(1.5));
    assert!(!reader.is_empty());
    assert_eq!(reader.take_remaining(), b"end");
    assert!(reader.is_empty());
    assert_eq!(reader.take_remaining(), b"");
}

#[test]
fn truncated_field_is_an_error_and_stays_unread() {
    let bytes = [1, 2, 3, 4, 5, 6, 7];
    for length in 0..8 {
        let mut reader = ByteReader::new(&bytes[..length]);
        assert_eq!(reader.u64(), Err(DecodeError::Truncated));
        assert_eq!(reader.take_remaining(), &bytes[..length]);
    }
    assert_eq!(
        ByteReader::new(&bytes[..0]).u8(),
        Err(DecodeError::Truncated)
    );
    assert_eq!(
        ByteReader::new(&bytes[..1]).u16(),
        Err(DecodeError::Truncated)
    );
    assert_eq!(
        ByteReader::new(&bytes[..3]).u32(),
        Err(DecodeError::Truncated)
    );
    assert_eq!(
        ByteReader::new(&bytes[..3]).finite_f32(),
        Err(DecodeError::Truncated)
    );
}

#[test]
fn split_reader_is_bounded_and_the_original_continues_after_it() {
    let mut reader = ByteReader::new(&[1, 2, 3]);
    let mut part = reader.split(2).expect("three bytes are left");
    assert_eq!(part.u8(), Ok(1));
    assert_eq!(part.u16(), Err(DecodeError::Truncated));
    assert_eq!(reader.split(2).err(), Some(DecodeError::Truncated));
    assert_eq!(reader.u8(), Ok(3));
}

#[test]
fn nan_and_infinity_are_not_finite() {
    for number in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        let mut writer = ByteWriter::default();
        writer.f32(number);
        let bytes = writer.into_bytes();
        assert_eq!(
            ByteReader::new(&bytes).finite_f32(),
            Err(DecodeError::NotFinite)
        );
    }
}

#[test]
fn unknown_code_is_an_error_that_names_its_field() {
    let from_code = |code: u8| (code < 2).then_some(code == 1);
    let mut reader = ByteReader::new(&[1, 2]);
    assert_eq!(reader.code("switch", from_code), Ok(true));
    assert_eq!(
        reader.code("switch", from_code),
        Err(DecodeError::UnknownCode {
            field: "switch",
            code: 2
        })
    );
    assert_eq!(
        reader.code("switch", from_code),
        Err(DecodeError::Truncated)
    );
}

#[test]
fn padding_appends_zeros_up_to_a_length() {
    let mut writer = ByteWriter::default();
    assert!(writer.is_empty());
    writer.u8(7).pad_to(3);
    assert_eq!(writer.len(), 3);
    assert_eq!(writer.into_bytes(), [7, 0, 0]);
}

/// Values from the test suite that the authors of the hash published.
#[test]
fn hashes_match_the_published_values() {
    assert_eq!(fnv1a_32(b""), 0x811c_9dc5);
    assert_eq!(fnv1a_32(b"a"), 0xe40c_292c);
    assert_eq!(fnv1a_32(b"foobar"), 0xbf9c_f968);
    assert_eq!(fnv1a_64(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(fnv1a_64(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(fnv1a_64(b"foobar"), 0x8594_4171_f739_67e8);
    assert_eq!(fnv1a_16(b"foobar"), 0xbf9c ^ 0xf968);
}
