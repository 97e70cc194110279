//! Which datagrams are believed: a keyed hash over each, with two keys valid at a time, and no datagram twice.

use siphasher::sip::SipHasher24;
use std::collections::HashMap;
use std::hash::Hasher;

/// Bytes of a seal: which session of its sender, its number in that, and the hash.
pub const LENGTH: usize = 16;
/// Sessions of a sender that are told apart, and numbers behind the highest that are accepted so far.
const MAX_SESSIONS: usize = 8;
const WINDOW: u32 = 64;
const MAX_SENDERS: usize = 2048;

/// The keys in force: the first seals, both open.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    pub seals: Option<[u8; 16]>,
    pub opens: Option<[u8; 16]>,
}

/// One life of a sender.
#[derive(Debug, Clone)]
struct Session {
    id: u32,
    highest: u32,
    /// Bits of the numbers below the highest that have come.
    seen: u64,
}

/// A sender's sessions, the one heard last at the end. None is ever shut out: which of two is the later one can't be
/// told by who has just started, and a late datagram of an old life would shut the new one out for good.
#[derive(Debug, Clone, Default)]
struct Sender {
    sessions: Vec<Session>,
    /// Of all that was believed, the last that was its.
    used: u64,
}

#[derive(Debug, Clone)]
pub struct DatagramAuthenticator {
    keys: Keys,
    session: u32,
    number: u32,
    senders: HashMap<u64, Sender>,
    believed: u64,
}

impl DatagramAuthenticator {
    /// `session`: drawn anew at each start.
    pub fn new(keys: Keys, session: u32) -> Self {
        DatagramAuthenticator {
            keys,
            session,
            number: 0,
            senders: HashMap::new(),
            believed: 0,
        }
    }

    /// Takes on other keys; datagrams under the one that opens are still believed.
    pub fn set(&mut self, keys: Keys) {
        self.keys = keys;
    }

    fn hash(key: &[u8; 16], content: &[u8], head: &[u8]) -> [u8; 8] {
        let mut hasher = SipHasher24::new_with_key(key);
        hasher.write(content);
        hasher.write(head);
        hasher.finish().to_be_bytes()
    }

    /// Puts a seal behind what is to be sent; nothing where there is no key.
    pub fn seal(&mut self, content: &mut Vec<u8>) {
        let Some(key) = &self.keys.seals else { return };
        self.number = self.number.wrapping_add(1);
        let mut head = self.session.to_be_bytes().to_vec();
        head.extend_from_slice(&self.number.to_be_bytes());
        let hash = DatagramAuthenticator::hash(key, content, &head);
        content.extend_from_slice(&head);
        content.extend_from_slice(&hash);
    }

    /// What a datagram of a sender holds, if it is believed.
    pub fn open<'a>(&mut self, sender: u64, datagram: &'a [u8]) -> Option<&'a [u8]> {
        if self.keys.seals.is_none() && self.keys.opens.is_none() {
            return Some(datagram);
        }
        let at = datagram.len().checked_sub(LENGTH)?;
        let (content, seal) = datagram.split_at(at);
        let (head, hash) = seal.split_at(8);
        let good = [&self.keys.seals, &self.keys.opens]
            .into_iter()
            .flatten()
            .any(|key| {
                // All bytes are compared, whichever differ.
                DatagramAuthenticator::hash(key, content, head)
                    .iter()
                    .zip(hash)
                    .fold(0, |all, (a, b)| all | (a ^ b))
                    == 0
            });
        let number = |bytes: &[u8]| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        (good && self.fresh(sender, number(&head[..4]), number(&head[4..]))).then_some(content)
    }

    /// Whether a number of a session has not come before.
    fn fresh(&mut self, sender: u64, session: u32, number: u32) -> bool {
        // Only who has a key comes this far. The one heard of longest ago makes room: commands carry a number of
        // the one that is asked besides, so that nothing of a sender that was forgotten can be played to it again.
        if !self.senders.contains_key(&sender) && self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by_key(|(id, s)| (s.used, **id))
                .map(|(id, _)| *id);
            oldest.and_then(|oldest| self.senders.remove(&oldest));
        }
        self.believed += 1;
        let known = self.senders.entry(sender).or_default();
        known.used = self.believed;
        let at = known.sessions.iter().position(|known| known.id == session);
        let Some(at) = at else {
            if known.sessions.len() >= MAX_SESSIONS {
                known.sessions.remove(0);
            }
            known.sessions.push(Session {
                id: session,
                highest: number,
                seen: 0,
            });
            return true;
        };
        let mut of = known.sessions.remove(at);
        let new = of.takes(number);
        known.sessions.push(of);
        new
    }
}

