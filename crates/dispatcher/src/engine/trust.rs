//! How long a connection to an engine may idle and still be taken for alive. The other end, or what lies between, may
//! close what idles, and what then goes out is lost without a sign of whether it was read; but where every submission
//! opens a connection of its own, a fleet opens more than it submits. How it stands is not told, so it is learned: from
//! connections that idled and were used again. No I/O, no clock.

/// What idled for less than this (ms) is trusted in any case, by anyone.
pub const LEAST: f64 = 50.0;
/// Spans of idling that are told apart, each twice as long as the one before.
const SPANS: usize = 12;
/// Evidence fades in so long (ms): a middlebox may be replaced, a reset may have been one process.
const FADES: f64 = 10_000.0;
/// What is held for known at the start, as uses and losses: trust, until it is disappointed.
const FIRST_USES: f64 = 5.0;
const FIRST_LOST: f64 = 0.25;
/// A longer idling is trusted while fewer of those used again are lost than this: each costs one more submission of a
/// query that may be repeated, about as much as the connections that are opened otherwise.
const MOST_LOST: f64 = 0.1;

/// Fading counts, by spans of idling, of those that were used again.
#[derive(Debug, Default)]
pub struct Trust {
    kept: [f64; SPANS],
    lost: [f64; SPANS],
    at: f64,
}

fn span_of(idled: f64) -> usize {
    ((idled / LEAST).max(1.0).log2() as usize).min(SPANS - 1)
}

impl Trust {
    fn fade(&mut self, now: f64) {
        let fading = ((self.at - now) / FADES).min(0.0).exp();
        self.at = now.max(self.at);
        self.kept.iter_mut().chain(&mut self.lost).for_each(|count| *count *= fading);
    }

    /// One that had idled for so long (ms) was used again, and told something or was lost with what went out.
    pub fn learn(&mut self, now: f64, idled: f64, lost: bool) {
        self.fade(now);
        let counts = if lost { &mut self.lost } else { &mut self.kept };
        counts[span_of(idled)] += 1.0;
    }

    /// How long (ms) a connection may idle to be used again; at least [`LEAST`]. What was lost after a short while
    /// speaks against longer ones, what was kept after a long while for shorter ones.
    pub fn longest(&mut self, now: f64) -> f64 {
        self.fade(now);
        let (mut lost, mut kept) = (0.0, self.kept.iter().sum::<f64>());
        let mut longest = LEAST;
        for span in 0..SPANS {
            lost += self.lost[span];
            if lost + FIRST_LOST > MOST_LOST * (lost + kept + FIRST_USES) {
                return longest;
            }
            kept -= self.kept[span];
            longest *= 2.0;
        }
        f64::INFINITY
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    /// Where so many of those that idled for more than `dies_after` are lost: uses, losses and how many had to be new.
    fn play(seed: u64, dies_after: f64, part: f64, seconds: f64) -> (f64, f64, f64) {
        let (mut chance, mut trust) = (rand_pcg::Pcg32::seed_from_u64(seed), Trust::default());
        let (mut now, mut uses, mut lost, mut new) = (0.0, 0.0, 0.0, 0.0);
        while now < seconds * 1000.0 {
            now += chance.random_range(10.0..300.0);
            let idled = 50.0 * 2.0_f64.powf(chance.random_range(0.0..8.0));
            if idled >= trust.longest(now) {
                new += 1.0;
                continue;
            }
            let dies = idled > dies_after && chance.random_range(0.0..1.0) < part;
            trust.learn(now, idled, dies);
            (uses, lost) = (uses + 1.0, lost + f64::from(u8::from(dies)));
        }
        (uses, lost, new)
    }

    #[test]
    fn where_nothing_is_lost_nothing_new_is_opened() {
        assert_eq!(play(1, f64::INFINITY, 0.0, 60.0).2, 0.0);
        // A single loss, as where one process ends, changes nothing as far as there is good experience.
        let mut trust = Trust::default();
        (0..30).for_each(|n| trust.learn(f64::from(n) * 100.0, 3000.0, false));
        trust.learn(3100.0, 500.0, true);
        assert_eq!(trust.longest(3200.0), 3200.0);
    }

    #[test]
    fn what_dies_after_a_while_is_used_up_to_that_and_little_is_lost() {
        for seed in 1..=20 {
            for part in [0.28, 1.0] {
                let (uses, lost, _) = play(seed, 400.0, part, 60.0);
                assert!(lost <= 0.07 * (uses + lost) + 4.0, "{seed} {part}: {lost} of {uses}");
                assert!(uses > 50.0, "{seed} {part}: {uses}");
            }
        }
    }

    #[test]
    fn a_loss_with_no_experience_takes_trust_away_and_time_gives_it_back() {
        let mut trust = Trust::default();
        assert_eq!(trust.longest(0.0), f64::INFINITY);
        trust.learn(100.0, 900.0, true);
        // Shorter spans than the one that was lost stay trusted.
        assert_eq!(trust.longest(100.0), 800.0);
        trust.learn(200.0, 60.0, true);
        assert_eq!(trust.longest(200.0), LEAST);
        assert_eq!(trust.longest(30_000.0), f64::INFINITY);
    }
}
