//! The texts of `tansymux fleet`. Scripts read them: what is printed here does not change with the names in the code.

use tansymux_coordination::limits::Scope;
use tansymux_coordination::{Stage as ReleaseStage, Why as OutReason};
use tansymux_rollout::message::{Answer, Status};
use tansymux_zone_evacuation::codec::ZoneEntry;
use tansymux_zone_evacuation::Stage as ZoneStage;

/// One line that says what a member answered.
pub fn answer_text(answer: &Answer) -> String {
    match answer {
        Answer::NoLeader => "nobody leads: nothing new goes out, what serves goes on".into(),
        Answer::Pending => "it was not agreed in time".into(),
        Answer::Granted { .. } | Answer::Done | Answer::Status(_) | Answer::Zones(_) => {
            "done".into()
        }
        Answer::TooMuch { part } => format!("{:.0}% of all cores would be left", part * 100.0),
        Answer::Halted { why, number, .. } => format!("halted, {} (number {number})", why.words()),
        Answer::Full { scope, out, most } => {
            let scope = scope_text(*scope);
            format!("{out} are out of at most {most} ({scope})")
        }
        Answer::TooSoon { wait } => {
            let wait_s = f64::from(*wait) / 1000.0;
            format!("too soon after the last one, by {wait_s:.1} s")
        }
        Answer::AlreadyOut { why } => {
            let reason = out_reason_text(*why);
            format!("it is out already ({reason})")
        }
        Answer::NotCarried { load, left } => {
            format!("what remains would not carry the load: {load:.1} on {left:.1}")
        }
        Answer::Unknown => "no such member or engine is known".into(),
        Answer::Others => "others are first".into(),
        Answer::Pause => "a rest after a hall".into(),
        Answer::NoSuchRelease => "no release goes there".into(),
        Answer::Already => "it is there already".into(),
        Answer::Running { number } => format!("release {number} is under way"),
        Answer::NoWayBack => "the release named no version to go back to".into(),
    }
}

/// What `tansymux fleet status` prints.
pub fn status_text(status: &Status) -> String {
    let mut text = format!(
        "leader {:016x}\nmembers {} out {} lost {}\nengines {} out {}",
        status.leader, status.members, status.out, status.lost, status.engines, status.engines_out
    );
    text += &match status.halt {
        Some((reason, number)) => format!("\nhalted {} (number {number})", reason.words()),
        None => "\nhalted no".into(),
    };
    if let Some((number, stage, to, from)) = status.release {
        text += &format!(
            "\nrelease {number} {} to {to:08x} from {from:08x} there {} to go {} pairs {} difference {:+.4}",
            stage_text(stage),
            status.released,
            status.to_go,
            status.pairs,
            status.by
        );
    }
    text
}

fn stage_text(stage: ReleaseStage) -> &'static str {
    match stage {
        ReleaseStage::Canaries => "first few",
        ReleaseStage::Waves => "hall by hall",
        ReleaseStage::Back => "going back",
        ReleaseStage::Done => "done",
        ReleaseStage::Undone => "gone back",
    }
}

/// A line of `tansymux fleet zones`.
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

/// Why a member or an engine is out.
fn out_reason_text(reason: OutReason) -> &'static str {
    match reason {
        OutReason::Turn => "Turn",
        OutReason::Drain => "Drain",
        OutReason::Ejected => "Ejected",
        OutReason::Lost => "Lost",
        OutReason::Announced => "Announced",
    }
}

/// What a limit of the disruption budget counts over.
fn scope_text(scope: Scope) -> &'static str {
    match scope {
        Scope::Fleet => "Fleet",
        Scope::Zone => "Zone",
        Scope::Version => "Version",
    }
}
