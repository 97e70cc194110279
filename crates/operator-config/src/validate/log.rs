//! Checks of the block `log`.

use crate::error_collector::ErrorCollector;
use crate::schema::Log;

pub(super) fn validate(log: &Log, errors: &mut ErrorCollector) {
    errors.check_range("log.lines_a_second", log.lines_a_second, 1.0, 1000.0);
    errors.check_range("log.lines_at_once", log.lines_at_once, 1.0, 10_000.0);
}
