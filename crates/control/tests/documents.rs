//! Tests that large documents to operators are sent one at a time.

use {control::DocumentSlot, model::Time};

/// Two documents at a time on a slow link would both take longer than operators wait.
#[test]
fn second_large_document_is_refused_until_the_first_is_sent() {
    let mut slot = DocumentSlot::default();
    let first = slot.acquire(Time(10), Time(1_000)).expect("the slot is free");
    assert_eq!(slot.acquire(Time(20), Time(2_000)), None);
    slot.release(first);
    assert!(!slot.is_held(Time(20)));
    assert!(slot.acquire(Time(20), Time(2_000)).is_some());
}

/// An operator that stops reading would otherwise keep the document from all others.
#[test]
fn operator_that_does_not_read_keeps_the_link_for_a_limited_time() {
    let mut slot = DocumentSlot::default();
    let first = slot.acquire(Time(10), Time(1_000)).expect("the slot is free");
    let second = slot.acquire(Time(1_000), Time(2_000)).expect("the first one's time is over");
    assert_ne!(first, second);
    slot.release(first);
    assert!(slot.is_held(Time(1_001)), "released by one that no longer holds it");
    slot.release(second);
    assert!(!slot.is_held(Time(1_001)));
}
