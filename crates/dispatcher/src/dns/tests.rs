use super::*;

fn record(to: &mut Vec<u8>, name: &[u8], kind: u16, data: &[u8]) {
    to.extend_from_slice(name);
    for number in [kind, INTERNET, 0, 60, data.len() as u16] {
        to.extend_from_slice(&number.to_be_bytes());
    }
    to.extend_from_slice(data);
}

/// An answer with one engine `s-1.east.hosts`, its names compressed against the question's.
pub fn answer(id: u16, serial: u32, priority: u8) -> Vec<u8> {
    let mut bytes = encode_query(id, "_back._tcp.pool.lan", SRV);
    bytes[2] = 0x84;
    (bytes[7], bytes[9], bytes[11]) = (1, 1, 2);
    let question = [0xc0, HEADER as u8];
    let at = bytes.len() + 12;
    record(
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
    record(&mut bytes, &question, SOA, &soa);
    let target = [0xc0, at as u8 + 6];
    record(&mut bytes, &target, A, &[10, 1, 0, 9]);
    record(
        &mut bytes,
        &target,
        TXT,
        b"\x08kind=std\x06cell=2\x09started=0",
    );
    bytes
}

#[test]
fn an_answer_with_compressed_names_is_parsed() {
    let read = parse_answer(&answer(77, 41, 1)).unwrap();
    let target = "s-1.east.hosts".to_owned();
    assert_eq!((read.id, read.serial), (77, Some(41)));
    assert_eq!(
        read.srv,
        [Srv {
            priority: 1,
            port: 10080,
            target: target.clone()
        }]
    );
    assert_eq!(
        read.addresses,
        [Address {
            name: target.clone(),
            ip: Ipv4Addr::new(10, 1, 0, 9)
        }]
    );
    assert_eq!(
        read.texts,
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
    let whole = answer(1, 2, 0);
    for end in 0..whole.len() {
        assert_eq!(parse_answer(&whole[..end]).ok(), None, "{end}");
    }
    // Every byte changed: some still parse, none panics or loops forever.
    for at in 0..whole.len() {
        for value in [0, 0x3f, 0xc0, 0xff] {
            let mut bytes = whole.clone();
            bytes[at] = value;
            let _ = parse_answer(&bytes);
        }
    }
    let ring = [
        &[0, 1, 0x84, 0, 0, 1, 0, 0, 0, 0, 0, 0],
        [0xc0, 12].as_slice(),
        &[0; 4],
    ]
    .concat();
    assert_eq!(parse_answer(&ring).ok(), None);
}
