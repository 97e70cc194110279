//! Reads and writes the quorum records with the agreed status of zones.

use crate::message::Answer;
use crate::quorum_records::{self, propose};
use std::collections::BTreeMap;
use tansymux_coordination::{LeasedRecord, Proposal, QuorumNode, Record, RecordValue};
use tansymux_zone_evacuation::{Reason, Stage, ZoneId, ZoneStatus};

/// Statuses of zones that a majority of voters has accepted, or may have accepted.
pub(super) fn agreed_statuses(node: &QuorumNode) -> BTreeMap<ZoneId, ZoneStatus> {
    node.all_active().filter_map(zone_status).collect()
}

/// Reads the status of a zone from a record; `None` for any other record, and for unknown codes of a later version.
fn zone_status(leased: LeasedRecord) -> Option<(ZoneId, ZoneStatus)> {
    let RecordValue::Zone {
        zone,
        stage,
        step,
        reason,
        number,
    } = leased.record.value
    else {
        return None;
    };
    let status = ZoneStatus {
        stage: Stage::from_code(stage)?,
        step,
        decision_number: number,
        reason: Reason::from_code(reason)?,
    };
    Some((zone, status))
}

/// Proposes a zone's status; `None` ends the zone's record, which returns the zone to normal use.
pub(super) fn write_status(
    node: &mut QuorumNode,
    zone: ZoneId,
    status: Option<ZoneStatus>,
    now_ms: f64,
) {
    let key = Record::zone_key(zone);
    let proposal = match status {
        Some(status) => Proposal::without_expiry(
            key,
            RecordValue::Zone {
                zone,
                stage: status.stage.code(),
                step: status.step,
                reason: status.reason.code(),
                number: status.decision_number,
            },
        ),
        None => Proposal::tombstone(key),
    };
    propose(node, &[proposal], now_ms);
}

/// Returns [`Answer::Done`] if a majority has accepted the status of a zone, else [`Answer::Pending`].
pub(super) fn when_chosen(node: &QuorumNode, zone: ZoneId) -> Answer {
    quorum_records::when_chosen(node, Record::zone_key(zone), Answer::Done)
}
