//! Forwarding of workers' answers from tubes that the processes of a dispatcher share.

use super::protocol::Request;
use super::{Delivery, Siblings};
use crate::memory::{MemoryBudget, Purpose};
use crate::targets::shared_tubes::{AnswerForwarder, TubeAnswer};
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// How long siblings are not asked after one gave no answer: answers of this process wait while a sibling is asked.
const UNAVAILABLE_PAUSE: Duration = Duration::from_secs(1);

/// Offers answers to the siblings.
pub struct SiblingAnswers {
    /// `None` where siblings can't be called.
    siblings: Option<Rc<Siblings>>,
    /// Whether a process that is not known as a sibling may be running.
    may_have_sibling: Box<dyn Fn() -> bool>,
    memory: Rc<MemoryBudget>,
    unavailable_since: Cell<Option<Instant>>,
}

impl SiblingAnswers {
    /// The way to `siblings`. `may_have_sibling` says whether one may be running that is not known; calls are leased from `memory`.
    pub fn new(
        siblings: Option<Rc<Siblings>>,
        may_have_sibling: Box<dyn Fn() -> bool>,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        SiblingAnswers { siblings, may_have_sibling, memory, unavailable_since: Cell::default() }
    }

    /// What holds for an answer that none of the known siblings has, or if there are none.
    fn without_owner(&self) -> Delivery {
        match (self.may_have_sibling)() {
            true => Delivery::Unavailable,
            false => Delivery::Unknown,
        }
    }

    async fn offer(&self, siblings: &Siblings, answer: TubeAnswer) -> Delivery {
        if self.unavailable_since.get().is_some_and(|since| since.elapsed() < UNAVAILABLE_PAUSE) {
            return Delivery::Unavailable;
        }
        if siblings.others().is_ok_and(|others| others.is_empty()) {
            return self.without_owner();
        }
        // The encoded answer, and the line of the call.
        let Some(_lease) = self.memory.try_lease(2 * answer.encoded_len(), Purpose::Worker) else {
            return Delivery::Unavailable;
        };
        let server = answer.server;
        let request = || Request::TubeAnswer(answer.clone());
        siblings
            .offer(request, |sibling, error| {
                info!(sibling, %server, %error, "siblings: can't forward an answer; it stays in its tube");
                self.unavailable_since.set(Some(Instant::now()));
            })
            .await
    }
}

impl AnswerForwarder for SiblingAnswers {
    fn forward(&self, answer: TubeAnswer) -> LocalBoxFuture<'_, Delivery> {
        async move {
            match &self.siblings {
                Some(siblings) => self.offer(siblings, answer).await,
                None => self.without_owner(),
            }
        }
        .boxed_local()
    }

    fn may_have_others(&self) -> bool {
        let knows_any = |siblings: &Rc<Siblings>| siblings.others().map_or(true, |others| !others.is_empty());
        (self.may_have_sibling)() || self.siblings.as_ref().is_some_and(knows_any)
    }
}