impl Session {
    /// Whether this number is new.
    fn takes(&mut self, number: u32) -> bool {
        if number > self.highest {
            let by = number - self.highest;
            self.seen = if by < WINDOW {
                self.seen << by | 1 << (by - 1)
            } else {
                0
            };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind == 0 || behind > WINDOW {
            return false;
        }
        let bit = 1_u64 << (behind - 1);
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: [u8; 16] = [1; 16];
    const TWO: [u8; 16] = [2; 16];

    fn keys(seals: [u8; 16], opens: [u8; 16]) -> Keys {
        Keys {
            seals: Some(seals),
            opens: Some(opens),
        }
    }

    #[test]
    fn what_was_changed_or_sealed_by_others_is_refused() {
        let (mut a, mut b) = (
            DatagramAuthenticator::new(keys(ONE, ONE), 7),
            DatagramAuthenticator::new(keys(ONE, ONE), 8),
        );
        let mut sent = b"hello".to_vec();
        a.seal(&mut sent);
        for n in 0..sent.len() {
            let mut spoilt = sent.clone();
            spoilt[n] ^= 1;
            assert_eq!(b.open(1, &spoilt), None, "{n}");
        }
        assert_eq!(b.open(1, &sent), Some(b"hello".as_slice()));
        assert_eq!(
            DatagramAuthenticator::new(keys(TWO, TWO), 9).open(1, &sent),
            None
        );
        assert_eq!(b.open(1, b"short"), None);
        // Without keys all is believed, and nothing added.
        let mut open = DatagramAuthenticator::new(Keys::default(), 1);
        let mut plain = b"x".to_vec();
        open.seal(&mut plain);
        assert_eq!(open.open(1, &plain), Some(b"x".as_slice()));
    }

    #[test]
    fn keys_rotate_without_a_moment_of_disbelief() {
        // Old everywhere; then both open and the old seals; then the new one seals; then the old one is gone.
        let steps = [
            keys(ONE, ONE),
            keys(ONE, TWO),
            keys(TWO, ONE),
            keys(TWO, TWO),
        ];
        let (mut a, mut b) = (
            DatagramAuthenticator::new(steps[0].clone(), 1),
            DatagramAuthenticator::new(steps[0].clone(), 2),
        );
        for step in steps.windows(2) {
            for (from, to) in [(1, 0), (0, 1), (1, 1)] {
                a.set(step[from].clone());
                b.set(step[to].clone());
                let mut sent = b"x".to_vec();
                a.seal(&mut sent);
                assert!(b.open(1, &sent).is_some());
            }
        }
    }

    #[test]
    fn nothing_is_believed_twice_and_late_ones_once() {
        let (mut a, mut b) = (
            DatagramAuthenticator::new(keys(ONE, ONE), 7),
            DatagramAuthenticator::new(keys(ONE, ONE), 8),
        );
        let mut sent = Vec::new();
        for _ in 0..80 {
            let mut one = b"x".to_vec();
            a.seal(&mut one);
            sent.push(one);
        }
        // In disorder, and each again.
        let order: Vec<usize> = (0..80).map(|n| n ^ 3).collect();
        for n in &order {
            assert!(b.open(1, &sent[*n]).is_some(), "{n}");
            assert!(b.open(1, &sent[*n]).is_none(), "{n}");
        }
        // A new life of the same sender is believed, and goes on being so when something late of the old one comes.
        let mut again = DatagramAuthenticator::new(keys(ONE, ONE), 99);
        let mut one = b"y".to_vec();
        again.seal(&mut one);
        let mut late = b"x".to_vec();
        a.seal(&mut late);
        assert!(b.open(1, &one).is_some() && b.open(1, &late).is_some());
        assert!(b.open(1, &one).is_none() && b.open(1, &late).is_none());
        let mut two = b"z".to_vec();
        again.seal(&mut two);
        assert!(b.open(1, &two).is_some());
        // The same where whoever hears it has just started, and hears the late one second.
        let mut started = DatagramAuthenticator::new(keys(ONE, ONE), 10);
        assert!(started.open(1, &one).is_some() && started.open(1, &late).is_some());
        assert!(started.open(1, &two).is_some());
    }
}
