//! Stored files keep their keys: scenarios and records that an earlier version wrote are read and written unchanged.

use tansymux_testbed::fleet::scenario::Scenario;
use tansymux_testbed::record::Entry;

/// A scenario file written before the scenario's fields were renamed in the code.
const SCENARIO: &str = r#"{"name":"calm","seed":3,"members":7,"voters":3,"halls":2,"engines":8,"most":1,"most_engines":2,"turn":12000.0,"down":1500.0,"late":10000.0,"events":[],"done_within":214000.0,"lasts":314000.0}"#;

/// Record entries as an earlier version wrote them.
const ENTRIES: [&str; 10] = [
    r#"{"at":1.0,"what":"asked","id":"1","class":"look","wait":1000.0,"key":"k"}"#,
    r#"{"at":1.0,"what":"answered","id":"1","status":429,"retry_after":20.0}"#,
    r#"{"at":1.0,"what":"left","id":"1"}"#,
    r#"{"at":1.0,"what":"arrived","engine":"s-0","id":"1","work":10.0}"#,
    r#"{"at":1.0,"what":"applied","engine":"s-0","id":"1"}"#,
    r#"{"at":1.0,"what":"ended","engine":"s-0","id":"1","word":"DONE","ran":true}"#,
    r#"{"at":1.0,"what":"given-up","engine":"s-0","id":"1"}"#,
    r#"{"at":1.0,"what":"listed","engine":"s-0","status":"draining","hall":"east","kind":"std","cell":0}"#,
    r#"{"at":1.0,"what":"started","engine":"s-0","cores":8.0}"#,
    r#"{"at":1.0,"what":"fault","engine":"s-0","fault":"Silent"}"#,
];

#[test]
fn scenario_file_of_an_earlier_version_is_read_and_written_the_same() {
    let scenario: Scenario = serde_json::from_str(SCENARIO).unwrap();
    assert_eq!(scenario, Scenario::calm(3, 7));
    assert_eq!(serde_json::to_string(&scenario).unwrap(), SCENARIO);
}

#[test]
fn record_entry_of_an_earlier_version_is_read_and_written_the_same() {
    for text in ENTRIES {
        let entry: Entry = serde_json::from_str(text).unwrap();
        assert_eq!(serde_json::to_string(&entry).unwrap(), text);
    }
}
