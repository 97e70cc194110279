//! Counts of late answers and rejections within the last ten seconds, by class, in buckets of one second.

/// The outcome of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryOutcome {
    /// It completed within its latency objective.
    InTime,
    /// It completed late.
    Late,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
}

/// Buckets of a window: it covers the last ten seconds.
const BUCKETS: usize = 10;
/// Length of a bucket (ms).
const BUCKET_MS: f64 = 1000.0;
/// Fewest outcomes in the window for a fraction above 0.
const MIN_OUTCOMES: u32 = 5;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the second that the bucket counts, from 1; 0 for an empty bucket.
    number: u64,
    completed: u32,
    late: u32,
    rejected: u32,
    all: u32,
}

impl Bucket {
    fn add(&mut self, other: &Bucket) {
        self.completed += other.completed;
        self.late += other.late;
        self.rejected += other.rejected;
        self.all += other.all;
    }
}

/// Counts of one class.
#[derive(Debug, Clone, Default)]
struct Window([Bucket; BUCKETS]);

impl Window {
    fn record(&mut self, number: u64, outcome: QueryOutcome) {
        let bucket = &mut self.0[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        let is_late = outcome == QueryOutcome::Late;
        bucket.all += 1;
        bucket.completed += u32::from(is_late || outcome == QueryOutcome::InTime);
        bucket.late += u32::from(is_late);
        bucket.rejected += u32::from(outcome == QueryOutcome::Rejected);
    }

    fn sum(&self, number: u64) -> Bucket {
        let mut sum = Bucket::default();
        for bucket in &self.0 {
            if bucket.number <= number && number - bucket.number < BUCKETS as u64 {
                sum.add(bucket);
            }
        }
        sum
    }
}

/// Outcomes of all classes together and of each.
#[derive(Debug, Clone)]
pub struct OutcomeWindows {
    all: Window,
    classes: Vec<Window>,
}

impl OutcomeWindows {
    /// Empty windows for this many classes.
    pub fn new(classes: usize) -> Self {
        OutcomeWindows {
            all: Window::default(),
            classes: vec![Window::default(); classes],
        }
    }

    /// Records the outcome of a query; one of an unknown class counts only for all together.
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

    /// Fraction of the completed queries that were late, of a class or of all (`None`); 0 of few.
    pub fn late_fraction(&self, class: Option<usize>, now_ms: f64) -> f64 {
        let sum = self.sum(class, now_ms);
        fraction(sum.late, sum.completed)
    }

    /// Fraction of the queries that were rejected, of a class or of all (`None`); 0 of few.
    pub fn rejected_fraction(&self, class: Option<usize>, now_ms: f64) -> f64 {
        let sum = self.sum(class, now_ms);
        fraction(sum.rejected, sum.all)
    }
}

/// Numbers count from 1, since an empty bucket has number 0.
fn bucket_number(now_ms: f64) -> u64 {
    (now_ms.max(0.0) / BUCKET_MS) as u64 + 1
}

fn fraction(count: u32, all: u32) -> f64 {
    if all < MIN_OUTCOMES {
        0.0
    } else {
        f64::from(count) / f64::from(all)
    }
}
