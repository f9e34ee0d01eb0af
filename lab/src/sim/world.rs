//! One fleet in virtual time, with everything that can break, and the rules that must hold at every moment of
//! true time.

use super::disk::{Platter, SimDisk};
use lineroute_fleet::consensus::replica_id_of;
use lineroute_fleet::frame::Frame;
use lineroute_fleet::log::Log;
use lineroute_fleet::node::{Event, Node, NodeConfig, RecoveredReplica};
use lineroute_fleet::timing::Timing;
use lineroute_fleet::{Incarnation, Member, Resource, Time, Token};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

/// The last part of a run is calm: by its end everything must have an owner.
const CALM: Duration = Duration::from_secs(8);
/// In a calm everything must have an owner again after this.
const OWNED_AGAIN: Duration = Duration::from_secs(4);
/// Rules are looked at this often.
pub(super) const LOOK: Duration = Duration::from_millis(10);

/// How large a fleet is, and for how long it is played.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub members: u16,
    pub voters: u16,
    pub seconds: u64,
}

/// What a run comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub broken: Vec<String>,
    pub kills: u64,
    pub stops: u64,
    pub cuts: u64,
    /// Processes that were declared dead while they lived, stopped or cut off or not.
    pub reborn: u64,
    /// Things won, all members together.
    pub wins: u64,
    /// For each loss of an owner, how long nobody owned the thing while a majority could hear itself.
    pub gaps_ms: Vec<u64>,
    /// Of everything that happened, in order.
    pub digest: u64,
    pub frames: u64,
    pub bytes: u64,
}

pub(super) struct Process {
    pub(super) node: Option<Node<SimDisk>>,
    platter: Rc<RefCell<Platter>>,
    born: u64,
    /// True time at which its clock began, and its rate against true time, in parts of a million.
    began: Time,
    rate: u64,
    pub(super) stopped: bool,
    /// Counts starts and ends of the process, so that ticks of an earlier one are let drop.
    generation: u64,
    /// What came while it was stopped.
    inbox: Vec<(Member, Frame)>,
    kept: Vec<(u64, Result<(), String>)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum What {
    Tick(u16, u64),
    Deliver(u64),
    /// A disk has kept a change, unless the process has died meanwhile.
    Written(u16, u64, u64),
    Trouble,
    Mend(Mend),
    Look,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Mend {
    Start(u16),
    GoOn(u16),
    Join(u64),
    Empty(u16),
}

/// A cut: who hears nobody (`deaf`), and who is heard by nobody (`mute`), among the first and not the others.
#[derive(Clone, Debug)]
pub(super) struct Cut {
    number: u64,
    group: Vec<bool>,
    out: bool,
    back: bool,
}

pub struct World {
    pub(super) size: Size,
    timing: Timing,
    pub(super) now: Time,
    dice: fastrand::Rng,
    pub(super) processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Time, u64, What)>>,
    count: u64,
    letters: BTreeMap<u64, (Member, Member, Frame)>,
    pub(super) cuts: Vec<Cut>,
    /// Lost frames of 1,000 and the longest delay.
    loss: u32,
    delay: Duration,
    /// Nothing breaks any more.
    calm: bool,
    /// How long disks take at most; now and then one stands still for much longer.
    disk: Duration,
    pub(super) things: Vec<Resource>,
    /// By thing: the highest token that anybody could act under, and who.
    pub(super) highest: BTreeMap<Resource, (Token, Member)>,
    pub(super) ownerless: BTreeMap<Resource, Time>,
    /// When last no majority of the voters could run and hear each other.
    pub(super) bad: Time,
    pub(super) report: Report,
}

impl World {
    pub fn new(seed: u64, size: Size) -> World {
        let mut dice = fastrand::Rng::with_seed(seed);
        let things = ["probe/a", "probe/b", "ledger"].into_iter().filter_map(Resource::new).collect();
        let mut world = World {
            size,
            timing: Timing::default(),
            now: Time::ZERO,
            processes: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            letters: BTreeMap::new(),
            cuts: Vec::new(),
            loss: [0, 0, 10, 50][dice.usize(0..4)],
            delay: Duration::from_millis([1, 5, 20, 60][dice.usize(0..4)]),
            calm: false,
            disk: Duration::from_millis([0, 1, 10, 100][dice.usize(0..4)]),
            things,
            highest: BTreeMap::new(),
            ownerless: BTreeMap::new(),
            bad: Time::ZERO,
            report: Report::default(),
            dice,
        };
        for _ in 0..size.members {
            let rate = world.dice.u64(990_000..=1_010_000);
            let (platter, began) = (Rc::default(), Time::ZERO);
            let process = Process {
                node: None,
                platter,
                born: 0,
                began,
                rate,
                stopped: false,
                generation: 0,
                inbox: Vec::new(),
                kept: Vec::new(),
            };
            world.processes.push(process);
        }
        (0..size.members).for_each(|m| world.start(m));
        world.at(Duration::from_secs(3), What::Trouble);
        world.at(LOOK, What::Look);
        world
    }

