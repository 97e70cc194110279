use super::*;
use std::cell::Cell;
use std::rc::Rc;

#[test]
fn driver_is_polled_while_tasks_are_always_ready() {
    let executor = LocalExecutor::new();
    let polls = Rc::new(Cell::new(0));
    for _ in 0..8 {
        let polls = polls.clone();
        let busy_task = async move {
            loop {
                polls.set(polls.get() + 1);
                std::thread::sleep(TIME_SLICE);
                future::yield_now().await;
            }
        };
        executor.spawn(busy_task).detach();
    }
    let driver = async {
        for _ in 0..10 {
            future::yield_now().await;
        }
    };
    future::block_on(run(&executor, driver));
    assert!(polls.get() <= 30, "tasks were polled {} times", polls.get());
}
