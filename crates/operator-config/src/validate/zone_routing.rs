//! Checks of the block `halls`.

use crate::error_collector::ErrorCollector;
use crate::schema::Halls;
use crate::zone_routing::zone_routing_config;

pub(super) fn validate(halls: &Halls, errors: &mut ErrorCollector) {
    errors.check_range("halls.cross_retries", halls.cross_retries, 0.0, 1.0);
    for (index, spill) in halls.spill.iter().enumerate() {
        let key = format!("halls.spill.{index}.most");
        match spill.most {
            None => errors.add_missing(&key, "0 to 4"),
            max_threads_per_core => errors.check_range(&key, max_threads_per_core, 0.0, 4.0),
        }
    }
    if let Some(cut) = &halls.cut {
        errors.check_range("halls.cut.quiet_s", cut.quiet_s, 0.3, 60.0);
        errors.check_range("halls.cut.part", cut.part, 0.3, 1.0);
    }
    if let Some(ramp) = &halls.climb {
        errors.check_range("halls.climb.first", ramp.first, 0.01, 1.0);
        errors.check_range("halls.climb.over_s", ramp.over_s, 1.0, 3600.0);
        errors.check_range("halls.climb.whole", ramp.whole, 0.25, 8.0);
    }
    for error in zone_routing_config(halls).validate() {
        errors.add(&format!("halls.{}", error.key), error.found, error.allowed);
    }
}