    pub(super) fn at(&mut self, after: Duration, what: What) {
        self.count += 1;
        self.queue.push(Reverse((self.now + after, self.count, what)));
    }

    /// A process's own clock at this moment.
    pub(super) fn clock(&self, member: u16) -> Time {
        let process = &self.processes[usize::from(member)];
        let span = self.now.saturating_sub(process.began).as_nanos() as u64;
        // Not from zero: a process reads its clock some time after its start.
        Duration::from_nanos((span as u128 * u128::from(process.rate) / 1_000_000) as u64 + 1)
    }

    fn start(&mut self, member: u16) {
        let voters: Vec<Member> = (0..self.size.voters).map(Member).collect();
        let votes = member < self.size.voters;
        let seed = self.dice.u64(..);
        let (now, disk) = (self.now, self.disk);
        let process = &mut self.processes[usize::from(member)];
        process.born += 1;
        process.generation += 1;
        (process.began, process.stopped) = (now, false);
        process.inbox.clear();
        process.kept.clear();
        let kept = votes.then(|| {
            let mut platter = process.platter.borrow_mut();
            platter.under_way.clear();
            (platter.writes, platter.slow) = (false, !disk.is_zero());
            let new = platter.replica_id.is_none();
            let replica_id = *platter.replica_id.get_or_insert_with(|| replica_id_of(Member(member), seed));
            let log = (!platter.changes.is_empty()).then(|| {
                let mut log = Log::default();
                platter.changes.iter().for_each(|change| log.apply(change));
                log
            });
            assert!(!new || log.is_none());
            RecoveredReplica { replica_id, log, disk: SimDisk(process.platter.clone()) }
        });
        let node_config = NodeConfig {
            incarnation: Incarnation { member: Member(member), number: process.born },
            members: self.size.members,
            voters,
            timing: self.timing,
            seed,
            floor: now.as_secs(),
        };
        let mut node = Node::new(node_config, kept);
        self.things.iter().for_each(|thing| node.set_wanted(thing, true));
        node.set_recovers(true);
        process.node = Some(node);
        let generation = process.generation;
        let first = Duration::from_micros(self.dice.u64(0..50_000));
        self.at(first, What::Tick(member, generation));
    }

    /// The same with nothing that breaks or is lost, and links as within one building.
    pub fn calm(seed: u64, size: Size) -> World {
        let mut world = World::new(seed, size);
        world.queue.retain(|Reverse((_, _, what))| *what != What::Trouble);
        (world.loss, world.calm) = (0, true);
        (world.delay, world.disk) = (Duration::from_millis(1), Duration::from_millis(1));
        world
    }

    /// Plays the run to its end.
    pub fn run(mut self) -> Report {
        let end = Duration::from_secs(self.size.seconds) + CALM;
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at > end || !self.report.broken.is_empty() {
                break;
            }
            self.now = at;
            match what {
                What::Tick(member, generation) => self.tick(member, generation),
                What::Deliver(letter) => self.deliver(letter),
                What::Written(member, generation, number) => self.written(member, generation, number),
                What::Trouble => self.trouble(end),
                What::Mend(mend) => self.mend(mend),
                What::Look => self.look(),
            }
        }
        for (thing, since) in &self.ownerless {
            let alone = self.now.saturating_sub(*since);
            if self.report.broken.is_empty() && alone > OWNED_AGAIN {
                self.report.broken.push(format!("{thing} had no owner for {alone:?} of calm"));
            }
        }
        self.report
    }

