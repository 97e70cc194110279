use super::*;
use std::sync::Mutex;
use std::time::Duration;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::Layer;

/// Held by each test: the count of suppressed lines is global to the process.
static SUPPRESSED_COUNT_LOCK: Mutex<()> = Mutex::new(());

/// Two call sites of the calling test.
fn callsites() -> Vec<&'static Metadata<'static>> {
    thread_local! {
        static RECORDED: RefCell<Vec<&'static Metadata<'static>>> = RefCell::default();
    }
    struct CallsiteRecorder;
    impl<S: Subscriber> Layer<S> for CallsiteRecorder {
        fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
            RECORDED.with_borrow_mut(|callsites| callsites.push(event.metadata()));
        }
    }
    let subscriber = tracing_subscriber::registry().with(CallsiteRecorder);
    tracing::subscriber::with_default(subscriber, || {
        tracing::info!("first");
        tracing::info!("second");
    });
    RECORDED.take()
}

#[test]
fn lines_of_a_flooding_call_site_are_limited_and_counted_without_affecting_other_call_sites() {
    let _guard = SUPPRESSED_COUNT_LOCK.lock();
    let callsites = callsites();
    let (flooding, other, now) = (callsites[0], callsites[1], Instant::now());
    let before = suppressed_lines();
    let written = (0..1000)
        .filter(|_| try_acquire(flooding, LineKind::default(), now))
        .count();
    assert_eq!(written, 20);
    assert!(try_acquire(other, LineKind::default(), now));
    assert_eq!(
        (
            suppressed_lines() - before,
            take_suppressed(flooding),
            take_suppressed(flooding)
        ),
        (980, 980, 0)
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        (0..1000)
            .filter(|_| try_acquire(flooding, LineKind::default(), later))
            .count(),
        5
    );
    assert_eq!(take_suppressed(other), 0);
}

#[test]
fn first_line_of_a_kind_is_written_during_a_flood_of_another_kind() {
    let _guard = SUPPRESSED_COUNT_LOCK.lock();
    let callsite = callsites()[0];
    let now = Instant::now();
    let is_written = |kind| try_acquire(callsite, LineKind(kind), now);
    let written = (0..1000).filter(|_| is_written(1)).count();
    assert_eq!(written, 20);
    assert!(is_written(2) && !is_written(2));
    // A flood of different kinds is limited too.
    let written = (3..1000).filter(|kind| is_written(*kind)).count();
    assert_eq!(written, MAX_KINDS - 2);
}
