use super::*;

fn push_record(message: &mut Vec<u8>, name: &[u8], record_type: u16, data: &[u8]) {
    message.extend_from_slice(name);
    for number in [record_type, INTERNET, 0, 60, data.len() as u16] {
        message.extend_from_slice(&number.to_be_bytes());
    }
    message.extend_from_slice(data);
}

/// Returns an answer with one engine, `s-1.east.hosts`. Its names are compressed with pointers into the question.
pub fn answer(id: u16, serial: u32, priority: u8) -> Vec<u8> {
    let mut bytes = encode_query(id, "_back._tcp.pool.lan", SRV);
    bytes[2] = 0x84;
    (bytes[7], bytes[9], bytes[11]) = (1, 1, 2);
    let question = [0xc0, HEADER_BYTES as u8];
    let position = bytes.len() + 12;
    push_record(
        &mut bytes,
        &question,
        SRV,
        &[
            &[0, priority, 0, 40, 0x27, 0x60],
            b"\x03S-1\x04east\x05hosts\0".as_slice(),
        ]
        .concat(),
    );
    let mut soa = [question, question].concat();
    soa.extend_from_slice(&serial.to_be_bytes());
    soa.extend_from_slice(&[0; 16]);
    push_record(&mut bytes, &question, SOA, &soa);
    let target = [0xc0, position as u8 + 6];
    push_record(&mut bytes, &target, A, &[10, 1, 0, 9]);
    push_record(
        &mut bytes,
        &target,
        TXT,
        b"\x08kind=std\x06cell=2\x09started=0",
    );
    bytes
}

#[test]
fn an_answer_with_compressed_names_is_parsed() {
    let parsed = parse_answer(&answer(77, 41, 1)).unwrap();
    let target = "s-1.east.hosts".to_owned();
    assert_eq!((parsed.id, parsed.serial), (77, Some(41)));
    assert_eq!(
        parsed.srv,
        [Srv {
            priority: 1,
            port: 10080,
            target: target.clone()
        }]
    );
    assert_eq!(
        parsed.addresses,
        [Address {
            name: target.clone(),
            ip: Ipv4Addr::new(10, 1, 0, 9)
        }]
    );
    assert_eq!(
        parsed.texts,
        [Text {
            name: target,
            strings: ["kind=std", "cell=2", "started=0"]
                .map(String::from)
                .to_vec()
        }]
    );
}

#[test]
fn malformed_answers_are_errors_and_never_panic() {
    let complete = answer(1, 2, 0);
    for end in 0..complete.len() {
        assert_eq!(parse_answer(&complete[..end]).ok(), None, "{end}");
    }
    // One byte changed: some of these messages are still valid, and none may cause a panic or an endless loop.
    for position in 0..complete.len() {
        for value in [0, 0x3f, 0xc0, 0xff] {
            let mut bytes = complete.clone();
            bytes[position] = value;
            let _ = parse_answer(&bytes);
        }
    }
    let pointer_loop = [
        &[0, 1, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0],
        [0xc0, 12].as_slice(),
        &[0; 4],
    ]
    .concat();
    assert_eq!(parse_answer(&pointer_loop).ok(), None);
}
