//! Sliding windows that count late and rejected queries of the last ten seconds, by class, in buckets of one second.

/// The outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The query completed within its latency objective.
    InTime,
    /// The query completed after its latency objective.
    Late,
    /// The query was rejected.
    Rejected,
    /// The query failed.
    Failed,
}

/// Number of buckets in a window.
const BUCKET_COUNT: usize = 10;
/// Length of a bucket (ms).
const BUCKET_MS: f64 = 1000.0;
/// Minimum number of outcomes in a window; with fewer, fractions are 0.
const MIN_OUTCOMES: u32 = 5;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket's second, from 1; 0 for an empty bucket.
    number: u64,
    completed: u32,
    late: u32,
    rejected: u32,
    total: u32,
}

impl Bucket {
    fn add(&mut self, other: &Bucket) {
        self.completed += other.completed;
        self.late += other.late;
        self.rejected += other.rejected;
        self.total += other.total;
    }
}

/// Outcomes of one class, or of all classes.
#[derive(Debug, Clone, Default)]
struct Window([Bucket; BUCKET_COUNT]);

impl Window {
    fn record(&mut self, number: u64, outcome: QueryOutcome) {
        let bucket = &mut self.0[number as usize % BUCKET_COUNT];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        let is_late = outcome == QueryOutcome::Late;
        bucket.total += 1;
        bucket.completed += u32::from(is_late || outcome == QueryOutcome::InTime);
        bucket.late += u32::from(is_late);
        bucket.rejected += u32::from(outcome == QueryOutcome::Rejected);
    }

    /// Returns the sum of the buckets in the window that ends with the bucket `number`.
    fn sum(&self, number: u64) -> Bucket {
        let mut sum = Bucket::default();
        for bucket in &self.0 {
            if bucket.number <= number && number - bucket.number < BUCKET_COUNT as u64 {
                sum.add(bucket);
            }
        }
        sum
    }
}

/// Outcomes of each class and of all classes together.
#[derive(Debug, Clone)]
pub struct OutcomeWindows {
    all: Window,
    classes: Vec<Window>,
}

impl OutcomeWindows {
    /// Creates empty windows for a number of classes.
    pub fn new(classes: usize) -> Self {
        OutcomeWindows {
            all: Window::default(),
            classes: vec![Window::default(); classes],
        }
    }

    /// Records the outcome of a query. An outcome of an unknown class counts only in the window of all classes.
    pub fn record(&mut self, class: usize, outcome: QueryOutcome, now_ms: f64) {
        let number = bucket_number(now_ms);
        self.all.record(number, outcome);
        if let Some(window) = self.classes.get_mut(class) {
            window.record(number, outcome);
        }
    }

    fn sum(&self, class: Option<usize>, now_ms: f64) -> Bucket {
        let window = match class {
            None => Some(&self.all),
            Some(class) => self.classes.get(class),
        };
        match window {
            Some(window) => window.sum(bucket_number(now_ms)),
            None => Bucket::default(),
        }
    }

    /// Returns the fraction of completed queries that were late, of a class or of all classes (`None`); 0 for fewer
    /// than five completed queries.
    pub fn late_fraction(&self, class: Option<usize>, now_ms: f64) -> f64 {
        let sum = self.sum(class, now_ms);
        fraction(sum.late, sum.completed)
    }

    /// Returns the fraction of queries that were rejected, of a class or of all classes (`None`); 0 for fewer than five
    /// queries.
    pub fn rejected_fraction(&self, class: Option<usize>, now_ms: f64) -> f64 {
        let sum = self.sum(class, now_ms);
        fraction(sum.rejected, sum.total)
    }
}

/// Returns the number of the bucket at a time. Numbers start at 1, since an empty bucket has number 0.
fn bucket_number(now_ms: f64) -> u64 {
    (now_ms.max(0.0) / BUCKET_MS) as u64 + 1
}

fn fraction(count: u32, total: u32) -> f64 {
    if total < MIN_OUTCOMES {
        0.0
    } else {
        f64::from(count) / f64::from(total)
    }
}