    fn tick(&mut self, member: u16, generation: u64) {
        let now = self.clock(member);
        let process = &mut self.processes[usize::from(member)];
        if process.generation != generation {
            return;
        }
        // A tick of its own clock; while it is stopped nothing happens, and the next comes late.
        let span = self.timing.tick_interval.as_nanos() as u64 * 1_000_000 / process.rate;
        if !process.stopped {
            if let Some(node) = &mut process.node {
                node.tick(now);
                self.drain(member);
            }
        }
        self.at(Duration::from_nanos(span), What::Tick(member, generation));
    }

    /// Takes what a node says and does.
    fn drain(&mut self, member: u16) {
        let Some(node) = &mut self.processes[usize::from(member)].node else { return };
        let (out, events) = (node.take_frames(), node.take_events());
        for event in events {
            self.note(&event);
            match event {
                Event::Acquired(thing, token) => {
                    self.report.wins += 1;
                    self.won(member, &thing, token);
                }
                Event::NewIncarnation(_) => self.report.reborn += 1,
                _ => {}
            }
        }
        for (to, frame) in out {
            self.send(Member(member), to, frame);
        }
        self.spin(member);
    }

    /// Begins the next write of a disk, of all that it was given by now.
    fn spin(&mut self, member: u16) {
        let process = &self.processes[usize::from(member)];
        let generation = process.generation;
        let number = {
            let mut platter = process.platter.borrow_mut();
            let last = platter.under_way.back().map(|(n, _)| *n).filter(|_| !platter.writes);
            platter.writes |= last.is_some();
            last
        };
        let Some(number) = number else { return };
        let stands = !self.calm && self.dice.u32(0..200) == 0;
        let most = if stands { Duration::from_millis(1500) } else { self.disk };
        let takes = Duration::from_micros(self.dice.u64(0..=most.as_micros() as u64));
        self.at(takes, What::Written(member, generation, number));
    }

    fn written(&mut self, member: u16, generation: u64, number: u64) {
        let process = &mut self.processes[usize::from(member)];
        if process.generation != generation {
            return;
        }
        process.platter.borrow_mut().writes = false;
        let Some(result) = process.platter.borrow_mut().settle(number) else { return self.spin(member) };
        if process.stopped {
            // It is told when it runs again.
            process.kept.push((number, result));
            return self.spin(member);
        }
        self.told(member, number, result);
    }

    fn told(&mut self, member: u16, number: u64, result: Result<(), String>) {
        let now = self.clock(member);
        if let Some(node) = &mut self.processes[usize::from(member)].node {
            node.persisted(now, number, result);
        }
        self.drain(member);
    }

    /// Orphaned work that was taken over is worked on for a while and settled.
    fn won(&mut self, member: u16, thing: &Resource, _token: Token) {
        let Some(incarnation) = thing.as_orphaned_work() else { return };
        if self.dice.u32(0..3) > 0 {
            if let Some(node) = &mut self.processes[usize::from(member)].node {
                node.complete_recovery(incarnation);
            }
        }
    }

