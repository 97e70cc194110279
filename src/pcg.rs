//! A permuted congruential generator (PCG-XSH-RR 64/32). The caller supplies the seed.

/// A pseudorandom number generator. It is not cryptographically secure.
#[derive(Debug, Clone, Default)]
pub struct Pcg(u64);

/// Multiplier of the generator, as published.
const MULTIPLIER: u64 = 6364136223846793005;
/// Increment of the generator, as published.
const INCREMENT: u64 = 1442695040888963407;

impl Pcg {
    /// A generator that is determined by `seed`.
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

    /// A random number in `[0, 1)`.
    pub fn next_unit(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }

    /// A random integer in `[0, limit)`; `limit` must be above 0.
    pub fn below(&mut self, limit: usize) -> usize {
        ((u64::from(self.next_u32()) * limit as u64) >> 32) as usize
    }
}
