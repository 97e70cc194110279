use super::*;

#[test]
fn those_that_ask_no_more_go_first_and_none_with_a_request_in_hand() {
    let places = Places::new(6);
    let stages = [(Stage::InHand, 0.0), (Stage::Idle, 9000.0), (Stage::New, 9400.0), (Stage::Idle, 2000.0)];
    let fresh = [(Stage::New, 9950.0), (Stage::Leaving, 9940.0)];
    let taken: Vec<Rc<Place>> = stages
        .into_iter()
        .chain(fresh)
        .map(|(stage, since)| {
            let place = places.take(since);
            place.is(stage, since);
            place
        })
        .collect();
    assert!(places.full());
    let given_up = || taken.iter().map(|p| p.given_up.get()).collect::<Vec<bool>>();
    for nth in [5, 3, 2, 1] {
        let before = given_up();
        assert!(places.give_one_up(10_000.0));
        assert!(given_up()[nth] && !before[nth], "{nth}: {:?}", given_up());
    }
    // What is left has a request in hand, or has just come.
    assert!(!places.give_one_up(10_000.0));
    assert!(places.give_one_up(10_100.0) && given_up()[4] && !given_up()[0]);
    places.leave(&taken[3]);
    assert!(!places.full());
}
