//! Measures how late the machine wakes a thread. The timing of real processes cannot be evaluated on a machine that is too
//! busy.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two wake-ups.
const STEP: Duration = Duration::from_millis(5);

/// Measures wake-up delays until it is dropped.
#[derive(Debug)]
pub struct LagMonitor {
    max_lag_us: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl LagMonitor {
    /// Starts measuring.
    pub fn start() -> Self {
        let monitor = LagMonitor {
            max_lag_us: Arc::default(),
            is_over: Arc::default(),
        };
        let (max_lag_us, is_over) = (monitor.max_lag_us.clone(), monitor.is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let from = Instant::now();
                thread::sleep(STEP);
                // Includes the start of a thread: stand-ins start many, and they share the lock of the memory map.
                let _ = thread::spawn(|| ()).join();
                let lag = from.elapsed().saturating_sub(STEP);
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
        self.is_over.store(true, Ordering::Relaxed);
    }
}
