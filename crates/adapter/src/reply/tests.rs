//! Rounding of times on the wire.

use super::*;

#[test]
fn deadlines_are_rounded_down_and_timers_up() {
    let mut output = Vec::new();
    let mut reply = Reply {
        output: &mut output,
        dispatcher: 3,
    };
    let limits_until = |time_ms| AttemptLimits {
        deadline_ms: time_ms,
        start_by_ms: time_ms,
        side_effect_free: true,
    };
    reply.submit(7, 9, limits_until(1000.0019));
    reply.set_timer(2.0001, 1);
    reply.submit(7, 9, limits_until(8492.25));
    reply.set_timer(20.0, 1);
    let text = String::from_utf8(output).unwrap();
    assert_eq!(
        text,
        "try 3 7 9 1000001\nnotify_me 3 2001 1\ntry 3 7 9 8492250\nnotify_me 3 20000 1\n"
    );
}
