//! How times are rounded on the wire.

use super::*;

#[test]
fn deadlines_are_rounded_down_and_timers_up() {
    let mut to = Vec::new();
    let mut reply = Reply {
        to: &mut to,
        dispatcher: 3,
    };
    let until = |until| AttemptLimits {
        deadline_ms: until,
        start_by_ms: until,
        side_effect_free: true,
    };
    reply.submit(7, 9, until(1000.0019));
    reply.set_timer(2.0001, 1);
    reply.submit(7, 9, until(8492.25));
    reply.set_timer(20.0, 1);
    let text = String::from_utf8(to).unwrap();
    assert_eq!(
        text,
        "try 3 7 9 1000001\nnotify_me 3 2001 1\ntry 3 7 9 8492250\nnotify_me 3 20000 1\n"
    );
}
