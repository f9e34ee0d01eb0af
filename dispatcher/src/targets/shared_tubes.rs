//! Answers tubes that several processes of a dispatcher read while one replaces another. Each process reserves what comes, so an
//! answer may be reserved by a process that does not have its job. That process forwards it, and the answer stays in the tube until
//! its owner has accepted it or no process can have the job.

use super::beanstalkd::BeanstalkdTargets;
use crate::memory::{with_leases, MemoryLease};
use crate::siblings::Delivery;
use base64::prelude::{Engine, BASE64_STANDARD};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A job of an answers tube.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TubeAnswer {
    /// Address of the worker's server, to which the id in the answer belongs.
    pub server: SocketAddr,
    /// The body in base64.
    body: String,
}

impl TubeAnswer {
    /// An answer with this body, reserved at this server.
    pub fn new(server: SocketAddr, body: &[u8]) -> TubeAnswer {
        TubeAnswer { server, body: BASE64_STANDARD.encode(body) }
    }

    /// Size of the encoded body, in bytes.
    pub fn encoded_len(&self) -> usize {
        self.body.len()
    }
}

/// Whether a process has the job of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// It had, and has accepted the answer.
    Accepted,
    /// It has no such job and is storing none.
    NotOurs,
    /// It does not know yet: the id of a job that it is storing at the server is not known.
    Undecided,
}

impl Ownership {
    /// What holds for two jobs of a process together.
    pub fn or(self, other: Ownership) -> Ownership {
        match (self, other) {
            (Ownership::Accepted, _) | (_, Ownership::Accepted) => Ownership::Accepted,
            (Ownership::Undecided, _) | (_, Ownership::Undecided) => Ownership::Undecided,
            (Ownership::NotOurs, Ownership::NotOurs) => Ownership::NotOurs,
        }
    }
}

/// Forwards answers to the other processes of this dispatcher.
pub trait AnswerForwarder {
    /// Offers an answer to the other processes. If the future is dropped, one of them may have accepted it.
    fn forward(&self, answer: TubeAnswer) -> LocalBoxFuture<'_, Delivery>;

    /// Whether another process may have reserved an answer of this one.
    fn may_have_others(&self) -> bool;
}

/// The targets of this process that read answers tubes, and the way to those of other processes.
#[derive(Clone, Default)]
pub struct SharedTubes(Rc<Inner>);

#[derive(Default)]
struct Inner {
    targets: RefCell<Vec<BeanstalkdTargets>>,
    /// Unset until the other processes are known, and where there can't be any.
    forwarder: OnceCell<Box<dyn AnswerForwarder>>,
}

impl SharedTubes {
    /// Adds targets, which answers from other processes are offered to.
    pub fn add(&self, targets: BeanstalkdTargets) {
        self.0.targets.borrow_mut().push(targets);
    }

    /// Sets the way to the other processes. Later calls have no effect.
    pub fn set_forwarder(&self, forwarder: Box<dyn AnswerForwarder>) {
        let _ = self.0.forwarder.set(forwarder);
    }

    /// Offers an answer that this process has no job for to the other processes.
    pub async fn forward(&self, server: SocketAddr, body: &[u8]) -> Delivery {
        match self.0.forwarder.get() {
            Some(forwarder) => forwarder.forward(TubeAnswer::new(server, body)).await,
            None => Delivery::Unknown,
        }
    }

    /// Whether another process may have reserved an answer of this one.
    pub fn may_have_others(&self) -> bool {
        self.0.forwarder.get().is_some_and(|forwarder| forwarder.may_have_others())
    }

    /// Handles an answer that another process has reserved; `lease` is the memory for it. An answer that can't be decoded belongs
    /// to nobody.
    pub fn accept(&self, answer: &TubeAnswer, lease: MemoryLease) -> Ownership {
        let Ok(body) = BASE64_STANDARD.decode(&answer.body) else { return Ownership::NotOurs };
        let body = with_leases(body, Arc::new(vec![lease]));
        let targets = self.0.targets.borrow();
        let owners = targets.iter().map(|targets| targets.accept(answer.server, &body));
        owners.reduce(Ownership::or).unwrap_or(Ownership::NotOurs)
    }
}
