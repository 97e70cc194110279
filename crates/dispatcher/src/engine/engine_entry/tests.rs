use super::*;
use crate::engine::connection::Attempt;
use crate::engine::protocol::RequestFields;
use crate::ids::ConnectionId;
use tansymux::events::AttemptLimits;

const NOW_MS: f64 = 1000.0;
const TRUSTED_IDLE_MS: f64 = 100.0;

fn entry(state: EndpointState, started_ms: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        engine_id: 7,
        address: None,
        kind: "std".into(),
        zone: "east".into(),
        cell: 0,
        state,
        started_ms,
    }
}

fn engine() -> Engine {
    Engine::new(&entry(EndpointState::Ready, Some(1.0)))
}

/// Adds a connection that is up and unused.
fn add_channel(engine: &mut Engine, number: u64) -> Rc<Channel> {
    let channel = Rc::new(Channel::new(ConnectionId(number), 7, engine.process(), 0.0));
    channel.connection.borrow_mut().on_connected(0.0);
    engine.add_channel(channel.clone());
    channel
}

fn submit(channel: &Channel, id: &str, sent_ms: f64) {
    let limits = AttemptLimits {
        deadline_ms: 1e9,
        start_by_ms: 1e9,
        side_effect_free: true,
    };
    let attempt = Attempt::new(4, 0, sent_ms, limits);
    let fields = RequestFields::default();
    let statement = b"SELECT 1".as_slice().into();
    let mut connection = channel.connection.borrow_mut();
    connection.submit(&id.into(), fields, statement, attempt);
}

/// Submits an attempt and abandons it, so that the connection has been idle since `idle_since_ms`.
fn make_idle_since(channel: &Channel, idle_since_ms: f64) {
    submit(channel, "used", idle_since_ms);
    channel
        .connection
        .borrow_mut()
        .abandon("used", idle_since_ms);
}

/// Number of the best connection for an attempt whose query has already used `used_connections`.
fn best_channel_number_except(engine: &Engine, used_connections: &[ConnectionId]) -> Option<u64> {
    let request = ChannelRequest {
        engine_id: 7,
        id: "new",
        used_connections,
        side_effect_free: true,
    };
    let best = engine.best_channel(&request, NOW_MS, TRUSTED_IDLE_MS, 32);
    best.map(|best| best.channel.id.0)
}

fn best_channel_number(engine: &Engine) -> Option<u64> {
    best_channel_number_except(engine, &[])
}

#[test]
fn connection_used_by_an_earlier_attempt_of_the_query_is_not_selected() {
    let mut engine = engine();
    for number in 1..4 {
        make_idle_since(&add_channel(&mut engine, number), NOW_MS - 1.0);
    }
    let used = [1, 2, 3].map(ConnectionId);
    assert!(
        best_channel_number_except(&engine, &used[..2]) == Some(3)
            && best_channel_number_except(&engine, &used).is_none()
    );
}

#[test]
fn connections_are_preferred_in_the_order_recently_used_unused_shared_stale() {
    let mut engine = engine();
    assert_eq!(best_channel_number(&engine), None);
    let stale = add_channel(&mut engine, 1);
    make_idle_since(&stale, NOW_MS - TRUSTED_IDLE_MS - 1.0);
    assert_eq!(best_channel_number(&engine), Some(1));
    let shared = add_channel(&mut engine, 2);
    submit(&shared, "other", NOW_MS);
    assert_eq!(best_channel_number(&engine), Some(2));
    add_channel(&mut engine, 3);
    assert_eq!(best_channel_number(&engine), Some(3));
    let recently_used = add_channel(&mut engine, 4);
    make_idle_since(&recently_used, NOW_MS - 1.0);
    assert_eq!(best_channel_number(&engine), Some(4));
}

#[test]
fn update_reports_a_process_that_restarted_or_left_the_list() {
    for (update, expected) in [
        (
            entry(EndpointState::Ready, Some(1.0)),
            ProcessChange::Unchanged,
        ),
        (
            entry(EndpointState::Draining, None),
            ProcessChange::Unchanged,
        ),
        (
            entry(EndpointState::Ready, Some(2.0)),
            ProcessChange::Replaced,
        ),
        (entry(EndpointState::Gone, None), ProcessChange::Replaced),
    ] {
        assert_eq!(engine().update(&update), expected, "{update:?}");
    }
}

#[test]
fn engine_is_removable_when_it_is_gone_and_its_last_connection_has_closed() {
    let mut engine = engine();
    let channel = add_channel(&mut engine, 1);
    engine.update(&entry(EndpointState::Gone, None));
    assert!(!engine.is_removable());
    engine.remove_channel(&channel);
    assert!(engine.is_removable());
}
