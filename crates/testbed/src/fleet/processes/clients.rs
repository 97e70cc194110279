//! Clients of the fleet on processes.

use super::setup::QUERY_MAX_WAIT_MS;
use super::FleetRun;
use crate::client::{send_query, ClientQuery};
use crate::record::{EventKind, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Work of a query, as its client declares it (ms).
const QUERY_COST_MS: f64 = 4.0;

impl FleetRun {
    /// Sends queries to members drawn at random, as a front layer would. A query that was taken in by a process which
    /// lives on must be answered.
    pub(super) fn run_client(&self, client: u64) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 31 + client);
        let record = Record::default();
        let mut id = client * 1_000_000;
        while !self.is_over() {
            id += 1;
            let n = rng.random_range(0..self.listen_addresses.len());
            let process_before = self.running_process(n);
            let mut query =
                ClientQuery::new(id, "/invoke/look", "look", "select 1", QUERY_MAX_WAIT_MS);
            query.cost = Some(QUERY_COST_MS);
            let response = send_query(self.listen_addresses[n], &query, &record);
            let same_process =
                process_before.is_some() && process_before == self.running_process(n);
            self.requests.fetch_add(1, Ordering::Relaxed);
            match response {
                Some(response) if response.status == 200 => {
                    self.requests_ok.fetch_add(1, Ordering::Relaxed);
                }
                // A listener that is closed already refuses at once, and owes no answer.
                None if same_process && was_sent(&record, &query) && self.is_healthy(n) => {
                    self.unanswered.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            thread::sleep(Duration::from_millis(rng.random_range(5..25)));
        }
    }

    /// The id of the process at a place, where one runs and is not stalled.
    fn running_process(&self, n: usize) -> Option<u32> {
        let place = self.place(n);
        let program = place.program.as_ref().filter(|_| !place.stalled);
        program.map(|program| program.child.id())
    }
}

/// Whether the query's connection came up.
fn was_sent(record: &Record, query: &ClientQuery) -> bool {
    let id = query.id();
    record
        .entries()
        .iter()
        .rev()
        .take(4)
        .any(|entry| matches!(&entry.event, EventKind::Asked { id: asked, .. } if *asked == id))
}
