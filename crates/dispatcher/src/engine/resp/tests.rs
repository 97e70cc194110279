use super::*;

#[test]
fn an_array_is_read_once_it_is_whole_however_it_is_split() {
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
        frame.parts(),
        [b"9b1f".as_slice(), b"DONE", b"batches=2,x=1", b"a\tb\r\nc"]
    );
    assert_eq!((frame.size, frame.part(7)), (size, b"".as_slice()));
    assert_eq!(
        (field(frame.part(2), "batches"), field(frame.part(2), "y")),
        (Some("2"), None)
    );
}

#[test]
fn hostile_and_over_long_arrays_are_refused() {
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
fn no_byte_that_is_turned_makes_it_panic() {
    let mut whole = Vec::new();
    write(&mut whole, &[b"9b1f", b"DONE", b"batches=2", b"a\n"], None);
    for at in 0..whole.len() {
        for value in 0..=255 {
            let mut bytes = whole.clone();
            bytes[at] = value;
            if let Ok(Some(frame)) = parse(&bytes) {
                assert!(frame.size <= bytes.len());
            }
        }
    }
}

#[test]
fn the_beginning_of_an_array_leaves_room_for_its_last_part() {
    let mut bytes = Vec::new();
    write(&mut bytes, &[b"fetch", b"id", b"-"], Some(3));
    bytes.extend_from_slice(b"abc\r\n");
    assert_eq!(parse(&bytes).unwrap().unwrap().part(3), b"abc");
}
