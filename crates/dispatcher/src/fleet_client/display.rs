//! The output texts of `tansymux fleet`. Scripts parse them, so they do not follow renamed types in the code.

use tansymux_coordination::disruption_budget::Scope;
use tansymux_coordination::{DisruptionReason, ReleaseStage};
use tansymux_rollout::message::{Answer, Status};
use tansymux_zone_evacuation::codec::ZoneEntry;
use tansymux_zone_evacuation::Stage as ZoneStage;

/// A member's answer as one line of text.
pub fn answer_text(answer: &Answer) -> String {
    match answer {
        Answer::NoLeader => "nobody leads: nothing new goes out, what serves goes on".into(),
        Answer::Pending => "it was not agreed in time".into(),
        Answer::Granted { .. } | Answer::Done | Answer::Status(_) | Answer::Zones(_) => {
            "done".into()
        }
        Answer::TooManyCoresEvacuated { fraction } => {
            format!("{:.0}% of all cores would be left", fraction * 100.0)
        }
        Answer::Halted { reason, number, .. } => {
            format!("halted, {} (number {number})", reason.description())
        }
        Answer::BudgetExhausted {
            scope,
            unavailable,
            max_unavailable,
        } => {
            let scope = scope_text(*scope);
            format!("{unavailable} are out of at most {max_unavailable} ({scope})")
        }
        Answer::TooSoon { wait_ms } => {
            let wait_s = f64::from(*wait_ms) / 1000.0;
            format!("too soon after the last one, by {wait_s:.1} s")
        }
        Answer::AlreadyOut { reason } => {
            let reason = disruption_reason_text(*reason);
            format!("it is out already ({reason})")
        }
        Answer::InsufficientCapacity { load, remaining } => {
            format!("what remains would not carry the load: {load:.1} on {remaining:.1}")
        }
        Answer::UnknownUnit => "no such member or engine is known".into(),
        Answer::OthersFirst => "others are first".into(),
        Answer::PausedAfterZone => "a rest after a hall".into(),
        Answer::NoSuchRelease => "no release goes there".into(),
        Answer::Already => "it is there already".into(),
        Answer::ReleaseInProgress { number } => format!("release {number} is under way"),
        Answer::NoPreviousVersion => "the release named no version to go back to".into(),
    }
}

/// The output of `tansymux fleet status`.
pub fn status_text(status: &Status) -> String {
    let mut text = format!(
        "leader {:016x}\nmembers {} out {} lost {}\nengines {} out {}",
        status.leader,
        status.members,
        status.unavailable,
        status.lost,
        status.engines,
        status.engines_unavailable
    );
    text += &match status.halt {
        Some((reason, number)) => format!("\nhalted {} (number {number})", reason.description()),
        None => "\nhalted no".into(),
    };
    if let Some(release) = status.release {
        text += &format!(
            "\nrelease {} {} to {:08x} from {:08x} there {} to go {} pairs {} difference {:+.4}",
            release.number,
            stage_text(release.stage),
            release.to,
            release.from,
            status.released,
            status.remaining,
            status.pairs,
            status.mean_difference
        );
    }
    text
}

fn stage_text(stage: ReleaseStage) -> &'static str {
    match stage {
        ReleaseStage::Canaries => "first few",
        ReleaseStage::Waves => "hall by hall",
        ReleaseStage::RollingBack => "going back",
        ReleaseStage::Completed => "done",
        ReleaseStage::RolledBack => "gone back",
    }
}

/// One line of the output of `tansymux fleet zones`.
pub fn zone_line(entry: &ZoneEntry) -> String {
    let status = &entry.status;
    let stage = if status.stage == ZoneStage::Evacuated {
        "left"
    } else {
        "returns"
    };
    format!(
        "{:08x} {stage} step {} number {} why {} shares {:.3}",
        entry.zone, status.step, status.decision_number, status.reason, entry.quota
    )
}

/// The text of the reason for which a member or engine is unavailable.
fn disruption_reason_text(reason: DisruptionReason) -> &'static str {
    match reason {
        DisruptionReason::RestartLease => "Turn",
        DisruptionReason::Drain => "Drain",
        DisruptionReason::Ejected => "Ejected",
        DisruptionReason::Lost => "Lost",
        DisruptionReason::Announced => "Announced",
    }
}

/// The text of the scope of a limit of the disruption budget.
fn scope_text(scope: Scope) -> &'static str {
    match scope {
        Scope::Fleet => "Fleet",
        Scope::Zone => "Zone",
        Scope::Version => "Version",
    }
}
