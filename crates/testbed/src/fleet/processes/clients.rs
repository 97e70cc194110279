//! Clients of the fleet on processes.

use super::FleetRun;
use crate::client::{send_query, ClientQuery};
use crate::fleet::dispatcher_setup::MAX_WAIT_MS;
use crate::record::{EventKind, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Work of a query, as its client declares it (ms).
const QUERY_COST_MS: f64 = 4.0;
/// Query ids of one client lie this far from those of the next one.
const IDS_PER_CLIENT: u64 = 1_000_000;
/// Entries at the end of a client's record among which those of its last query are.
const LAST_ENTRIES: usize = 4;

/// What became of the queries of all clients.
#[derive(Default)]
pub(super) struct RequestCounts {
    pub asked: AtomicU64,
    pub completed: AtomicU64,
    /// Queries that a process which keeps running accepted and did not answer.
    pub unanswered: AtomicU64,
}

impl FleetRun {
    /// Sends queries to members drawn at random, as a load balancer would. A query that was accepted by a process which
    /// keeps running must be answered.
    pub(super) fn run_client(&self, client: u64) {
        let mut rng = Pcg32::seed_from_u64(self.scenario.seed * 31 + client);
        let record = Record::default();
        let mut id = client * IDS_PER_CLIENT;
        while !self.is_over() {
            id += 1;
            let member = rng.random_range(0..self.processes.len());
            self.send_query(id, member, &record);
            thread::sleep(Duration::from_millis(rng.random_range(5..25)));
        }
    }

    fn send_query(&self, id: u64, member: usize, record: &Record) {
        let process_before = self.processes.running_process(member);
        let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
        query.cost = Some(QUERY_COST_MS);
        let response = send_query(self.processes.listen_address(member), &query, record);
        let same_process =
            process_before.is_some() && process_before == self.processes.running_process(member);
        self.requests.asked.fetch_add(1, Ordering::Relaxed);
        match response {
            Some(response) if response.status == 200 => {
                self.requests.completed.fetch_add(1, Ordering::Relaxed);
            }
            // A listener that is closed already refuses at once, and owes no answer.
            None if same_process
                && was_sent(record, &query)
                && self.processes.is_healthy(member) =>
            {
                self.requests.unanswered.fetch_add(1, Ordering::Relaxed);
            }
            _ => {}
        }
    }
}

/// Whether the query's connection was established.
fn was_sent(record: &Record, query: &ClientQuery) -> bool {
    let id = query.id();
    record
        .entries()
        .iter()
        .rev()
        .take(LAST_ENTRIES)
        .any(|entry| matches!(&entry.event, EventKind::Asked { id: asked, .. } if *asked == id))
}
