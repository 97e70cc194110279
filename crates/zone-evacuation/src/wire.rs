//! What members tell the leader of zones, and what it answers, in bytes.

use crate::watch::{Fleetwide, Stage, Why};
use crate::{Zone, MAX_ZONES};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    Unknown,
    Well,
    Climbing,
    Cut,
}

/// What one says of a zone: whether it reaches it, the threads that its work takes or would take there, and ends since
/// its start, good and bad, counted round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    pub zone: Zone,
    pub reach: Reach,
    pub threads: f32,
    pub good: u16,
    pub bad: u16,
}

#[derive(Debug, Clone, PartialEq, Default)]
pub struct Told {
    pub session: u32,
    /// Comes back with the answer: when it was asked.
    pub number: u32,
    /// It takes itself for cut off.
    pub alone: bool,
    pub zones: Vec<Evidence>,
}

/// The leader's answer: all zones that are not whole, and the share of the one that asked.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    pub number: u32,
    pub zones: Vec<(Zone, Fleetwide, f32)>,
}

const EVIDENCE: usize = 4 + 1 + 4 + 2 + 2;
const ENTRY: usize = 4 + 1 + 1 + 4 + 1 + 4;

pub fn write(told: &Told) -> Vec<u8> {
    let mut bytes = told.session.to_be_bytes().to_vec();
    bytes.extend_from_slice(&told.number.to_be_bytes());
    bytes.push(u8::from(told.alone));
    for evidence in told.zones.iter().take(MAX_ZONES) {
        bytes.extend_from_slice(&evidence.zone.to_be_bytes());
        bytes.push(evidence.reach as u8);
        bytes.extend_from_slice(&evidence.threads.to_bits().to_be_bytes());
        bytes.extend_from_slice(&evidence.good.to_be_bytes());
        bytes.extend_from_slice(&evidence.bad.to_be_bytes());
    }
    bytes
}

fn four(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn two(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?))
}

fn part(bytes: &[u8], at: usize) -> Option<f32> {
    four(bytes, at)
        .map(f32::from_bits)
        .filter(|n| n.is_finite())
}

/// None for what is none.
pub fn read(bytes: &[u8]) -> Option<Told> {
    let evidence = |entry: &[u8]| {
        let reach = [Reach::Unknown, Reach::Well, Reach::Climbing, Reach::Cut]
            .get(usize::from(entry[4]))
            .copied()?;
        let (threads, good, bad) = (part(entry, 5)?, two(entry, 9)?, two(entry, 11)?);
        Some(Evidence {
            zone: four(entry, 0)?,
            reach,
            threads,
            good,
            bad,
        })
    };
    let zones = bytes
        .get(9..)?
        .chunks_exact(EVIDENCE)
        .take(MAX_ZONES)
        .filter_map(evidence)
        .collect();
    Some(Told {
        session: four(bytes, 0)?,
        number: four(bytes, 4)?,
        alone: bytes[8] != 0,
        zones,
    })
}

pub fn write_plan(plan: &Plan) -> Vec<u8> {
    let mut bytes = plan.number.to_be_bytes().to_vec();
    for (zone, of, share) in plan.zones.iter().take(MAX_ZONES) {
        bytes.extend_from_slice(&zone.to_be_bytes());
        bytes.extend_from_slice(&[of.stage as u8, of.step]);
        bytes.extend_from_slice(&of.number.to_be_bytes());
        bytes.push(of.why as u8);
        bytes.extend_from_slice(&share.to_bits().to_be_bytes());
    }
    bytes
}

/// The stage, and why, by their numbers.
pub fn stage_of(number: u8) -> Option<Stage> {
    [Stage::Left, Stage::Returns]
        .get(usize::from(number))
        .copied()
}

pub fn why_of(number: u8) -> Option<Why> {
    let all = [
        Why::Lost,
        Why::CutOff,
        Why::ByHand,
        Why::Reached,
        Why::Worsened,
        Why::Whole,
    ];
    all.get(usize::from(number)).copied()
}

pub fn read_plan(bytes: &[u8]) -> Option<Plan> {
    let entry = |entry: &[u8]| {
        let of = Fleetwide {
            stage: stage_of(entry[4])?,
            step: entry[5],
            number: four(entry, 6)?,
            why: why_of(entry[10])?,
        };
        Some((four(entry, 0)?, of, part(entry, 11)?))
    };
    let zones = bytes
        .get(4..)?
        .chunks_exact(ENTRY)
        .take(MAX_ZONES)
        .filter_map(entry)
        .collect();
    Some(Plan {
        number: four(bytes, 0)?,
        zones,
    })
}
