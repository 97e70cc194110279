use super::*;

const BOUNDS: Bounds = Bounds {
    until: 90.0,
    begin_by: 90.0,
    harmless: true,
};
const ASKED: Asked = Asked {
    id: "9b1f03aa5c7e2d41",
    rg: "look",
    tenant: "acme",
    statement: b"SELECT 1",
    since: 0.0,
    due: 100.0,
    cost: 1.0,
    memory: 1.0,
    tables: 1,
    text: Text::UNREAD,
    shape: None,
    marks: Marks {
        token: None,
        key: None,
    },
};

#[test]
fn a_query_gets_one_answer_and_nothing_is_sent_after_it() {
    let exchange = Exchange::default();
    let (query, slot) = exchange.take(&ASKED).unwrap();
    assert_eq!(exchange.take(&ASKED).map(|_| ()), Err(NotTaken::InHand));
    exchange.submit(query, 7, BOUNDS);
    exchange.submit(query, 8, BOUNDS);
    let first = Order::Submit {
        query,
        attempt: 0,
        engine_id: 7,
        bounds: BOUNDS,
    };
    assert_eq!(exchange.next_order(), Some(first));
    assert_eq!(exchange.next_order(), None);
    assert!(
        exchange.answer(query, Answer::Failed) && !exchange.answer(query, Answer::Rejected(1.0))
    );
    assert!(matches!(slot.take(), Some(Answer::Failed)));
    // What has not gone out of it by now does not any more, whatever the settings say of cancels.
    assert_eq!(exchange.next_order(), Some(Order::Withdraw { query }));
    exchange.submit(query, 7, BOUNDS);
    assert_eq!((exchange.next_order(), exchange.in_hand()), (None, 1));
    exchange.closed(query);
    assert_eq!(exchange.in_hand(), 0);
    assert_eq!(exchange.take(&ASKED).map(|_| ()), Err(NotTaken::Past));
    (0..MAX_PAST).for_each(|n| exchange.past.borrow_mut().keep(n.to_string().into()));
    assert!(exchange.take(&ASKED).is_ok());
}

#[test]
fn statements_beyond_the_room_are_turned_away_until_others_end() {
    let exchange = Exchange::new(ASKED.statement.len() + 1);
    let (query, _slot) = exchange.take(&ASKED).unwrap();
    let second = Asked {
        id: "9b1f03aa5c7e2d42",
        ..ASKED
    };
    assert_eq!(exchange.take(&second).map(|_| ()), Err(NotTaken::NoRoom));
    exchange.answer(query, Answer::Failed);
    assert!(exchange.take(&second).is_ok());
}

#[test]
fn a_client_that_left_is_owed_nothing() {
    let exchange = Exchange::default();
    let (query, slot) = exchange.take(&ASKED).unwrap();
    exchange.vanished(query);
    exchange.vanished(query);
    assert!(!exchange.answer(query, Answer::Failed) && slot.take().is_none());
    let events: Vec<Event> = std::iter::from_fn(|| exchange.next_event()).collect();
    assert!(matches!(
        events[..],
        [Event::Query { .. }, Event::Vanished { .. }]
    ));
    exchange.leave(query);
    assert_eq!(exchange.in_hand(), 0);
}

#[test]
fn a_new_priority_reaches_a_attempt_that_is_out() {
    let exchange = Exchange::default();
    let (query, _slot) = exchange.take(&ASKED).unwrap();
    exchange.grant(query, 3, 0.0);
    exchange.submit(query, 7, BOUNDS);
    exchange.grant(query, 1, 0.0);
    exchange.next_order();
    assert_eq!(
        exchange.next_order(),
        Some(Order::Renice { query, priority: 1 })
    );
}
