//! Names of reasons on the dispatcher's status page.

use tansymux_zone_routing::Reason;

#[test]
fn reasons_keep_their_names_on_the_status_page() {
    let names: Vec<String> = [
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
        names,
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
