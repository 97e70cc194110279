use super::*;

/// Guards against results of clients that do not read, whose memory no limit counts.
#[test]
fn results_beyond_the_limit_are_refused_until_others_are_dropped() {
    let memory = AnswerMemory::new(1000);
    let result = || vec![Vec::with_capacity(300)];
    let mut held: Vec<HeldPages> = Vec::new();
    while let Some(pages) = memory.hold(result()) {
        held.push(pages);
    }
    assert_eq!(held.len(), 3);
    assert!(memory.is_scarce() && memory.held_bytes.get() <= 1000);
    held.pop();
    assert!(memory.hold(result()).is_some());
    held.clear();
    assert!(!memory.is_scarce() && memory.held_bytes.get() == 0);
}
