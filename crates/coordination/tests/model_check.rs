//! Model check: two dispatchers request restart leases from three voters, which may grant only one lease at a time. In
//! each time step some links are down. Between steps a voter may be stopped, be resumed or lose its memory. Time steps
//! are coarse. The model runs [`QuorumNode`] itself.

use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use tansymux_coordination::codec::{decode, encode};
use tansymux_coordination::{
    Action as NodeAction, DisruptionReason, Event, Id, Proposal, QuorumConfig, QuorumNode, Record,
    RecordValue, UnitKind, VoterMemory, VoterStart,
};

const VOTERS: [Id; 3] = [1, 2, 3];
const CONFIG: QuorumConfig = QuorumConfig {
    leader_lease_ms: 1000.0,
    max_grant_ms: 3000.0,
    max_clock_skew: 0.02,
    retransmit_ms: 250.0,
    max_datagram_delay_ms: 0.0,
};
/// Length of a time step (ms). Each step has two halves, with the same links.
const STEP_MS: f64 = 500.0;
const MAX_MEMORY_LOSSES: u8 = 2;
const MAX_STOPS: u8 = 2;

/// A dispatcher that requests leases.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Dispatcher {
    /// Time of its last request (ms).
    requested_ms: f64,
    /// End of its lease by its own clock (ms).
    lease_end_ms: f64,
}

#[derive(Debug, Clone)]
struct State {
    nodes: Vec<QuorumNode>,
    stopped: [bool; 3],
    /// Datagrams queued for each voter, each with its sender.
    queued: [Vec<(Id, Vec<u8>)>; 3],
    dispatchers: [Dispatcher; 2],
    now_ms: f64,
    memory_losses: u8,
    stops: u8,
    /// Maximum number of leases held at the same time so far.
    max_holders: usize,
    grants: u8,
}

impl State {
    /// All fields as text, by which states are compared and hashed.
    fn as_text(&self) -> String {
        format!(
            "{:?}{:?}{:?}{:?}{}{}{}{}{}",
            self.nodes,
            self.stopped,
            self.queued,
            self.dispatchers,
            self.now_ms,
            self.memory_losses,
            self.stops,
            self.max_holders,
            self.grants
        )
    }

