use super::*;
use std::time::Duration;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::Layer;

/// Two callsites of this test.
fn callsites() -> Vec<&'static Metadata<'static>> {
    thread_local! {
        static SEEN: RefCell<Vec<&'static Metadata<'static>>> = RefCell::default();
    }
    struct Notes;
    impl<S: Subscriber> Layer<S> for Notes {
        fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
            SEEN.with_borrow_mut(|seen| seen.push(event.metadata()));
        }
    }
    let all = tracing_subscriber::registry().with(Notes);
    tracing::subscriber::with_default(all, || {
        tracing::info!("one");
        tracing::info!("other");
    });
    SEEN.take()
}

#[test]
fn flood_from_one_call_site_is_limited_and_counted_and_hides_no_other() {
    let callsites = callsites();
    let (one, other, now) = (callsites[0], callsites[1], Instant::now());
    let before = suppressed_lines();
    let written = (0..1000).filter(|_| try_acquire(one, now)).count();
    assert_eq!(written, 20);
    assert!(try_acquire(other, now));
    assert_eq!(
        (
            suppressed_lines() - before,
            take_suppressed(one),
            take_suppressed(one)
        ),
        (980, 980, 0)
    );
    let later = now + Duration::from_secs(1);
    assert_eq!((0..1000).filter(|_| try_acquire(one, later)).count(), 5);
    assert_eq!(take_suppressed(other), 0);
}
