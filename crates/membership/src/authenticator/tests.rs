use super::*;

const ONE: [u8; 16] = [1; 16];
const TWO: [u8; 16] = [2; 16];

fn keys(seals: [u8; 16], opens: [u8; 16]) -> Keys {
    Keys {
        signing: Some(seals),
        also_accepted: Some(opens),
    }
}

#[test]
fn altered_datagrams_and_those_sealed_with_another_key_are_rejected() {
    let (mut a, mut b) = (
        DatagramAuthenticator::new(keys(ONE, ONE), 7),
        DatagramAuthenticator::new(keys(ONE, ONE), 8),
    );
    let mut sent = b"hello".to_vec();
    a.seal(&mut sent);
    for n in 0..sent.len() {
        let mut altered = sent.clone();
        altered[n] ^= 1;
        assert_eq!(b.open(1, &altered), None, "{n}");
    }
    assert_eq!(b.open(1, &sent), Some(b"hello".as_slice()));
    assert_eq!(
        DatagramAuthenticator::new(keys(TWO, TWO), 9).open(1, &sent),
        None
    );
    assert_eq!(b.open(1, b"short"), None);
    // Without keys every datagram is accepted, and no seal is added.
    let mut open = DatagramAuthenticator::new(Keys::default(), 1);
    let mut plain = b"x".to_vec();
    open.seal(&mut plain);
    assert_eq!(open.open(1, &plain), Some(b"x".as_slice()));
}

#[test]
fn datagrams_are_accepted_throughout_a_key_rotation() {
    // The old key only; both accepted and the old one signing; both accepted and the new one signing; the new key only.
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
            a.set_keys(step[from].clone());
            b.set_keys(step[to].clone());
            let mut sent = b"x".to_vec();
            a.seal(&mut sent);
            assert!(b.open(1, &sent).is_some());
        }
    }
}

#[test]
fn each_datagram_is_accepted_once_also_out_of_order() {
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
    // Out of order, and each twice.
    let order: Vec<usize> = (0..80).map(|n| n ^ 3).collect();
    for n in &order {
        assert!(b.open(1, &sent[*n]).is_some(), "{n}");
        assert!(b.open(1, &sent[*n]).is_none(), "{n}");
    }
    // A new session of the same sender is accepted, also after a late datagram of the old one.
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
    // The same for a receiver that has just started, at which the late datagram arrives second.
    let mut started = DatagramAuthenticator::new(keys(ONE, ONE), 10);
    assert!(started.open(1, &one).is_some() && started.open(1, &late).is_some());
    assert!(started.open(1, &two).is_some());
}
