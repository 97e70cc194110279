//! Text that describes the members' state, for the analysis of a failed run.

use super::member::Member;
use super::members::Members;
use super::settings::{member_id, member_name};
use std::fmt::Debug;
use tansymux_coordination::{LeasedRecord, QuorumNode, Record, UnitKind};
use tansymux_rollout::FleetNode;

/// Maximum number of members whose state is shown.
const SHOWN_MEMBERS: usize = 7;

/// The leader's records, then how all members see each of the first members, then the coordination state of the
/// first members.
pub(super) fn describe(members: &Members, now_ms: f64) -> String {
    let Some(leader) = members.leader() else {
        return "no leader".into();
    };
    let shown = members.len().min(SHOWN_MEMBERS);
    let mut text = leader_records(members, leader);
    for member in 0..shown {
        text += &format!("\n  n{member}: {}", views_of(members, member));
    }
    for member in members.iter().take(shown) {
        text += &format!("\n  {}", coordination_state(member, now_ms));
    }
    text
}

/// The records that the leader holds. The key of a member's record is shown as the member's name.
fn leader_records(members: &Members, leader: usize) -> String {
    let Some(quorum) = members.member(leader).fleet().and_then(FleetNode::quorum) else {
        return String::new();
    };
    let records: Vec<String> = quorum
        .all_active()
        .map(|leased| {
            let name = name_of_key(leased.record.key, members.len());
            let remaining_ms = leased.remaining_ms;
            format!("{name} {:?} {remaining_ms:?}", leased.record.value)
        })
        .collect();
    records.join("; ")
}

fn name_of_key(key: u64, members: usize) -> String {
    (0..members)
        .find(|member| Record::unit_key(UnitKind::Dispatcher, member_id(*member)) == key)
        .map_or_else(|| format!("{key:x}"), member_name)
}

/// State and incarnation of a member, as each member sees it.
fn views_of(members: &Members, member: usize) -> String {
    let id = member_id(member);
    let views: Vec<String> = members
        .iter()
        .map(|observer| {
            let view = observer.fleet().and_then(|fleet| {
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

/// A member's role, its leadership, the leader it knows, and the records that its agent and its voter hold.
fn coordination_state(member: &Member, now_ms: f64) -> String {
    let Some(fleet) = member.fleet() else {
        return "None".into();
    };
    let process_ms = member.process_clock_ms(now_ms);
    let leadership = fleet.quorum().map(|quorum| leadership(quorum, process_ms));
    let agent_records: Vec<_> = fleet
        .agent()
        .records(process_ms)
        .map(agent_record)
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

/// Whether a voter leads, how long it has led (ms), the leader that it knows, and its highest record stamp.
fn leadership(quorum: &QuorumNode, process_ms: f64) -> impl Debug {
    let led_for_ms = quorum
        .leader_since_ms()
        .map(|since_ms| process_ms - since_ms);
    (
        quorum.is_leader(process_ms),
        led_for_ms,
        quorum.leader(),
        quorum.highest_stamp(),
    )
}

/// The fields of a record that a member's agent holds.
fn agent_record(leased: LeasedRecord) -> impl Debug {
    let record = leased.record;
    (
        record.key,
        record.value,
        record.stamp.ballot.round,
        record.stamp.number,
        leased.remaining_ms,
    )
}
