//! What dispatchers tell each other of their levels: eight bytes, late or lost.

/// The first byte of a message about levels; others belong to `talk` of the decisions.
pub const KIND: u8 = 2;
const VERSION: u8 = 1;
pub const LENGTH: usize = 8;

/// Said as depth by one that has just begun and asks where the others are.
pub const ASKS: u8 = 255;

/// What a dispatcher says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Mark of its definition.
    pub mark: u16,
    /// The depth in force there, and the one that its own signals ask for.
    pub depth: u8,
    pub wants: u8,
    /// Counts its messages, so that a late one does not stand in for a newer one.
    pub number: u16,
}

pub fn write(told: Told) -> [u8; LENGTH] {
    let ([m, ark], [n, umber]) = (told.mark.to_be_bytes(), told.number.to_be_bytes());
    [KIND, VERSION, m, ark, told.depth, told.wants, n, umber]
}

/// None for what is no message of this kind and version. A longer one of the same version is read as far as it is
/// known.
pub fn read(content: &[u8]) -> Option<Told> {
    let [KIND, VERSION, m, ark, depth, wants, n, umber, ..] = *content else {
        return None;
    };
    let (mark, number) = (u16::from_be_bytes([m, ark]), u16::from_be_bytes([n, umber]));
    Some(Told {
        mark,
        depth,
        wants,
        number,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_written_is_read_and_nothing_else() {
        let told = Told {
            mark: 0xBEEF,
            depth: 2,
            wants: 1,
            number: 513,
        };
        assert_eq!(read(&write(told)), Some(told));
        let mut other = write(told);
        other[1] = 9;
        assert_eq!(read(&other), None);
        assert_eq!(read(&write(told)[..7]), None);
        assert_eq!(
            read(&[write(told).as_slice(), &[1, 2, 3]].concat()),
            Some(told)
        );
    }
}
