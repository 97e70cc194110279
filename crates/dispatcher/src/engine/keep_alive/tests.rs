use super::*;
use rand::{RngExt, SeedableRng};

/// Where so many of those that idled for more than `dies_after` are lost: uses, losses and how many had to be new.
fn play(seed: u64, dies_after: f64, part: f64, seconds: f64) -> (f64, f64, f64) {
    let (mut rng, mut keep_alive) = (rand_pcg::Pcg32::seed_from_u64(seed), KeepAlive::default());
    let (mut now, mut uses, mut lost, mut new) = (0.0, 0.0, 0.0, 0.0);
    while now < seconds * 1000.0 {
        now += rng.random_range(10.0..300.0);
        let idled = 50.0 * 2.0_f64.powf(rng.random_range(0.0..8.0));
        if idled >= keep_alive.longest(now) {
            new += 1.0;
            continue;
        }
        let dies = idled > dies_after && rng.random_range(0.0..1.0) < part;
        keep_alive.learn(now, idled, dies);
        (uses, lost) = (uses + 1.0, lost + f64::from(u8::from(dies)));
    }
    (uses, lost, new)
}

#[test]
fn where_nothing_is_lost_nothing_new_is_opened() {
    assert_eq!(play(1, f64::INFINITY, 0.0, 60.0).2, 0.0);
    // A single loss, as where one process ends, changes nothing as far as there is good experience.
    let mut keep_alive = KeepAlive::default();
    (0..30).for_each(|n| keep_alive.learn(f64::from(n) * 100.0, 3000.0, false));
    keep_alive.learn(3100.0, 500.0, true);
    assert_eq!(keep_alive.longest(3200.0), 3200.0);
}

#[test]
fn what_dies_after_a_while_is_used_up_to_that_and_little_is_lost() {
    for seed in 1..=20 {
        for part in [0.28, 1.0] {
            let (uses, lost, _) = play(seed, 400.0, part, 60.0);
            assert!(
                lost <= 0.07 * (uses + lost) + 4.0,
                "{seed} {part}: {lost} of {uses}"
            );
            assert!(uses > 50.0, "{seed} {part}: {uses}");
        }
    }
}

#[test]
fn a_loss_with_no_experience_takes_trust_away_and_time_gives_it_back() {
    let mut keep_alive = KeepAlive::default();
    assert_eq!(keep_alive.longest(0.0), f64::INFINITY);
    keep_alive.learn(100.0, 900.0, true);
    // Shorter spans than the one that was lost stay trusted.
    assert_eq!(keep_alive.longest(100.0), 800.0);
    keep_alive.learn(200.0, 60.0, true);
    assert_eq!(keep_alive.longest(200.0), LEAST);
    assert_eq!(keep_alive.longest(30_000.0), f64::INFINITY);
}
