use super::*;

/// Guards against a stream of small chunks that takes many times what is counted of it: 32 bytes for each, and its buffer.
#[test]
fn small_chunks_are_held_in_few_blocks() {
    let mut queue = ChunkQueue::default();
    let buffer = Bytes::from((0..10_000u32).map(|i| i as u8).collect::<Vec<_>>());
    (0..buffer.len()).for_each(|at| queue.push(buffer.slice(at..=at)));
    assert_eq!(queue.len(), buffer.len());
    let held: Vec<Bytes> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(held.len(), buffer.len().div_ceil(BLOCK_BYTES));
    assert_eq!(held.concat(), buffer);
    assert!(queue.is_empty());
}

/// The order stays, whatever the sizes, and a small chunk is there at once.
#[test]
fn chunks_come_out_in_their_order() {
    let mut queue = ChunkQueue::default();
    let sizes = [1, BLOCK_BYTES, 3, BLOCK_BYTES - 2, 5, BLOCK_BYTES * 2, 1];
    let chunks: Vec<Bytes> = (0u8..).zip(sizes).map(|(byte, size)| vec![byte; size].into()).collect();
    chunks.iter().for_each(|chunk| queue.push(chunk.clone()));
    assert_eq!(queue.len(), sizes.iter().sum::<usize>());
    let popped: Vec<Bytes> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(popped.concat(), chunks.concat());
    queue.push(Bytes::from_static(b"a"));
    assert_eq!(queue.pop().as_deref(), Some(&b"a"[..]));
    queue.push(Bytes::from_static(b"b"));
    assert_eq!((queue.pop().as_deref(), queue.pop()), (Some(&b"b"[..]), None));
    queue.push(Bytes::from_static(b"c"));
    queue.clear();
    assert!(queue.is_empty() && queue.pop().is_none());
}
