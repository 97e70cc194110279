//! Settings: required keys.

use super::*;

#[test]
fn missing_setting_is_named_in_the_error() {
    let mut raw = settings("");
    raw.remove("services.1.aim-us");
    assert_eq!(
        Control::new(1, &raw).err().unwrap().to_string(),
        "setting services.1.aim-us is missing"
    );
}
