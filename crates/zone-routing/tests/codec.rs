//! Zone reports between dispatchers: round trip, malformed messages, and wire compatibility with messages written by
//! commit 7790f50.

use tansymux_zone_routing::codec::{self, zone_hash, DecodeError, PeerReport, ZoneReport};
use tansymux_zone_routing::Reachability;

fn report(zone: &str, reachability: Reachability) -> ZoneReport {
    ZoneReport {
        zone_hash: zone_hash(zone),
        reachability,
    }
}

#[test]
fn encoded_reports_are_decoded_and_malformed_messages_are_rejected() {
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
    let too_many_zones = (0..99).map(|zone_hash| ZoneReport {
        zone_hash,
        reachability: Reachability::Reachable,
    });
    assert!(codec::encode(false, too_many_zones).len() <= 256);
}

#[test]
fn messages_of_commit_7790f50_are_decoded_and_encoded_to_the_same_bytes() {
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
