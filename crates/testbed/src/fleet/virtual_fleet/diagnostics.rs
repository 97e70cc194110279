//! What members know, as text for whoever looks for the cause of a failed run.

use super::member::Member;
use super::VirtualFleet;
use tansymux_coordination::{Record, UnitKind};
use tansymux_membership::member_id_of;

/// Members whose view is shown.
const SHOWN_MEMBERS: usize = 7;

impl VirtualFleet {
    /// The leader's records, then how the first members see all others, then their coordination state.
    pub fn diagnostics(&self) -> String {
        let Some(leader) = self.leader() else {
            return "nobody leads".into();
        };
        let shown = self.members.len().min(SHOWN_MEMBERS);
        let mut text = self.leader_records(leader);
        for n in 0..shown {
            text += &format!("\n  n{n}: {}", self.views_of(n));
        }
        for member in &self.members[..shown] {
            text += &format!("\n  {}", coordination_state(member, self.now_ms));
        }
        text
    }

    /// The records that the leader holds, each with its key's member where it is one's.
    fn leader_records(&self, leader: usize) -> String {
        let Some(quorum) = self.members[leader]
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.quorum())
        else {
            return String::new();
        };
        let records: Vec<String> = quorum
            .all_active()
            .map(|leased| {
                let name = self.name_of_key(leased.record.key);
                let remaining_ms = leased.remaining_ms;
                format!("{name} {:?} {remaining_ms:?}", leased.record.value)
            })
            .collect();
        records.join("; ")
    }

    fn name_of_key(&self, key: u64) -> String {
        let is_of_member = |n: &usize| {
            let id = member_id_of(&format!("n{n}"));
            Record::unit_key(UnitKind::Dispatcher, id) == key
        };
        (0..self.members.len())
            .find(is_of_member)
            .map_or_else(|| format!("{key:x}"), |n| format!("n{n}"))
    }

    /// State and incarnation of member `n`, as each member sees it.
    fn views_of(&self, n: usize) -> String {
        let id = member_id_of(&format!("n{n}"));
        let views: Vec<String> = self
            .members
            .iter()
            .map(|member| {
                let view = member.fleet.as_ref().and_then(|fleet| {
                    fleet
                        .detector()
                        .members()
                        .find(|other| other.id == id)
                        .map(|other| (other.state, other.incarnation))
                });
                format!("{view:?}")
            })
            .collect();
        views.join(" ")
    }
}

/// A member's role, its leadership, the leader it knows, and the records that its agent and its voter hold.
fn coordination_state(member: &Member, now_ms: f64) -> String {
    let Some(fleet) = member.fleet.as_ref() else {
        return "None".into();
    };
    let process_ms = member.process_clock_ms(now_ms);
    let leadership = fleet.quorum().map(|quorum| {
        (
            quorum.is_leader(process_ms),
            quorum
                .leader_since_ms()
                .map(|since_ms| process_ms - since_ms),
            quorum.leader(),
            quorum.highest_stamp(),
        )
    });
    let agent_records: Vec<_> = fleet
        .agent()
        .records(process_ms)
        .map(|leased| {
            let record = leased.record;
            (
                record.key,
                record.value,
                record.stamp.ballot.round,
                record.stamp.number,
                leased.remaining_ms,
            )
        })
        .collect();
    let voter_records = fleet.quorum().map(|quorum| {
        quorum
            .records()
            .map(|leased| (leased.record.key, leased.record.value))
            .collect::<Vec<_>>()
    });
    let state = (
        fleet.role(),
        leadership,
        fleet.agent().leader(process_ms),
        agent_records,
        voter_records,
    );
    format!("{:?}", Some(state))
}
