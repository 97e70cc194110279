//! What dispatchers tell each other of zones: a few bytes for each, late or lost.

/// The first byte of a message about zones.
pub const KIND: u8 = 3;
const VERSION: u8 = 1;
const HEAD: usize = 3;
const ENTRY: usize = 3;
/// Zones that one message holds.
pub const MOST: usize = 32;

/// What a dispatcher says of a zone: a mark of its name, and whether it reaches it, is climbing back, or does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    pub mark: u16,
    pub state: Reach,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    Well,
    Climbing,
    Cut,
    Unknown,
}

/// A mark of a zone's name.
pub fn mark_of(name: &str) -> u16 {
    let hash = name.bytes().fold(0x811c_9dc5_u32, |hash, b| {
        (hash ^ u32::from(b)).wrapping_mul(0x0100_0193)
    });
    (hash ^ hash >> 16) as u16
}

/// `alone`: the one that writes takes itself for cut off.
pub fn write(alone: bool, zones: impl Iterator<Item = Told>) -> Vec<u8> {
    let mut bytes = vec![KIND, VERSION, u8::from(alone)];
    for told in zones.take(MOST) {
        let [a, b] = told.mark.to_be_bytes();
        let state = match told.state {
            Reach::Unknown => 0,
            Reach::Well => 1,
            Reach::Climbing => 2,
            Reach::Cut => 3,
        };
        bytes.extend_from_slice(&[a, b, state]);
    }
    bytes
}

/// Whether the writer takes itself for cut off, and its zones; none for what is no such message.
pub fn read(content: &[u8]) -> Option<(bool, impl Iterator<Item = Told> + '_)> {
    let [KIND, VERSION, alone, ..] = *content else {
        return None;
    };
    let zones = content[HEAD..]
        .chunks_exact(ENTRY)
        .take(MOST)
        .map(|entry| Told {
            mark: u16::from_be_bytes([entry[0], entry[1]]),
            state: match entry[2] {
                1 => Reach::Well,
                2 => Reach::Climbing,
                3 => Reach::Cut,
                _ => Reach::Unknown,
            },
        });
    Some((alone != 0, zones))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_is_read_and_nothing_else() {
        let zones = [
            Told {
                mark: mark_of("east"),
                state: Reach::Cut,
            },
            Told {
                mark: 7,
                state: Reach::Well,
            },
        ];
        let bytes = write(true, zones.into_iter());
        let (alone, read_back) = read(&bytes).unwrap();
        assert_eq!(
            (alone, read_back.collect::<Vec<_>>()),
            (true, zones.to_vec())
        );
        assert!(read(&bytes[..2]).is_none() && read(b"\x02\x01\x00").is_none());
        assert_eq!(read(&bytes[..8]).unwrap().1.count(), 1);
        assert!(
            write(
                false,
                (0..99).map(|mark| Told {
                    mark,
                    state: Reach::Well
                })
            )
            .len()
                <= 256
        );
    }
}
