//! The members' operators' files for a scenario.

use crate::fleet::relay::Relay;
use crate::fleet::scenario::Scenario;
use crate::fleet::FLEET_KEY;

/// Suffix of the files' names.
pub(super) const NAME_SUFFIX: &str = "fleet.textproto";
/// Maximum number of join seeds in a member's file.
const MAX_JOIN_SEEDS: usize = 5;

/// Whether a starting voter may have made promises before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VoterState {
    /// The fleet starts for the first time, so no voter has made a promise.
    Fresh,
    /// The fleet has been started before, so a starting voter may have forgotten promises.
    Restarted,
}

/// The text of the operators' file of a member that runs `version`.
pub(super) fn text(
    scenario: &Scenario,
    member: usize,
    relay: &Relay,
    version: &str,
    voter_state: VoterState,
) -> String {
    let is_fresh = voter_state == VoterState::Fresh;
    let seeds: String = relay
        .public
        .iter()
        .take(MAX_JOIN_SEEDS)
        .map(|address| format!("seed: \"{address}\" "))
        .collect();
    let voters: String = (0..scenario.voters)
        .map(|voter| format!("voter: \"n{voter}\" "))
        .collect();
    format!(
        "fleet {{ name: \"n{member}\" listen: \"{}\" address: \"{}\" {seeds} {voters} key: \"{FLEET_KEY}\" version: \"{version}\"
           fresh: {is_fresh} timing {{ period_s: 0.4 timeout_s: 0.12 lead_s: 1 settle_s: 1.5 late_s: {} }}
           dispatchers {{ most: {} carry: 1 }} engines {{ most: {} carry: 1 }}
           turns {{ turn_s: {} canaries: 1 canary_s: 2 goes_on_untold: true lost: {} left_s: 20 window_s: 1 }} }}",
        relay.private[member],
        relay.public[member],
        scenario.late / 1000.0,
        scenario.max_out,
        scenario.max_engines,
        scenario.turn / 1000.0,
        scenario.members
    )
}
