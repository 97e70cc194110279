//! Reads experiments.

use crate::schema::Experiment;
use prost_reflect::{DescriptorPool, DynamicMessage};

static DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/experiment.fds"));

/// Reads an experiment and checks it.
///
/// # Errors
/// What is wrong, with the key.
pub fn read(text: &str) -> Result<Experiment, String> {
    let pool = DescriptorPool::decode(DESCRIPTORS).map_err(|e| e.to_string())?;
    let descriptor = pool
        .get_message_by_name("tansymux.lab.Experiment")
        .ok_or("the schema holds no Experiment")?;
    let message = DynamicMessage::parse_text_format(descriptor, text).map_err(|e| e.to_string())?;
    let experiment: Experiment = message.transcode_to().map_err(|e| e.to_string())?;
    check(&experiment)?;
    Ok(experiment)
}

fn check(e: &Experiment) -> Result<(), String> {
    let zones: Vec<&str> = e.hall.iter().map(|zone| zone.name()).collect();
    if zones.is_empty() || e.class.is_empty() || e.arm.is_empty() {
        return Err("an experiment has a hall, a class and an arm at the least".into());
    }
    for (n, fault) in e.fault.iter().enumerate() {
        if !zones.contains(&fault.hall())
            || fault
                .from
                .as_ref()
                .is_some_and(|from| !zones.contains(&from.as_str()))
        {
            return Err(format!("fault.{n} names a hall that is not there"));
        }
        if fault.begins_s().is_nan()
            || fault.ends_s().is_nan()
            || fault.begins_s() >= fault.ends_s()
        {
            return Err(format!("fault.{n} ends before it begins"));
        }
    }
    for (n, class) in e.class.iter().enumerate() {
        if class
            .bound_to
            .as_ref()
            .is_some_and(|zone| !zones.contains(&zone.as_str()))
        {
            return Err(format!("class.{n}.bound_to is no hall"));
        }
        let positive = [
            class.rate(),
            class.work_ms(),
            class.threads(),
            class.target_ms(),
            class.wait_ms(),
        ];
        if positive
            .iter()
            .any(|value| !(*value > 0.0 && value.is_finite()))
        {
            return Err(format!(
                "class.{n} has a rate, work, threads, target or wait that is not above 0"
            ));
        }
    }
    for (n, arm) in e.arm.iter().enumerate() {
        if let Err(faults) = tansymux_operator_config::parse(arm.operator()) {
            let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return Err(format!("arm.{n}.operator: {}", all.join("; ")));
        }
    }
    if !(e.seconds() > 0.0 && e.seconds() <= 7200.0) || e.dispatchers() == 0 || e.seeds() == 0 {
        return Err("seconds (up to 7200), dispatchers and seeds are above 0".into());
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    #[test]
    fn what_is_wrong_is_named() {
        let good = "hall { name: \"a\" } class { name: \"look\" } arm { name: \"base\" }";
        assert!(super::read(good).is_ok());
        for (more, says) in [
            (
                " fault { hall: \"b\" begins_s: 1 ends_s: 2 }",
                "fault.0 names",
            ),
            (
                " fault { hall: \"a\" begins_s: 2 ends_s: 2 }",
                "ends before",
            ),
            (" class { rate: -1 }", "class.1 has a rate"),
            (
                " arm { operator: \"halls { spill { } }\" }",
                "arm.1.operator: 1:9: halls.spill.0.most is missing",
            ),
            (" seconds: 0", "seconds"),
            (" sekonds: 1", "sekonds"),
        ] {
            let wrong = super::read(&format!("{good}{more}")).unwrap_err();
            assert!(wrong.contains(says), "{says} in {wrong}");
        }
    }
}
