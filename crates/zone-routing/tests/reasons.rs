//! Words that the dispatcher's status page shows.

use tansymux_zone_routing::Reason;

#[test]
fn reasons_keep_the_words_of_the_status_page() {
    let words: Vec<String> = [
        Reason::Lost,
        Reason::LostFromHere,
        Reason::Answered,
        Reason::Untried,
        Reason::Recovered,
        Reason::FailedAgain,
        Reason::Isolated,
        Reason::NotIsolated,
        Reason::ListDropsEngines,
    ]
    .iter()
    .map(ToString::to_string)
    .collect();
    assert_eq!(
        words,
        [
            "Lost",
            "LostFromHere",
            "Heard",
            "Untried",
            "Climbed",
            "FailsAgain",
            "Alone",
            "NotAlone",
            "ListDrops"
        ]
    );
}
