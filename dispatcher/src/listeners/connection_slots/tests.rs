use super::*;

/// Guards against idle connections filling all slots: a new connection must still get one, and no connection with a
/// pending response may lose its own.
#[test]
fn idle_connections_are_evicted_oldest_first_and_busy_ones_never() {
    let slots = ConnectionSlots::new(3, Rc::new(ArrivalClock::new(Instant::now())));
    let taken: Vec<_> = (0..3).filter_map(|_| slots.acquire()).collect();
    taken[0].slot.set_stage(Stage::Processing);
    taken[1].slot.set_stage(Stage::Idle);
    taken[2].slot.set_stage(Stage::Idle);
    let new_connection = slots.acquire().expect("a slot");
    assert_eq!(taken[1].slot.abort.get(), Some(AbortCause::Discard));
    assert_eq!([&taken[0], &taken[2], &new_connection].map(|t| t.slot.abort.get()), [None; 3]);
    new_connection.slot.set_stage(Stage::Processing);
    taken[2].slot.set_stage(Stage::Processing);
    assert!(slots.acquire().is_none());
}

/// Guards against clients that fill all slots by taking nothing of their responses, and against truncating one that is taken.
#[test]
fn a_stalled_response_gives_its_slot_to_a_new_connection() {
    let slots = ConnectionSlots::new(2, Rc::new(ArrivalClock::new(Instant::now())));
    let taken: Vec<_> = (0..2).filter_map(|_| slots.acquire()).collect();
    for occupied in &taken {
        occupied.slot.set_stage(Stage::Processing);
        occupied.slot.response_progressed(500);
    }
    assert!(slots.acquire().is_none());
    let long_ago = Instant::now().checked_sub(TYPICAL_FIRST_BYTE_DELAY * 2).expect("uptime");
    taken[1].slot.leased_since.set(long_ago);
    assert!(slots.acquire().is_some());
    let aborts = [0, 1].map(|number| taken[number].slot.abort.get());
    assert_eq!(aborts, [None, Some(AbortCause::ResponseStalled)]);
}

/// Guards against closing the wrong connections for their memory: those that have held it for longest go first, as many as are
/// needed, and none whose request is complete or that has just begun.
#[test]
fn memory_is_reclaimed_from_whoever_has_held_it_for_longest() {
    let slots = ConnectionSlots::new(8, Rc::new(ArrivalClock::new(Instant::now())));
    let taken: Vec<_> = (0..7).filter_map(|_| slots.acquire()).collect();
    let long_ago = |seconds| Instant::now().checked_sub(Duration::from_secs(seconds)).expect("uptime");
    let hold = |number: usize, stage, seconds| {
        let slot = &taken[number].slot;
        slot.set_stage(stage);
        slot.set_leased(1000);
        slot.leased_since.set(long_ago(seconds));
    };
    hold(0, Stage::Body, 2);
    hold(1, Stage::Body, 3);
    hold(2, Stage::Processing, 9);
    hold(3, Stage::Body, 0);
    hold(4, Stage::Body, 1);
    // A client that does not take its response, and one that takes it.
    for (number, seconds) in [(5, 4), (6, 0)] {
        taken[number].slot.set_stage(Stage::Processing);
        taken[number].slot.response_progressed(500);
        taken[number].slot.leased_since.set(long_ago(seconds));
    }
    slots.reclaim(1200);
    assert_eq!(taken[5].slot.abort.get(), Some(AbortCause::ResponseStalled));
    let aborted = || taken.iter().map(|t| t.slot.abort.get().is_some()).collect::<Vec<_>>();
    assert_eq!(aborted(), [false, true, false, false, false, true, false]);
    let facts = taken[5].slot.abort_facts(AbortCause::ResponseStalled);
    assert_eq!((facts.state, facts.reason), (ConnectionState::Responding, CloseReason::ClientStalled));
    slots.reclaim(10_000);
    assert_eq!(aborted(), [true, true, false, false, true, true, false]);
}

fn slot() -> Rc<ConnectionSlot> {
    let slots = ConnectionSlots::new(1, Rc::new(ArrivalClock::new(Instant::now())));
    let occupied = slots.acquire().expect("a slot");
    occupied.slot.clone()
}

/// Guards against bytes that are read although there is no memory for them: a crowd of chunked bodies read 8 KiB each beyond its
/// leases, and the server read 32 KiB ahead of each stream without room.
#[test]
fn little_is_read_beyond_the_memory_that_there_is() {
    let slot = slot();
    let limit = |left, last_chunk, room| {
        slot.limit_body_reads(left, last_chunk, room);
        slot.read_limit()
    };
    assert_eq!(limit(None, 5_000, 3_000), 3_000);
    assert_eq!(limit(None, 5_000, 0), MAX_UNDELIMITED_BYTES_PER_READ);
    assert_eq!(limit(Some(60_000), 5_000, 2_000), 2_000);
    assert_eq!(limit(Some(60_000), 5_000, usize::MAX), MAX_BYTES_PER_READ);
    assert_eq!(limit(Some(10), 5_000, 2_000), 10);
    slot.set_stage(Stage::Streaming);
    slot.pause_reads(true);
    assert!(slot.leaves_data_unread());
    slot.pause_reads(false);
    assert!(!slot.leaves_data_unread());
    // The next request on the connection is read, whatever became of the body of this one.
    slot.pause_reads(true);
    slot.set_stage(Stage::Idle);
    assert!(!slot.leaves_data_unread());
}

/// Guards against responses that the server holds a second time for clients that take nothing of them, 40 KiB each.
#[test]
fn a_response_body_waits_until_the_socket_has_taken_some() {
    let slot = slot();
    let mut context = Context::from_waker(Waker::noop());
    assert!(slot.poll_response_room(&mut context).is_ready());
    slot.response_bytes_given(MAX_UNSENT_BYTES);
    assert!(slot.poll_response_room(&mut context).is_pending());
    slot.bytes_sent(1);
    assert!(slot.poll_response_room(&mut context).is_ready());
    // Heads are sent as well, and were not counted.
    slot.bytes_sent(2 * MAX_UNSENT_BYTES);
    slot.response_bytes_given(MAX_UNSENT_BYTES - 1);
    assert!(slot.poll_response_room(&mut context).is_ready());
}
