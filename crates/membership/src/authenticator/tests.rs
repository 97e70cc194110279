use super::*;

const KEY_A: [u8; 16] = [1; 16];
const KEY_B: [u8; 16] = [2; 16];

fn keys(signing: [u8; 16], also_accepted: [u8; 16]) -> Keys {
    Keys {
        signing: Some(signing),
        also_accepted: Some(also_accepted),
    }
}

#[test]
fn altered_datagrams_and_those_sealed_with_another_key_are_rejected() {
    let (mut sender, mut receiver) = (
        DatagramAuthenticator::new(keys(KEY_A, KEY_A), 7),
        DatagramAuthenticator::new(keys(KEY_A, KEY_A), 8),
    );
    let mut sent = b"hello".to_vec();
    sender.seal(&mut sent);
    for n in 0..sent.len() {
        let mut altered = sent.clone();
        altered[n] ^= 1;
        assert_eq!(receiver.open(1, &altered), None, "{n}");
    }
    assert_eq!(receiver.open(1, &sent), Some(b"hello".as_slice()));
    assert_eq!(
        DatagramAuthenticator::new(keys(KEY_B, KEY_B), 9).open(1, &sent),
        None
    );
    assert_eq!(receiver.open(1, b"short"), None);
    // Without keys, every datagram is accepted and no seal is appended.
    let mut without_keys = DatagramAuthenticator::new(Keys::default(), 1);
    let mut plain = b"x".to_vec();
    without_keys.seal(&mut plain);
    assert_eq!(without_keys.open(1, &plain), Some(b"x".as_slice()));
}

#[test]
fn datagrams_are_accepted_throughout_a_key_rotation() {
    // Steps: old key only; both keys accepted, old key signs; both keys accepted, new key signs; new key only.
    let steps = [
        keys(KEY_A, KEY_A),
        keys(KEY_A, KEY_B),
        keys(KEY_B, KEY_A),
        keys(KEY_B, KEY_B),
    ];
    let (mut sender, mut receiver) = (
        DatagramAuthenticator::new(steps[0].clone(), 1),
        DatagramAuthenticator::new(steps[0].clone(), 2),
    );
    for step in steps.windows(2) {
        for (sender_step, receiver_step) in [(1, 0), (0, 1), (1, 1)] {
            sender.set_keys(step[sender_step].clone());
            receiver.set_keys(step[receiver_step].clone());
            let mut sent = b"x".to_vec();
            sender.seal(&mut sent);
            assert!(receiver.open(1, &sent).is_some());
        }
    }
}

#[test]
fn each_datagram_is_accepted_once_even_when_reordered() {
    let (mut sender, mut receiver) = (
        DatagramAuthenticator::new(keys(KEY_A, KEY_A), 7),
        DatagramAuthenticator::new(keys(KEY_A, KEY_A), 8),
    );
    let mut sent = Vec::new();
    for _ in 0..80 {
        let mut datagram = b"x".to_vec();
        sender.seal(&mut datagram);
        sent.push(datagram);
    }
    // Delivers the datagrams out of order, each twice.
    let order: Vec<usize> = (0..80).map(|n| n ^ 3).collect();
    for n in &order {
        assert!(receiver.open(1, &sent[*n]).is_some(), "{n}");
        assert!(receiver.open(1, &sent[*n]).is_none(), "{n}");
    }
    // A new session of the same sender is accepted, even after a delayed datagram of its old session.
    let mut restarted_sender = DatagramAuthenticator::new(keys(KEY_A, KEY_A), 99);
    let mut first_of_new_session = b"y".to_vec();
    restarted_sender.seal(&mut first_of_new_session);
    let mut delayed = b"x".to_vec();
    sender.seal(&mut delayed);
    assert!(
        receiver.open(1, &first_of_new_session).is_some() && receiver.open(1, &delayed).is_some()
    );
    assert!(
        receiver.open(1, &first_of_new_session).is_none() && receiver.open(1, &delayed).is_none()
    );
    let mut second_of_new_session = b"z".to_vec();
    restarted_sender.seal(&mut second_of_new_session);
    assert!(receiver.open(1, &second_of_new_session).is_some());
    // The same holds for a receiver that has just started and gets the delayed datagram second.
    let mut restarted_receiver = DatagramAuthenticator::new(keys(KEY_A, KEY_A), 10);
    assert!(
        restarted_receiver.open(1, &first_of_new_session).is_some()
            && restarted_receiver.open(1, &delayed).is_some()
    );
    assert!(restarted_receiver.open(1, &second_of_new_session).is_some());
}
