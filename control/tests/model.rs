//! Exhaustive exploration of short histories: sets, clears, restarts, passing time, and deliveries in any
//! order and more than once. A record in transit may be delivered at any later time or never, which covers
//! loss, delay, reordering and duplication.

use lineroute_control::overrides::{ActiveOverrides, Effect, OverrideRequest, Record, Scope, Slot, Table};
use lineroute_control::Millis;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

const START: Millis = 1_000_000_000_000;
/// One step of time; an override lasts for two steps.
const STEP: Millis = 1000;
const LAST: Millis = START + 4 * STEP;

#[derive(Clone, Debug)]
struct World {
    tables: Vec<Table>,
    /// All records written, in order. Any of them may be delivered anywhere at any time.
    written: Vec<Arc<Record>>,
    now: Millis,
    sets: u8,
    clears: u8,
    restarts: u8,
}

impl World {
    /// Identity of a state: the records that the tables hold, and the counters.
    fn identity(&self) -> impl Hash + PartialEq + '_ {
        let held: Vec<Vec<&Arc<Record>>> =
            self.tables.iter().map(|t| t.by_fingerprint().values().collect()).collect();
        (held, &self.written, self.now, self.sets, self.clears, self.restarts)
    }

    /// A table that has received every record.
    fn fully_merged(&self) -> Table {
        let mut table = Table::new("reference", u64::MAX);
        for record in &self.written {
            table.merge((**record).clone(), self.now);
        }
        table
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.identity().hash(hasher);
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.identity() == other.identity()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Set(usize),
    Clear(usize, usize),
    Deliver { record: usize, to: usize },
    Restart(usize),
    Wait,
}

struct Dispatchers {
    count: usize,
    sets: u8,
    clears: u8,
    restarts: u8,
}

impl Model for Dispatchers {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let tables = (0..self.count).map(|at| Table::new(&format!("n{at}"), 10 * STEP)).collect();
        vec![World { tables, written: Vec::new(), now: START, sets: 0, clears: 0, restarts: 0 }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        for at in 0..self.count {
            if world.sets < self.sets {
                actions.push(Step::Set(at));
            }
            for (record, written) in world.written.iter().enumerate() {
                let is_live = written.is_live(world.now);
                if world.clears < self.clears && is_live {
                    actions.push(Step::Clear(at, record));
                }
                actions.push(Step::Deliver { record, to: at });
            }
            if world.restarts < self.restarts && !world.tables[at].by_fingerprint().is_empty() {
                actions.push(Step::Restart(at));
            }
        }
        if world.now < LAST {
            actions.push(Step::Wait);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        let now = next.now;
        match step {
            Step::Set(at) => {
                let slot = Slot { worker: "w".into(), scope: Scope::Weight };
                let weight = Some(1.0 + f64::from(next.sets));
                let order = OverrideRequest {
                    slot,
                    weight,
                    until: now + 2 * STEP,
                    by: "ama".into(),
                    why: "model".into(),
                };
                let record = next.tables[at].set(order, now).ok()?;
                next.written.push(record);
                next.sets += 1;
            }
            Step::Clear(at, record) => {
                let id = next.written[record].stamp.to_string();
                let record = next.tables[at].clear(&id, "ama", "", now).ok()?;
                next.written.push(record);
                next.clears += 1;
            }
            Step::Deliver { record, to } => {
                let record = (*next.written[record]).clone();
                next.tables[to].merge(record, now);
            }
            Step::Restart(at) => {
                next.tables[at] = Table::new(&format!("n{at}"), 10 * STEP);
                next.restarts += 1;
            }
            Step::Wait => next.now += STEP,
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "tables with the same records have the same overrides in force",
                |_, world: &World| {
                    let all = world.fully_merged();
                    world.tables.iter().all(|t| {
                        let mut merged = t.clone();
                        for record in &world.written {
                            merged.merge((**record).clone(), world.now);
                        }
                        let entries = |t: &Table| t.entries(world.now, |_| true);
                        merged.active(world.now) == all.active(world.now) && entries(&merged) == entries(&all)
                    })
                },
            ),
            Property::always("no expired or superseded override is in force", |_, world: &World| {
                world.tables.iter().all(|t| {
                    // The last record that this dispatcher has received is in force, or nothing is.
                    let last = t.by_fingerprint().values().max();
                    let weight = last.filter(|r| world.now < r.until).and_then(|r| match r.effect {
                        Effect::Set(weight) => weight,
                        Effect::Clear => None,
                    });
                    let active = t.active(world.now);
                    active.weights.iter().map(|w| w.1).eq(weight.map(|w| w.factor()))
                        && ActiveOverrides { weights: Vec::new(), ..active } == ActiveOverrides::default()
                })
            }),
            Property::always("no cleared override is listed where the clear is known", |_, world: &World| {
                let clears = world.written.iter().filter(|r| r.effect == Effect::Clear);
                clears.clone().all(|clear| {
                    world.tables.iter().filter(|t| t.by_fingerprint().values().any(|r| r == clear)).all(|t| {
                        let entries = t.entries(world.now, |_| true);
                        entries.iter().all(|l| l.record > *clear)
                    })
                })
            }),
            Property::sometimes("two dispatchers differ", |_, world: &World| {
                world.tables[0].active(world.now) != world.tables[1].active(world.now)
            }),
            Property::sometimes("an override expires", |_, world: &World| {
                world.now == LAST && world.written.len() > 1 && world.clears == 0
            }),
        ]
    }
}

#[test]
fn two_dispatchers_with_restarts_in_every_order() {
    let model = Dispatchers { count: 2, sets: 2, clears: 1, restarts: 1 };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn three_dispatchers_in_every_order() {
    let model = Dispatchers { count: 3, sets: 2, clears: 1, restarts: 0 };
    let checker = model.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
}
