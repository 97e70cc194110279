//! Runs the driver and all other tasks on one thread. After each time slice of the tasks, the driver, timers and
//! sockets are polled, however much work the tasks have.

use async_executor::LocalExecutor;
use futures_lite::future;
use std::future::Future;
use std::time::{Duration, Instant};

/// Time for which tasks run before the driver, timers and sockets are polled. A running task is not interrupted.
const TIME_SLICE: Duration = Duration::from_millis(1);

/// Runs `driver` and the tasks of `executor` until `driver` completes.
pub async fn run<T>(executor: &LocalExecutor<'_>, driver: impl Future<Output = T>) -> T {
    let tasks = async {
        loop {
            executor.tick().await;
            let slice_start = Instant::now();
            while executor.try_tick() {
                if slice_start.elapsed() >= TIME_SLICE {
                    future::yield_now().await;
                    break;
                }
            }
        }
    };
    future::or(driver, tasks).await
}

#[cfg(test)]
mod tests;