    fn current_holders(&self) -> usize {
        self.dispatchers
            .iter()
            .filter(|dispatcher| self.now_ms < dispatcher.lease_end_ms)
            .count()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.as_text() == other.as_text()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.as_text().hash(state);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Links {
    All,
    None,
    /// Datagrams to and from this voter are lost.
    Without(usize),
    /// Datagrams from this voter are lost; those to it arrive.
    WithoutSendsOf(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Step(Links),
    LoseMemory(usize),
    Stop(usize),
    Resume(usize),
}

struct QuorumModel;

fn link_is_up(links: Links, from: usize, to: usize) -> bool {
    match links {
        Links::All => true,
        Links::None => false,
        Links::Without(n) => from != n && to != n,
        Links::WithoutSendsOf(n) => from != n,
    }
}

fn node(n: usize, now_ms: f64, memory: VoterMemory) -> QuorumNode {
    // The rounds of a voter that lost its memory restart at 0, because leases must not depend on rounds.
    let start = VoterStart {
        memory,
        round: 0,
        seed: n as u64 + 1,
    };
    QuorumNode::new(VOTERS[n], &VOTERS, CONFIG, start, now_ms)
}

fn lease_key(dispatcher_index: usize) -> u64 {
    Record::unit_key(UnitKind::Dispatcher, 10 + dispatcher_index as u64)
}

/// If voter `n` is the leader, it grants a lease unless one is active, and reports the lease to the dispatcher once it
/// is chosen.
fn grant_leases(state: &mut State, n: usize, links: Links) {
    let now_ms = state.now_ms;
    if state.stopped[n] || !state.nodes[n].is_leader(now_ms) {
        return;
    }
    // The dispatchers share the links of the first voter: they reach the leader only if that voter does.
    if n != 0 && !(link_is_up(links, n, 0) && link_is_up(links, 0, n)) {
        return;
    }
    for index in 0..2 {
        let node = &mut state.nodes[n];
        let active_keys: Vec<u64> = (0..2)
            .map(lease_key)
            .filter(|key| node.active(*key).is_some())
            .collect();
        // The leader ends expired leases first.
        let is_expired = |key: &&u64| {
            node.active(**key)
                .is_some_and(|leased| leased.remaining_ms == Some(0))
        };
        let expired_keys: Vec<u64> = active_keys.iter().filter(is_expired).copied().collect();
        for key in expired_keys {
            let _ = node.propose(&[Proposal::tombstone(key)], now_ms);
        }
        if !active_keys.is_empty() && !active_keys.contains(&lease_key(index)) {
            continue;
        }
        // A dispatcher does not request a lease before its last lease has ended by its own clock.
        if active_keys.is_empty() && now_ms >= state.dispatchers[index].lease_end_ms {
            let value = RecordValue::Disruption {
                kind: UnitKind::Dispatcher,
                reason: DisruptionReason::RestartLease,
                zone: 0,
                session: 0,
                grant_id: state.dispatchers[index].requested_ms as u64,
            };
            let proposal = Proposal {
                key: lease_key(index),
                value,
                term_ms: Some(CONFIG.max_grant_ms),
            };
            let _ = node.propose(&[proposal], now_ms);
        }
        let Some(leased) = node.active(lease_key(index)) else {
            continue;
        };
        let (RecordValue::Disruption { grant_id, .. }, Some(remaining_ms)) =
            (leased.record.value, leased.remaining_ms)
        else {
            continue;
        };
        let requested_ms = state.dispatchers[index].requested_ms;
        if node.is_chosen(lease_key(index)) && grant_id == requested_ms as u64 && remaining_ms > 0 {
            let term_ms = f64::from(remaining_ms) / (1.0 + CONFIG.max_clock_skew);
            let lease_end_ms = requested_ms
                + CONFIG.max_grant_ms.min(now_ms - requested_ms + term_ms)
                    * (1.0 - CONFIG.max_clock_skew);
            if lease_end_ms > now_ms && state.dispatchers[index].lease_end_ms < lease_end_ms {
                state.dispatchers[index].lease_end_ms = lease_end_ms;
                state.grants = state.grants.saturating_add(1);
            }
        }
    }
}

fn deliver_messages(state: &mut State, links: Links) {
    for _ in 0..3 {
        for (n, id) in VOTERS.into_iter().enumerate() {
            if state.stopped[n] {
                continue;
            }
            for (from, bytes) in std::mem::take(&mut state.queued[n]) {
                if let Ok(message) = decode(&bytes) {
                    state.nodes[n].handle(Event::Received { from, message }, state.now_ms);
                }
            }
            while let Some(NodeAction::Send { to, message }) = state.nodes[n].poll(state.now_ms) {
                let receiver = (to - 1) as usize;
                if link_is_up(links, n, receiver) && state.queued[receiver].len() < 8 {
                    state.queued[receiver].push((id, encode(&message)));
                }
            }
        }
    }
}

impl Model for QuorumModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let dispatcher = Dispatcher {
            requested_ms: 0.0,
            lease_end_ms: 0.0,
        };
        let mut state = State {
            nodes: (0..3)
                .map(|n| node(n, 0.0, VoterMemory::NeverVoted))
                .collect(),
            stopped: [false; 3],
            queued: [Vec::new(), Vec::new(), Vec::new()],
            dispatchers: [dispatcher; 2],
            now_ms: 0.0,
            memory_losses: 0,
            stops: 0,
            max_holders: 0,
            grants: 0,
        };
        // In the initial state a leader is elected and no lease is active.
        deliver_messages(&mut state, Links::All);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now_ms >= 12_000.0 {
            return;
        }
        actions.extend([Links::All, Links::None].map(Action::Step));
        for n in 0..3 {
            actions.push(Action::Step(Links::Without(n)));
            actions.push(Action::Step(Links::WithoutSendsOf(n)));
            if state.memory_losses < MAX_MEMORY_LOSSES {
                actions.push(Action::LoseMemory(n));
            }
            match state.stopped[n] {
                true => actions.push(Action::Resume(n)),
                false if state.stops < MAX_STOPS => actions.push(Action::Stop(n)),
                false => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step(links) => {
                for _ in 0..2 {
                    state.now_ms += STEP_MS / 2.0;
                    let now_ms = state.now_ms;
                    // A dispatcher whose lease has ended requests a new lease.
                    for dispatcher in state.dispatchers.iter_mut().filter(|dispatcher| {
                        now_ms >= dispatcher.lease_end_ms
                            && now_ms - dispatcher.requested_ms > CONFIG.max_grant_ms
                    }) {
                        dispatcher.requested_ms = now_ms;
                    }
                    deliver_messages(&mut state, links);
                    (0..3).for_each(|n| grant_leases(&mut state, n, links));
                    deliver_messages(&mut state, links);
                    (0..3).for_each(|n| grant_leases(&mut state, n, links));
                    state.max_holders = state.max_holders.max(state.current_holders());
                }
            }
            Action::LoseMemory(n) => {
                state.nodes[n] = node(n, state.now_ms, VoterMemory::MayBeLost);
                (state.stopped[n], state.queued[n]) = (false, Vec::new());
                state.memory_losses += 1;
            }
            Action::Stop(n) => {
                state.stopped[n] = true;
                state.stops += 1;
            }
            Action::Resume(n) => state.stopped[n] = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one lease is held", |_, state: &State| {
                state.max_holders <= 1
            }),
            // If no lease could ever be held, the first property would hold trivially.
            Property::sometimes("a lease is granted", |_, state: &State| state.grants > 0),
            Property::sometimes("at least three leases are granted", |_, state: &State| {
                state.grants > 2
            }),
        ]
    }
}

