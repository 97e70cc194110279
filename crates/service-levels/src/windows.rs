//! Late answers and rejections of the last seconds, by class: counts in buckets of a second.

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    InTime,
    Late,
    Rejected,
    Failed,
}

const BUCKETS: usize = 10;
const BUCKET: f64 = 1000.0;
/// With fewer ends than this in the window a part is not known.
const LEAST: u32 = 5;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    finished: u32,
    late: u32,
    rejected: u32,
    all: u32,
}

/// Counts of one class.
#[derive(Debug, Clone, Default)]
struct Window([Bucket; BUCKETS]);

impl Window {
    fn take(&mut self, number: u64, ended: Ended) {
        let bucket = &mut self.0[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket.all += 1;
        bucket.finished += u32::from(matches!(ended, Ended::InTime | Ended::Late));
        bucket.late += u32::from(ended == Ended::Late);
        bucket.rejected += u32::from(ended == Ended::Rejected);
    }

    fn sum(&self, number: u64) -> Bucket {
        let mut sum = Bucket::default();
        for bucket in self
            .0
            .iter()
            .filter(|b| b.number <= number && number - b.number < BUCKETS as u64)
        {
            sum.finished += bucket.finished;
            sum.late += bucket.late;
            sum.rejected += bucket.rejected;
            sum.all += bucket.all;
        }
        sum
    }
}

/// Windows of all classes together and of each.
#[derive(Debug, Clone)]
pub struct Windows {
    all: Window,
    classes: Vec<Window>,
}

impl Windows {
    pub fn new(classes: usize) -> Self {
        Windows {
            all: Window::default(),
            classes: vec![Window::default(); classes],
        }
    }

    pub fn take(&mut self, now: f64, class: usize, ended: Ended) {
        let number = number_of(now);
        self.all.take(number, ended);
        if let Some(window) = self.classes.get_mut(class) {
            window.take(number, ended);
        }
    }

    fn sum(&self, now: f64, class: Option<usize>) -> Bucket {
        let window = class.map_or(Some(&self.all), |class| self.classes.get(class));
        window.map_or_else(Bucket::default, |window| window.sum(number_of(now)))
    }

    /// Part of the finished ones that came late; none of few is no part at all.
    pub fn late(&self, now: f64, class: Option<usize>) -> f64 {
        let sum = self.sum(now, class);
        part(sum.late, sum.finished)
    }

    pub fn rejected(&self, now: f64, class: Option<usize>) -> f64 {
        let sum = self.sum(now, class);
        part(sum.rejected, sum.all)
    }
}

fn number_of(now: f64) -> u64 {
    // From 1, as an empty bucket's number is 0.
    (now.max(0.0) / BUCKET) as u64 + 1
}

/// Few ends say little: without enough of them a part reads as none.
fn part(of: u32, all: u32) -> f64 {
    if all < LEAST {
        0.0
    } else {
        f64::from(of) / f64::from(all)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_are_of_the_last_seconds_and_of_enough_ends() {
        let mut windows = Windows::new(2);
        (0..4).for_each(|_| windows.take(0.0, 0, Ended::Late));
        assert_eq!(windows.late(0.0, None), 0.0);
        (0..4).for_each(|_| windows.take(500.0, 0, Ended::InTime));
        windows.take(900.0, 1, Ended::Rejected);
        assert_eq!(
            (windows.late(900.0, None), windows.late(900.0, Some(0))),
            (0.5, 0.5)
        );
        assert_eq!(
            (
                windows.rejected(900.0, None),
                windows.rejected(900.0, Some(1))
            ),
            (1.0 / 9.0, 0.0)
        );
        assert_eq!(
            (windows.late(9_999.0, None), windows.late(10_001.0, None)),
            (0.5, 0.0)
        );
        assert_eq!(windows.late(0.0, Some(7)), 0.0);
    }
}
