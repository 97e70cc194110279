//! Clients that send queries to a fleet of processes.

use super::FleetRun;
use crate::client::{send_query, ClientQuery};
use crate::fleet::dispatcher_setup::MAX_WAIT_MS;
use crate::record::{EventKind, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Cost that a client declares for each query (ms).
const QUERY_COST_MS: f64 = 4.0;
/// Number of query ids reserved for each client.
const IDS_PER_CLIENT: u64 = 1_000_000;
/// Number of entries at the end of a client's record that are searched for its last query.
const SEARCHED_ENTRIES: usize = 4;

/// Counts of the queries of all clients, by outcome.
#[derive(Default)]
pub(super) struct RequestCounts {
    pub sent: AtomicU64,
    pub completed: AtomicU64,
    /// Queries accepted but not answered by a process that kept running.
    pub unanswered: AtomicU64,
}

impl FleetRun {
    /// Sends queries to random members, as a load balancer would, until the run is over. A process that accepts a
    /// query and keeps running must answer it.
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
        let process_before = self.processes.running_process_id(member);
        let mut query = ClientQuery::new(id, "/invoke/look", "look", "select 1", MAX_WAIT_MS);
        query.cost = Some(QUERY_COST_MS);
        let response = send_query(self.processes.listen_address(member), &query, record);
        let same_process =
            process_before.is_some() && process_before == self.processes.running_process_id(member);
        self.requests.sent.fetch_add(1, Ordering::Relaxed);
        match response {
            Some(response) if response.status == 200 => {
                self.requests.completed.fetch_add(1, Ordering::Relaxed);
            }
            // A closed listener refuses the connection at once, so no answer is expected.
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
        .take(SEARCHED_ENTRIES)
        .any(|entry| matches!(&entry.event, EventKind::Asked { id: sent_id, .. } if *sent_id == id))
}