#[test]
fn at_most_one_lease_is_held_in_any_order_of_partitions_stops_and_lost_memory() {
    // To check more states: MODEL_STATES=20000000.
    let state_count = std::env::var("MODEL_STATES")
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(600_000);
    // A breadth-first search from the initial state, then deep random runs. The 12 s of a run include several elections
    // and a complete quarantine.
    QuorumModel
        .checker()
        .target_state_count(200_000)
        .threads(4)
        .spawn_bfs()
        .join()
        .assert_always_properties();
    QuorumModel
        .checker()
        .target_state_count(state_count)
        .threads(4)
        .spawn_simulation(7, stateright::UniformChooser)
        .join()
        .assert_properties();
}

trait SafetyCheck {
    fn assert_always_properties(&self);
}

impl<C: Checker<QuorumModel>> SafetyCheck for C {
    /// Checks only the safety property. States that satisfy the other properties may lie deeper than this search.
    fn assert_always_properties(&self) {
        assert!(
            self.discovery("at most one lease is held").is_none(),
            "{:?}",
            self.discovery("at most one lease is held")
        );
        assert!(self.unique_state_count() > 10_000);
    }
}

#[test]
fn without_quarantine_memory_loss_of_a_voter_allows_two_leases_at_a_time() {
    // The first two voters accept a lease. Then the second voter loses its memory and promises a ballot to the third
    // voter. The run shows that the model check can fail, and that the quarantine is necessary.
    let run = |memory: VoterMemory| {
        let mut state = QuorumModel.init_states().remove(0);
        let mut next = |action: Action| {
            state = QuorumModel
                .next_state(&state, action)
                .expect("every action has a next state");
            if let Action::LoseMemory(n) = action {
                state.nodes[n] = node(n, state.now_ms, memory);
            }
            state.max_holders
        };
        next(Action::Step(Links::Without(2)));
        next(Action::LoseMemory(1));
        next(Action::Step(Links::Without(0)));
        next(Action::Step(Links::All));
        next(Action::Step(Links::All))
    };
    let with_quarantine = run(VoterMemory::MayBeLost);
    let without_quarantine = run(VoterMemory::NeverVoted);
    assert_eq!((with_quarantine, without_quarantine), (1, 2));
}
