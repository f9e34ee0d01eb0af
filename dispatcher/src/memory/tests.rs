use super::*;
use futures_util::FutureExt;

const TOTAL: usize = 80_000;
const RESERVE: usize = TOTAL / RESERVE_DIVISOR;

/// Records what it is asked to free.
#[derive(Default)]
struct Reclaimer(RefCell<Vec<usize>>);

impl Reclaim for Reclaimer {
    fn reclaim(&self, bytes: usize) {
        self.0.borrow_mut().push(bytes);
    }
}

#[test]
fn large_requests_use_up_only_their_own_part() {
    let memory = MemoryBudget::new(TOTAL);
    let bulk = TOTAL - 2 * RESERVE;
    let large = memory.try_lease(bulk, Purpose::Bulk).expect("room");
    assert!(memory.try_lease(1, Purpose::Bulk).is_none());
    let small = memory.try_lease(RESERVE, Purpose::SmallRequest).expect("a reserve");
    let worker = memory.try_lease(RESERVE, Purpose::Worker).expect("a reserve");
    assert_eq!((small.bytes(), worker.bytes()), (RESERVE, RESERVE));
    assert!(memory.try_lease(1, Purpose::SmallRequest).is_none());
    assert!(memory.try_lease(1, Purpose::Worker).is_none());
    drop(large);
    // What finds no room in its reserve uses what is free for all.
    assert!(memory.try_lease(bulk, Purpose::Worker).is_some());
    assert_eq!(Purpose::of_request(SMALL_REQUEST_BYTES), Purpose::SmallRequest);
    assert_eq!(Purpose::of_request(SMALL_REQUEST_BYTES + 1), Purpose::Bulk);
}

/// Whoever waits gets its turn before those that come later, asks for memory meanwhile, and leaves nothing behind when dropped.
#[test]
fn leases_are_granted_in_turn_and_slow_holders_are_asked_for_memory() {
    actix_rt::System::new().block_on(async {
        let memory = MemoryBudget::new(TOTAL);
        let reclaimer = Rc::new(Reclaimer::default());
        memory.add_reclaimer(&reclaimer);
        let bulk = TOTAL - 2 * RESERVE;
        let held = memory.lease(bulk, Purpose::Bulk).await;
        let mut first = Box::pin(memory.lease(bulk / 2, Purpose::Bulk));
        let mut second = Box::pin(memory.lease(bulk, Purpose::Bulk));
        assert!((&mut first).now_or_never().is_none() && (&mut second).now_or_never().is_none());
        assert_eq!(memory.awaited.get(), bulk / 2 + bulk);
        tokio::time::sleep(RECLAIM_INTERVAL * 2).await;
        assert!((&mut first).now_or_never().is_none());
        assert_eq!(*reclaimer.0.borrow(), [bulk / 2 + bulk]);
        drop(held);
        let first = first.now_or_never().expect("its turn");
        assert!((&mut second).now_or_never().is_none());
        // The second one waits for the rest, which nobody overtakes.
        assert!(memory.try_lease(1, Purpose::Bulk).is_none());
        drop(second);
        assert_eq!(memory.awaited.get(), 0);
        drop(first);
        assert!(memory.try_lease(bulk, Purpose::Bulk).is_some());
    });
}

/// The lease of a body lasts as long as any copy or part of it, and no longer.
#[test]
fn a_body_returns_its_lease_with_its_last_copy() {
    let memory = MemoryBudget::new(TOTAL);
    let bulk = TOTAL - 2 * RESERVE;
    let mut body = LeasedBuffer::default();
    body.extend_room(memory.try_lease(bulk, Purpose::Bulk).expect("room"));
    body.push(b"contents");
    assert_eq!((body.len(), body.leased()), (8, bulk));
    let body = body.freeze();
    let part = body.slice(2..4);
    drop(body);
    assert!(memory.try_lease(1, Purpose::Bulk).is_none());
    assert_eq!(&part[..], b"nt");
    drop(part);
    let lease = memory.try_lease(bulk, Purpose::Bulk).expect("it was returned");
    let result = with_leases("result", Arc::new(vec![lease]));
    let copy = result.clone();
    drop(result);
    assert!(memory.try_lease(1, Purpose::Bulk).is_none());
    drop(copy);
    assert!(memory.try_lease(bulk, Purpose::Bulk).is_some());
    assert!(LeasedBuffer::default().freeze().is_empty());
}

/// Guards against workers' short calls and results that wait behind large ones of clients or workers that stop half way in them.
#[test]
fn small_calls_of_workers_use_what_is_left_for_small_requests() {
    let memory = MemoryBudget::new(TOTAL);
    let _bulk = memory.try_lease(TOTAL - 2 * RESERVE, Purpose::Bulk).expect("room");
    let _calls = memory.try_lease(RESERVE, Purpose::Worker).expect("a reserve");
    assert!(memory.try_lease(SMALL_REQUEST_BYTES + 1, Purpose::Worker).is_none());
    assert!(memory.try_lease(SMALL_REQUEST_BYTES, Purpose::Worker).is_some());
}

/// Guards against a wait for one part of the budget while another one is free.
#[test]
fn whoever_waits_for_a_reserve_takes_what_becomes_free_for_all() {
    actix_rt::System::new().block_on(async {
        let memory = MemoryBudget::new(TOTAL);
        let bulk = memory.try_lease(TOTAL - 2 * RESERVE, Purpose::Bulk).expect("room");
        let _calls = memory.try_lease(RESERVE, Purpose::Worker).expect("a reserve");
        let mut waiting = Box::pin(memory.lease(RESERVE, Purpose::Worker));
        assert!((&mut waiting).now_or_never().is_none());
        drop(bulk);
        let lease = tokio::time::timeout(RECLAIM_INTERVAL * 10, waiting).await.expect("it is free");
        assert_eq!(lease.bytes(), RESERVE);
    });
}
