use super::*;

const TOTAL: usize = 1 << 20;

/// Guards against answers to probes that nothing counts: each may hold 64 KiB, and many workers are probed at a time.
#[test]
fn an_answer_to_a_probe_is_held_in_leased_memory() {
    let memory = MemoryBudget::new(TOTAL);
    let _bulk = memory.try_lease(TOTAL / 8 * 6, Purpose::Bulk).expect("all of a part");
    let mut body = ReceivedBody::leased();
    body.push(b"load", &memory).expect("memory");
    body.push(&[b'x'; 20_000], &memory).expect("memory");
    let rest = TOTAL / 8 - MAX_ANSWER_BYTES;
    assert!(memory.try_lease(rest + 1, Purpose::Worker).is_none());
    let bytes = body.into_bytes();
    assert_eq!(bytes.len(), 20_004);
    drop(bytes);
    assert!(memory.try_lease(TOTAL / 8, Purpose::Worker).is_some());
}

/// Without memory the call has failed for a local reason, which does not count against the worker.
#[test]
fn a_probe_without_memory_for_its_answer_says_nothing_about_the_worker() {
    let memory = MemoryBudget::new(TOTAL);
    let _taken = [Purpose::Bulk, Purpose::Worker, Purpose::SmallRequest].map(|purpose| {
        let part = if purpose == Purpose::Bulk { TOTAL / 8 * 6 } else { TOTAL / 8 };
        memory.try_lease(part, purpose).expect("all of a part")
    });
    let pushed = ReceivedBody::leased().push(b"load", &memory);
    assert!(matches!(pushed, Err(CallError::Local(_))), "{pushed:?}");
    let mut discarded = ReceivedBody::new(AnswerBody::Discarded);
    assert!(discarded.push(b"load", &memory).is_ok());
    assert!(discarded.push(&[b'x'; MAX_ANSWER_BYTES], &memory).is_err());
}
