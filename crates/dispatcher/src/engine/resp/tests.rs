use super::*;

#[test]
fn an_array_is_parsed_only_when_it_is_complete() {
    let mut bytes = Vec::new();
    write(
        &mut bytes,
        &[b"9b1f", b"DONE", b"batches=2,x=1", b"a\tb\r\nc"],
        None,
    );
    let size = bytes.len();
    for end in 0..size {
        assert_eq!(parse(&bytes[..end]), Ok(None), "{end}");
    }
    bytes.extend_from_slice(b"*1\r\n");
    let frame = parse(&bytes).unwrap().unwrap();
    assert_eq!(
        frame.elements(),
        [b"9b1f".as_slice(), b"DONE", b"batches=2,x=1", b"a\tb\r\nc"]
    );
    assert_eq!((frame.size, frame.element(7)), (size, b"".as_slice()));
    assert_eq!(
        (
            field(frame.element(2), "batches"),
            field(frame.element(2), "y")
        ),
        (Some("2"), None)
    );
}

#[test]
fn malformed_and_oversized_arrays_are_errors() {
    let cases: [&[u8]; 9] = [
        b"+OK\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*99999999999999999999\r\n",
        b"*1\r\n$999999\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$1\r\nabc\r\n",
        b"*1\r\r",
    ];
    for bytes in cases {
        assert!(parse(bytes).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(field(b"\xff=1", "a"), None);
}

#[test]
fn parser_does_not_panic_on_any_changed_byte() {
    let mut valid = Vec::new();
    write(&mut valid, &[b"9b1f", b"DONE", b"batches=2", b"a\n"], None);
    for at in 0..valid.len() {
        for value in 0..=255 {
            let mut bytes = valid.clone();
            bytes[at] = value;
            if let Ok(Some(frame)) = parse(&bytes) {
                assert!(frame.size <= bytes.len());
            }
        }
    }
}

#[test]
fn an_array_can_be_written_without_the_bytes_of_its_last_element() {
    let mut bytes = Vec::new();
    write(&mut bytes, &[b"fetch", b"id", b"-"], Some(3));
    bytes.extend_from_slice(b"abc\r\n");
    assert_eq!(parse(&bytes).unwrap().unwrap().element(3), b"abc");
}
