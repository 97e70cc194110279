//! Compatibility with version 1 of the encoding: a datagram written at commit 0fd3fce is decoded, and its observations
//! are encoded to the same bytes.

use tansymux_engine_state::{codec, Observation, ObservationKind};

const DATAGRAM: &[u8] = include_bytes!("fixtures/facts-v1.bin");

/// Returns the observations in the datagram, one of each kind. The encoding rounds ages up to whole milliseconds:
/// `with_rounded_age` gives them as decoded, otherwise as passed to the encoder.
fn observations(with_rounded_age: bool) -> Vec<Observation> {
    let observation = |(n, kind): (usize, &ObservationKind)| {
        let age = 1000.5 * n as f64;
        Observation {
            engine_id: 0x0102_0304_0506_0700 + n as u64,
            incarnation: 7 + n as u32,
            kind: *kind,
            value: 0.25 * n as f64,
            origin_id: 0xa0b0_c0d0_e0f0_0001,
            sequence: 100 + n as u32,
            age_ms: if with_rounded_age { age.ceil() } else { age },
        }
    };
    ObservationKind::ALL
        .iter()
        .enumerate()
        .map(observation)
        .collect()
}

#[test]
fn version_1_datagram_is_decoded() {
    assert_eq!(codec::decode(DATAGRAM), Ok(observations(true)));
}

#[test]
fn observations_are_encoded_to_the_bytes_of_version_1() {
    let encoded = codec::encode(&observations(false), 4096);
    assert_eq!((encoded.bytes, encoded.count), (DATAGRAM.to_vec(), 8));
}
