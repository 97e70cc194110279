//! Measures how late the machine wakes a thread. On a machine that is too busy, the timing of real processes cannot be
//! evaluated.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval between wake-ups.
const WAKE_INTERVAL: Duration = Duration::from_millis(5);

/// Measures wake-up delays until it is dropped.
#[derive(Debug)]
pub struct LagMonitor {
    max_lag_us: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
}

impl LagMonitor {
    /// Starts measuring.
    pub fn start() -> Self {
        let monitor = LagMonitor {
            max_lag_us: Arc::default(),
            is_stopped: Arc::default(),
        };
        let (max_lag_us, is_stopped) = (monitor.max_lag_us.clone(), monitor.is_stopped.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let start = Instant::now();
                thread::sleep(WAKE_INTERVAL);
                // The delay includes the start of a thread: stand-ins start many threads, which contend for the lock of
                // the process's memory map.
                let _ = thread::spawn(|| ()).join();
                let lag = start.elapsed().saturating_sub(WAKE_INTERVAL);
                max_lag_us.fetch_max(lag.as_micros() as u64, Ordering::Relaxed);
            }
        });
        monitor
    }

    /// The longest delay of a wake-up (ms).
    pub fn max_lag_ms(&self) -> f64 {
        self.max_lag_us.load(Ordering::Relaxed) as f64 / 1000.0
    }
}

impl Drop for LagMonitor {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