    fn note(&mut self, event: &Event) {
        let text = format!("{:?} {event:?}", self.now);
        for byte in text.bytes() {
            self.report.digest = (self.report.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn hears(&self, from: Member, to: Member) -> bool {
        !self.cuts.iter().any(|cut| {
            let (a, b) = (cut.group[usize::from(from.0)], cut.group[usize::from(to.0)]);
            (cut.out && a && !b) || (cut.back && b && !a)
        })
    }

    fn send(&mut self, from: Member, to: Member, frame: Frame) {
        self.report.frames += 1;
        if self.size.members < 100 || self.loss == 0 {
            self.report.bytes += frame.encode().len() as u64;
        }
        if !self.hears(from, to) || self.dice.u32(0..1000) < self.loss {
            return;
        }
        let delay = Duration::from_micros(self.dice.u64(100..=self.delay.as_micros() as u64 * 2));
        self.count += 1;
        self.letters.insert(self.count, (from, to, frame));
        let letter = self.count;
        self.at(delay, What::Deliver(letter));
    }

    fn deliver(&mut self, letter: u64) {
        let Some((from, to, frame)) = self.letters.remove(&letter) else { return };
        let now = self.clock(to.0);
        let process = &mut self.processes[usize::from(to.0)];
        if process.stopped {
            // It waits in the kernel, as far as there is room.
            if process.inbox.len() < 256 {
                process.inbox.push((from, frame));
            }
            return;
        }
        if let Some(node) = &mut process.node {
            node.receive(now, from, frame);
            self.drain(to.0);
        }
    }

    /// Breaks one thing, as the dice say, and comes again unless the calm begins.
    fn trouble(&mut self, end: Time) {
        if self.now + CALM + Duration::from_secs(4) > end {
            self.calm = true;
            return;
        }
        let member = self.dice.u16(0..self.size.members);
        // Voters and owners are struck more often than their number: they are what may break.
        let voter = self.dice.u16(0..self.size.voters);
        let owner = self.highest.values().map(|(_, m)| m.0).next().unwrap_or(voter);
        let who = [member, voter, owner][self.dice.usize(0..3)];
        let span = Duration::from_millis(self.dice.u64(20..4000));
        match self.dice.u32(0..12) {
            0..=3 => self.kill(who, span, false),
            4..=6 => self.stop(who, span),
            7 | 8 => self.cut(span),
            9 => {
                self.processes[usize::from(voter)].platter.borrow_mut().full = true;
                self.at(span, What::Mend(Mend::Empty(voter)));
            }
            10 => {
                // One lost disk at a time: more than that is a lost majority, which nothing mends by itself.
                self.kill(voter, span, true);
            }
            _ => {
                for member in 0..self.size.voters {
                    self.kill(member, span, false);
                }
            }
        }
        let next = Duration::from_millis(self.dice.u64(100..3000));
        self.at(next, What::Trouble);
    }

    fn kill(&mut self, member: u16, span: Duration, wipe: bool) {
        let alone = self.now > Duration::from_secs(6) && self.uninitialized_replicas() == 0;
        let process = &mut self.processes[usize::from(member)];
        if process.node.take().is_none() {
            return;
        }
        self.report.kills += 1;
        process.generation += 1;
        if wipe && alone {
            *process.platter.borrow_mut() = Platter::default();
        }
        self.at(span, What::Mend(Mend::Start(member)));
    }

    /// Voters whose replica is new or not there: while there is one, no other disk is lost.
    fn uninitialized_replicas(&self) -> usize {
        let voters = self.processes.iter().take(usize::from(self.size.voters));
        let started = |p: &Process| {
            let vote = p.node.as_ref().map(|n| n.status().vote);
            matches!(vote.as_deref(), Some("votes" | "leads"))
        };
        voters.filter(|p| !started(p)).count()
    }

    fn stop(&mut self, member: u16, span: Duration) {
        let process = &mut self.processes[usize::from(member)];
        if process.node.is_some() && !process.stopped {
            process.stopped = true;
            self.report.stops += 1;
            self.at(span, What::Mend(Mend::GoOn(member)));
        }
    }

    fn cut(&mut self, span: Duration) {
        self.report.cuts += 1;
        self.count += 1;
        let share = self.dice.u32(1..60);
        let group = (0..self.size.members).map(|_| self.dice.u32(0..100) < share).collect();
        let (out, back) = [(true, true), (true, false), (false, true)][self.dice.usize(0..3)];
        let number = self.count;
        self.cuts.push(Cut { number, group, out, back });
        self.at(span, What::Mend(Mend::Join(number)));
    }

    fn mend(&mut self, mend: Mend) {
        match mend {
            Mend::Start(member) => {
                if self.processes[usize::from(member)].node.is_none() {
                    self.start(member);
                }
            }
            Mend::Join(number) => self.cuts.retain(|cut| cut.number != number),
            Mend::Empty(member) => {
                self.processes[usize::from(member)].platter.borrow_mut().full = false;
                // A voter that lost its disk says nothing until it is started again.
                self.kill(member, Duration::from_millis(100), false);
            }
            Mend::GoOn(member) => self.go_on(member),
        }
    }

    fn go_on(&mut self, member: u16) {
        let now = self.clock(member);
        let process = &mut self.processes[usize::from(member)];
        if !std::mem::take(&mut process.stopped) {
            return;
        }
        let Some(node) = &process.node else { return };
        // The very first instruction after the stop may be an act: the last look at the clock comes before it.
        let may: Vec<Resource> =
            self.things.iter().filter(|t| node.permit(t, now).is_some()).cloned().collect();
        for thing in may {
            self.acts(member, &thing);
        }
        for (number, result) in std::mem::take(&mut self.processes[usize::from(member)].kept) {
            self.told(member, number, result);
        }
        let inbox = std::mem::take(&mut self.processes[usize::from(member)].inbox);
        for (from, frame) in inbox {
            if let Some(node) = &mut self.processes[usize::from(member)].node {
                node.receive(now, from, frame);
            }
            self.drain(member);
        }
    }
}
