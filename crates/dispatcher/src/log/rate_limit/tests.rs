use super::*;
use std::sync::Mutex;
use std::time::Duration;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::Layer;

/// Held by each test: the count of suppressed lines is the program's.
static SUPPRESSED_LINES: Mutex<()> = Mutex::new(());

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
    let _held = SUPPRESSED_LINES.lock();
    let callsites = callsites();
    let (one, other, now) = (callsites[0], callsites[1], Instant::now());
    let before = suppressed_lines();
    let written = (0..1000)
        .filter(|_| try_acquire(one, LineKind::default(), now))
        .count();
    assert_eq!(written, 20);
    assert!(try_acquire(other, LineKind::default(), now));
    assert_eq!(
        (
            suppressed_lines() - before,
            take_suppressed(one),
            take_suppressed(one)
        ),
        (980, 980, 0)
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        (0..1000)
            .filter(|_| try_acquire(one, LineKind::default(), later))
            .count(),
        5
    );
    assert_eq!(take_suppressed(other), 0);
}

#[test]
fn first_line_of_a_kind_is_written_in_a_flood_of_another() {
    let _held = SUPPRESSED_LINES.lock();
    let callsite = callsites()[0];
    let now = Instant::now();
    let is_written = |kind| try_acquire(callsite, LineKind(kind), now);
    let written = (0..1000).filter(|_| is_written(1)).count();
    assert_eq!(written, 20);
    assert!(is_written(2) && !is_written(2));
    // A flood of kinds is limited as well.
    let written = (3..1000).filter(|kind| is_written(*kind)).count();
    assert_eq!(written, MAX_KINDS - 2);
}
