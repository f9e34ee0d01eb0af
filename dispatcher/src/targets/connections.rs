//! Counts connections that are open: of one pool, and of all. A bound on calls alone would not do, since idle connections are
//! kept.

use std::cell::Cell;
use std::rc::Rc;

/// The connections of one pool.
#[derive(Debug)]
pub struct Connections {
    open: Cell<usize>,
    total: Rc<Cell<usize>>,
    released: Cell<bool>,
}

impl Connections {
    /// `in_all` counts those of all pools together.
    pub fn new(total: Rc<Cell<usize>>) -> Self {
        Connections { open: Cell::new(0), total, released: Cell::new(false) }
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The pool is dropped: its idle connections end in this turn, and the others with the calls on them, which are bounded by
    /// themselves. From here on none counts.
    pub fn release(&self) {
        if !self.released.replace(true) {
            self.total.set(self.total.get() - self.open.get());
        }
    }
}

/// A connection that counts until it is dropped, from before it comes up.
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
