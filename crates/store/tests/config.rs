//! Validation of settings by the constructor.

use tansymux_store::{Config, SyncPolicy};

#[test]
fn settings_outside_their_range_are_rejected_with_their_key() {
    let interval = |interval_ms| SyncPolicy::Interval { interval_ms };
    let cases = [
        (Config::new(interval(0.0), 1, 0.0), "interval_ms = 0"),
        (Config::new(interval(f64::NAN), 1, 0.0), "interval_ms = NaN"),
        (Config::new(SyncPolicy::Never, 0, 0.0), "max_log_bytes = 0"),
        (
            Config::new(SyncPolicy::Never, 1, -1.0),
            "retry_after_ms = -1",
        ),
    ];
    for (config, expected) in cases {
        let error = config.unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
    assert!(Config::new(SyncPolicy::EveryRecord, 1, 0.0).is_ok());
}
