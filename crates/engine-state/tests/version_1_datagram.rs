//! A datagram written by the version at commit 0fd3fce is read, and the same facts encode to the same bytes today.

use tansymux_engine_state::{wire, Fact, Kind};

const DATAGRAM: &[u8] = include_bytes!("fixtures/facts-v1.bin");

/// The facts that the earlier version encoded, one of each kind; `age` is rounded up to whole milliseconds by encoding.
fn facts(rounded_age: bool) -> Vec<Fact> {
    let fact = |(n, kind): (usize, &Kind)| {
        let age = 1000.5 * n as f64;
        Fact {
            engine: 0x0102_0304_0506_0700 + n as u64,
            start: 7 + n as u32,
            kind: *kind,
            value: 0.25 * n as f64,
            origin: 0xa0b0_c0d0_e0f0_0001,
            number: 100 + n as u32,
            age: if rounded_age { age.ceil() } else { age },
        }
    };
    Kind::ALL.iter().enumerate().map(fact).collect()
}

#[test]
fn a_datagram_of_the_earlier_version_is_read() {
    assert_eq!(wire::read(DATAGRAM), facts(true));
}

#[test]
fn the_same_facts_encode_to_the_bytes_of_the_earlier_version() {
    assert_eq!(wire::write(&facts(false), 4096), (DATAGRAM.to_vec(), 8));
}
