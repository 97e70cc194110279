//! Joining through seeds, and anti-entropy: members compare digests of their member tables and exchange the buckets
//! that differ.

use super::SwimDetector;
use crate::codec::{self, Gossip, MemberId, MemberState, Message, TABLE_BUCKETS};
use crate::member::Member;
use rand::RngExt;
use std::net::SocketAddr;

/// Maximum number of datagrams with member tables sent in response to joins in a protocol period, because such
/// responses are longer than the request. The limit is enough for a few joining members.
const MAX_JOIN_ANSWERS: usize = 60;
/// Maximum number of datagrams sent in response to table syncs in a protocol period.
const MAX_SYNC_ANSWERS: usize = 5;
/// [`MAX_SYNC_ANSWERS`] while the member table is unsettled: shortly after the start or after a member was added.
const MAX_SYNC_ANSWERS_UNSETTLED: usize = 3 * MAX_SYNC_ANSWERS;
/// Mean number of protocol periods between two table syncs. While the member table is unsettled, the mean is 1.
const SYNC_PERIODS: f64 = 5.0;
/// Mean number of protocol periods between two joins of a member that knows other present members. While it knows none,
/// it sends joins in every period.
const REJOIN_PERIODS: f64 = 15.0;
/// Multiplier of Fibonacci hashing (2^64 divided by the golden ratio). It is part of the wire format, since all members
/// must compute the same buckets and digests.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the bucket of the member table that a member belongs to.
fn bucket_of(id: MemberId) -> usize {
    (id.wrapping_mul(HASH_MULTIPLIER) >> 60) as usize % TABLE_BUCKETS
}

impl SwimDetector {
    /// Requests the member tables of seeds: of all seeds while no other member is present, and otherwise of a random
    /// seed from time to time (see [`REJOIN_PERIODS`]), so that the sides of a partitioned group merge after the
    /// partition.
    pub(super) fn join_if_due(&mut self) {
        if self.now_ms < self.next_join_ms {
            return;
        }
        let has_no_peers = self.present_members().next().is_none();
        // The jitter spreads the requests of members that started at the same time.
        let jitter = 0.5 + self.rng.random::<f64>();
        let periods = if has_no_peers {
            1.0
        } else {
            REJOIN_PERIODS * jitter
        };
        self.next_join_ms = self.now_ms + self.config.period_ms * periods;
        let own_address = self.address;
        let mut seeds = self.config.seeds.clone();
        seeds.retain(|seed| *seed != own_address);
        if has_no_peers {
            for seed in seeds {
                self.send(seed, Message::Join);
            }
        } else if !seeds.is_empty() {
            let seed = seeds[self.rng.random_range(0..seeds.len())];
            self.send(seed, Message::Join);
        }
    }

    /// Sends all present members to a joining member, within [`MAX_JOIN_ANSWERS`].
    pub(super) fn answer_join(&mut self, to: SocketAddr, sequence_number: u32) {
        let present: Vec<Gossip> = self.present_members().map(Member::to_gossip).collect();
        self.send_numbered(to, Message::Ack, sequence_number);
        let allowed = MAX_JOIN_ANSWERS.saturating_sub(self.join_answers_sent);
        self.join_answers_sent += self.send_table(to, sequence_number, present, allowed);
    }

    /// Sends claims in at most `max_datagrams` datagrams, beginning with a random claim. Returns the number of
    /// datagrams sent.
    fn send_table(
        &mut self,
        to: SocketAddr,
        sequence_number: u32,
        mut claims: Vec<Gossip>,
        max_datagrams: usize,
    ) -> usize {
        if claims.is_empty() {
            return 0;
        }
        let first = self.rng.random_range(0..claims.len());
        claims.rotate_left(first);
        let mut sent = 0;
        for chunk in claims
            .chunks(codec::gossip_capacity(Message::Ack))
            .take(max_datagrams)
        {
            self.transport
                .push(to, Message::Ack, sequence_number, chunk.to_vec());
            sent += 1;
        }
        sent
    }

    /// Returns the digest of each bucket of the member table, computed over the present members and their incarnations.
    fn table_digests(&self) -> [u32; TABLE_BUCKETS] {
        let mut digests = [0_u32; TABLE_BUCKETS];
        let mut add = |id: MemberId, incarnation: u32| {
            let mixed = (id ^ u64::from(incarnation).rotate_left(32)).wrapping_mul(HASH_MULTIPLIER);
            let digest = &mut digests[bucket_of(id)];
            *digest = digest.wrapping_add((mixed >> 32) as u32);
        };
        for member in self.present_members() {
            add(member.id, member.incarnation);
        }
        add(self.id, self.incarnation);
        digests
    }

    /// Sends the members of the buckets whose digests differ, including members that are dead or have left.
    pub(super) fn answer_table_sync(
        &mut self,
        to: SocketAddr,
        remote_digests: &[u32; TABLE_BUCKETS],
    ) {
        let local_digests = self.table_digests();
        let differs = |id: MemberId| local_digests[bucket_of(id)] != remote_digests[bucket_of(id)];
        let mut claims: Vec<Gossip> = self
            .members
            .values()
            .filter(|member| differs(member.id))
            .map(Member::to_gossip)
            .collect();
        if differs(self.id) && !self.is_leaving {
            claims.push(self.own_gossip(MemberState::Alive));
        }
        if claims.is_empty() {
            return;
        }
        let max_answers = if self.unsettled_periods > 0 {
            MAX_SYNC_ANSWERS_UNSETTLED
        } else {
            MAX_SYNC_ANSWERS
        };
        let allowed = max_answers.saturating_sub(self.sync_answers_sent);
        self.sync_answers_sent += self.send_table(to, 0, claims, allowed);
    }

    /// Compares member tables with a random member. Gossip alone is not sufficient, since each claim is transmitted a
    /// limited number of times and may not reach all members.
    pub(super) fn sync_tables_if_due(&mut self) {
        if self.now_ms < self.next_sync_ms || self.is_leaving {
            return;
        }
        let jitter = 0.5 + self.rng.random::<f64>();
        let periods = if self.unsettled_periods > 0 {
            1.0
        } else {
            SYNC_PERIODS
        };
        self.unsettled_periods = self.unsettled_periods.saturating_sub(1);
        self.next_sync_ms = self.now_ms + periods * jitter * self.config.period_ms;
        let present_count = self.present_members().count();
        if present_count == 0 {
            return;
        }
        let index = self.rng.random_range(0..present_count);
        let peer = self.present_members().nth(index);
        if let Some(address) = peer.map(|member| member.address) {
            let message = Message::TableSync(self.table_digests());
            self.send(address, message);
        }
    }
}
