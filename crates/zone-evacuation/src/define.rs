//! What operators say of zones.

/// Times in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Definition {
    /// This part of the witnesses outside that know the zone must have lost it, for so long.
    pub lost_part: f64,
    pub sure: f64,
    /// Of the members outside that are there, at least this part must know.
    pub known_part: f64,
    /// The fleet leaves by itself at most this part of all cores; more, and a second zone, need the operators' word.
    pub max_left: f64,
    /// The others' low work, spilled into what remains, may take at most this part of its cores.
    pub carry: f64,
    /// A return begins with this part of the whole, which is so many threads a core, and has so many steps of so long.
    pub first: f64,
    pub whole: f64,
    pub steps: u8,
    pub step: f64,
    /// So long a zone stays left at least; twice as long each time it is left again within `calm`, up to a most.
    pub hold: f64,
    pub max_hold: f64,
    pub calm: f64,
    /// How long a share is good for.
    pub term: f64,
    /// One that does not hear the leader goes by what it knows for so long, then by its own judgement.
    pub own_after: f64,
    /// How far apart clocks may run.
    pub skew: f64,
}

impl Default for Definition {
    fn default() -> Self {
        Definition {
            lost_part: 0.75,
            sure: 1000.0,
            known_part: 0.3,
            max_left: 0.5,
            carry: 0.8,
            first: 0.1,
            whole: 2.0,
            steps: 8,
            step: 2000.0,
            hold: 2000.0,
            max_hold: 300_000.0,
            calm: 120_000.0,
            term: 3000.0,
            own_after: 30_000.0,
            skew: 0.02,
        }
    }
}

impl Definition {
    /// The part of the whole that a step of a return gives, from 0.
    pub fn part(&self, step: u8) -> f64 {
        let k = f64::from(step.min(self.steps)) / f64::from(self.steps.max(1));
        self.first + (1.0 - self.first) * k
    }
}
