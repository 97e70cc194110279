//! Messages between dispatchers: what is encoded is decoded, and messages written by the version before the renames
//! (commit 7790f50) are still read and written byte for byte.

use tansymux_zone_routing::codec::{self, zone_hash, DecodeError, PeerReport, ZoneReport};
use tansymux_zone_routing::Reachability;

fn report(zone: &str, reachability: Reachability) -> ZoneReport {
    ZoneReport {
        zone_hash: zone_hash(zone),
        reachability,
    }
}

#[test]
fn encoded_messages_are_decoded_and_other_bytes_refused() {
    let zones = [
        report("east", Reachability::Unreachable),
        ZoneReport {
            zone_hash: 7,
            reachability: Reachability::Reachable,
        },
    ];
    let bytes = codec::encode(true, zones.into_iter());
    let decoded = codec::decode(&bytes).unwrap();
    assert_eq!((decoded.is_isolated, decoded.zones), (true, zones.to_vec()));
    assert_eq!(codec::decode(&bytes[..2]), Err(DecodeError::NotZoneReport));
    assert!(codec::decode(b"\x02\x01\x00").is_err());
    assert_eq!(codec::decode(&bytes[..8]).unwrap().zones.len(), 1);
    let many = (0..99).map(|zone_hash| ZoneReport {
        zone_hash,
        reachability: Reachability::Reachable,
    });
    assert!(codec::encode(false, many).len() <= 256);
}

#[test]
fn messages_of_the_version_before_are_read_and_written_byte_for_byte() {
    let bytes = [
        3, 1, 1, 0x72, 0x6f, 0, 0xa3, 0x47, 1, 0x49, 0xeb, 2, 0x23, 0x5d, 3,
    ];
    let zones = vec![
        report("east", Reachability::Unknown),
        report("west", Reachability::Reachable),
        report("north", Reachability::Recovering),
        report("south", Reachability::Unreachable),
    ];
    assert_eq!(codec::encode(true, zones.iter().copied()), bytes);
    let is_isolated = true;
    assert_eq!(codec::decode(&bytes), Ok(PeerReport { is_isolated, zones }));
    assert_eq!(codec::encode(false, std::iter::empty()), [3, 1, 0]);
}
