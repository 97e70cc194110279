//! A permuted congruential generator (PCG-XSH-RR 64/32), seeded by the protocol.

/// The generator's state.
#[derive(Debug, Clone, Default)]
pub struct Pcg(u64);

/// Multiplier of the published generator.
const MULTIPLIER: u64 = 6364136223846793005;
/// Increment of the published generator.
const INCREMENT: u64 = 1442695040888963407;

impl Pcg {
    /// A generator whose draws are fixed by `seed`.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(INCREMENT));
        pcg.next_u32();
        pcg
    }

    /// 32 random bits.
    pub fn next_u32(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A number from 0 up to, and without, 1.
    pub fn next_unit(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// An integer from 0 up to, and without, `limit`, which must be above 0.
    pub fn below(&mut self, limit: usize) -> usize {
        ((u64::from(self.next_u32()) * limit as u64) >> 32) as usize
    }
}
