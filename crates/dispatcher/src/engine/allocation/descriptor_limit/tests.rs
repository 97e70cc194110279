use super::*;
use crate::engine::channel::EngineProcess;
use crate::ids::ConnectionId;

fn channel(number: u64) -> Rc<Channel> {
    let process = EngineProcess {
        address: None,
        started_ms: None,
    };
    Rc::new(Channel::new(ConnectionId(number), 7, process, 0.0))
}

#[test]
fn released_descriptor_is_granted_to_the_connection_that_has_waited_longest() {
    let limit = DescriptorLimit::new(1);
    let (first, second, third) = (channel(1), channel(2), channel(3));
    limit.grant(&first);
    assert!(limit.is_reached() && first.has_descriptor());
    limit.enqueue(second.clone());
    limit.enqueue(third.clone());
    limit.release(&first);
    assert!(second.has_descriptor() && !third.has_descriptor());
    assert_eq!((limit.connection_count(), limit.waiting_count()), (1, 1));
}

#[test]
fn connection_closed_while_waiting_is_removed_from_the_queue() {
    let limit = DescriptorLimit::new(1);
    let (first, second) = (channel(1), channel(2));
    limit.grant(&first);
    limit.enqueue(second.clone());
    limit.release(&second);
    assert_eq!((limit.connection_count(), limit.waiting_count()), (1, 0));
    limit.release(&first);
    assert_eq!(limit.connection_count(), 0);
    assert!(!second.has_descriptor());
}
