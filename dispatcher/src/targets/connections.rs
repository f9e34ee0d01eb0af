//! Counts open connections, of one pool and in total. A limit on calls alone is not enough, since idle
//! connections are kept open.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug)]
pub struct Connections {
    open: Cell<usize>,
    total: Rc<Cell<usize>>,
    released: Cell<bool>,
}

impl Connections {
    /// `total` counts the connections of all pools.
    pub fn new(total: Rc<Cell<usize>>) -> Self {
        Connections { open: Cell::new(0), total, released: Cell::new(false) }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The pool is dropped. Its idle connections close in this turn of the event loop; the others close with
    /// their calls, which have their own limit. None of them is counted from here on.
    pub fn release(&self) {
        if !self.released.replace(true) {
            self.total.set(self.total.get() - self.open.get());
        }
    }
}

/// A connection that is counted from before it is established until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Rc<Connections>);

impl OpenConnection {
    pub fn new(connections: Rc<Connections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        if !connections.released.get() {
            connections.total.set(connections.total.get() + 1);
        }
        OpenConnection(connections)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let Connections { open, total, released } = &*self.0;
        open.set(open.get() - 1);
        if !released.get() {
            total.set(total.get() - 1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_let_go_counts_no_longer() {
        let total = Rc::new(Cell::new(0));
        let [one, other] = [(); 2].map(|()| Rc::new(Connections::new(total.clone())));
        let opened = [&one, &one, &other].map(|pool| OpenConnection::new(pool.clone()));
        assert_eq!((one.open(), other.open(), total.get()), (2, 1, 3));
        one.release();
        one.release();
        assert_eq!(total.get(), 1);
        let _late = OpenConnection::new(one.clone());
        drop(opened);
        assert_eq!((one.open(), other.open(), total.get()), (1, 0, 0));
    }
}
