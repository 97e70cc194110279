//! The effects of a service level.

use crate::model::LevelEffects;
use crate::pcg::Pcg;

#[test]
fn full_service_keeps_retry_after_and_draws_no_random_number() {
    let mut rng = Pcg::new(1);
    let level = LevelEffects::default();
    assert_eq!(level.retry_after_ms(1000.0, 5000.0, &mut rng), 1000.0);
    assert_eq!(level.retry_after_ms(1000.0, 300.0, &mut rng), 300.0);
    assert_eq!(rng.next_u32(), Pcg::new(1).next_u32());
}

#[test]
fn jitter_spreads_retry_after_within_its_bounds() {
    let mut rng = Pcg::new(1);
    let level = LevelEffects {
        retry_after_factor: 2.0,
        retry_after_jitter: 0.5,
        ..LevelEffects::default()
    };
    for _ in 0..1000 {
        let retry_after_ms = level.retry_after_ms(1000.0, 9000.0, &mut rng);
        assert!((2000.0..=3000.0).contains(&retry_after_ms));
    }
}
