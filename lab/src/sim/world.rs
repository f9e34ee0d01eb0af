//! Simulation of one fleet in virtual time with fault injection. Invariants are checked against the simulation's
//! reference time, not the members' own clocks.

use super::disk::{DiskState, SimDisk};
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

/// No faults are injected in the last part of a run: by its end each resource must have an owner.
const FAULT_FREE_PERIOD: Duration = Duration::from_secs(8);
/// Without faults, each resource must have an owner again after at most this time.
const MAX_OWNERLESS: Duration = Duration::from_secs(4);
/// Interval between two checks of the invariants.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The size of a fleet and the length of its simulation.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub members: u16,
    pub voters: u16,
    pub seconds: u64,
}

/// The result of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub violations: Vec<String>,
    pub kills: u64,
    pub stops: u64,
    pub partitions: u64,
    /// Times that a living member was declared dead and began a new incarnation.
    pub new_incarnations: u64,
    /// Resources acquired, by all members together.
    pub acquisitions: u64,
    /// For each loss of an owner, how long the resource had none while a connected majority of voters was running.
    pub ownerless_ms: Vec<u64>,
    /// Hash of all events of all nodes, in order.
    pub digest: u64,
    pub frames: u64,
    pub bytes: u64,
}

pub(super) struct Process {
    pub(super) node: Option<Node<SimDisk>>,
    disk_state: Rc<RefCell<DiskState>>,
    incarnation: u64,
    /// Reference time at which its clock started.
    clock_start: Time,
    /// Rate of its clock against reference time, in parts per million.
    clock_rate_ppm: u64,
    pub(super) stopped: bool,
    /// Incremented with each start and end of the process: events of an earlier one are discarded.
    generation: u64,
    /// Frames that arrived while it was stopped.
    inbox: Vec<(Member, Frame)>,
    /// Results of writes that completed while it was stopped.
    completed_writes: Vec<(u64, Result<(), String>)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    Tick(u16, u64),
    Deliver(u64),
    /// A disk completed a write: member, generation of its process, log number.
    WriteCompleted(u16, u64, u64),
    InjectFault,
    Repair(Repair),
    CheckInvariants,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Repair {
    Start(u16),
    Resume(u16),
    HealPartition(u64),
    FreeDisk(u16),
}

/// A network partition between a group of members and all others, in one or both directions.
#[derive(Clone, Debug)]
pub(super) struct Partition {
    number: u64,
    /// By member: whether it belongs to the group.
    group: Vec<bool>,
    /// Frames from the group to the others are dropped.
    blocks_outbound: bool,
    /// Frames from the others to the group are dropped.
    blocks_inbound: bool,
}

pub struct World {
    pub(super) size: Size,
    timing: Timing,
    pub(super) now: Time,
    rng: fastrand::Rng,
    pub(super) processes: Vec<Process>,
    queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    last_id: u64,
    frames_in_flight: BTreeMap<u64, (Member, Member, Frame)>,
    pub(super) partitions: Vec<Partition>,
    /// Frames lost, in thousandths.
    loss: u32,
    /// Mean delay of a frame; the longest is twice as long.
    mean_delay: Duration,
    /// No more faults are injected.
    faults_ended: bool,
    /// Longest time of a disk write, except for occasional stalls of up to 1.5 s.
    max_write_time: Duration,
    pub(super) resources: Vec<Resource>,
    /// By resource: the highest token that any member had a permit with, and that member.
    pub(super) highest_tokens: BTreeMap<Resource, (Token, Member)>,
    /// Resources without an owner, and since when.
    pub(super) ownerless_since: BTreeMap<Resource, Time>,
    /// The last time at which there was no connected majority of running voters while a resource had no owner.
    pub(super) no_majority_at: Time,
    pub(super) report: Report,
}

impl World {
    pub fn new(seed: u64, size: Size) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let resources = ["probe/a", "probe/b", "ledger"].into_iter().filter_map(Resource::new).collect();
        let mut world = World {
            size,
            timing: Timing::default(),
            now: Time::ZERO,
            processes: Vec::new(),
            queue: BinaryHeap::new(),
            last_id: 0,
            frames_in_flight: BTreeMap::new(),
            partitions: Vec::new(),
            loss: [0, 0, 10, 50][rng.usize(0..4)],
            mean_delay: Duration::from_millis([1, 5, 20, 60][rng.usize(0..4)]),
            faults_ended: false,
            max_write_time: Duration::from_millis([0, 1, 10, 100][rng.usize(0..4)]),
            resources,
            highest_tokens: BTreeMap::new(),
            ownerless_since: BTreeMap::new(),
            no_majority_at: Time::ZERO,
            report: Report::default(),
            rng,
        };
        for _ in 0..size.members {
            let rate = world.rng.u64(990_000..=1_010_000);
            let (disk_state, clock_start) = (Rc::default(), Time::ZERO);
            let process = Process {
                node: None,
                disk_state,
                incarnation: 0,
                clock_start,
                clock_rate_ppm: rate,
                stopped: false,
                generation: 0,
                inbox: Vec::new(),
                completed_writes: Vec::new(),
            };
            world.processes.push(process);
        }
        (0..size.members).for_each(|m| world.start(m));
        world.schedule(Duration::from_secs(3), SimEvent::InjectFault);
        world.schedule(CHECK_INTERVAL, SimEvent::CheckInvariants);
        world
    }

    pub(super) fn schedule(&mut self, after: Duration, event: SimEvent) {
        self.last_id += 1;
        self.queue.push(Reverse((self.now + after, self.last_id, event)));
    }

    /// The current time on a member's own clock.
    pub(super) fn clock(&self, member: u16) -> Time {
        let process = &self.processes[usize::from(member)];
        let span = self.now.saturating_sub(process.clock_start).as_nanos() as u64;
        // Never zero: a process reads its clock some time after its start.
        Duration::from_nanos((span as u128 * u128::from(process.clock_rate_ppm) / 1_000_000) as u64 + 1)
    }

    fn start(&mut self, member: u16) {
        let voters: Vec<Member> = (0..self.size.voters).map(Member).collect();
        let is_voter = member < self.size.voters;
        let seed = self.rng.u64(..);
        let (now, max_write_time) = (self.now, self.max_write_time);
        let process = &mut self.processes[usize::from(member)];
        process.incarnation += 1;
        process.generation += 1;
        (process.clock_start, process.stopped) = (now, false);
        process.inbox.clear();
        process.completed_writes.clear();
        let recovered = is_voter.then(|| {
            let mut disk_state = process.disk_state.borrow_mut();
            disk_state.pending_writes.clear();
            (disk_state.write_in_progress, disk_state.slow) = (false, !max_write_time.is_zero());
            let is_new = disk_state.replica_id.is_none();
            let replica_id =
                *disk_state.replica_id.get_or_insert_with(|| replica_id_of(Member(member), seed));
            let log = (!disk_state.changes.is_empty()).then(|| {
                let mut log = Log::default();
                disk_state.changes.iter().for_each(|change| log.apply(change));
                log
            });
            assert!(!is_new || log.is_none());
            RecoveredReplica { replica_id, log, disk: SimDisk(process.disk_state.clone()) }
        });
        let node_config = NodeConfig {
            incarnation: Incarnation { member: Member(member), number: process.incarnation },
            members: self.size.members,
            voters,
            timing: self.timing,
            seed,
            floor: now.as_secs(),
        };
        let mut node = Node::new(node_config, recovered);
        self.resources.iter().for_each(|resource| node.set_wanted(resource, true));
        node.set_recovers(true);
        process.node = Some(node);
        let generation = process.generation;
        let first = Duration::from_micros(self.rng.u64(0..50_000));
        self.schedule(first, SimEvent::Tick(member, generation));
    }

    /// A fleet without faults or loss, with the short delays of a local network.
    pub fn without_faults(seed: u64, size: Size) -> World {
        let mut world = World::new(seed, size);
        world.queue.retain(|Reverse((_, _, event))| *event != SimEvent::InjectFault);
        (world.loss, world.faults_ended) = (0, true);
        (world.mean_delay, world.max_write_time) = (Duration::from_millis(1), Duration::from_millis(1));
        world
    }

    /// Runs the simulation to its end, or until an invariant is violated.
    pub fn run(mut self) -> Report {
        let end = Duration::from_secs(self.size.seconds) + FAULT_FREE_PERIOD;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end || !self.report.violations.is_empty() {
                break;
            }
            self.now = at;
            match event {
                SimEvent::Tick(member, generation) => self.tick(member, generation),
                SimEvent::Deliver(frame_id) => self.deliver(frame_id),
                SimEvent::WriteCompleted(member, generation, number) => {
                    self.write_completed(member, generation, number)
                }
                SimEvent::InjectFault => self.inject_fault(end),
                SimEvent::Repair(repair) => self.repair(repair),
                SimEvent::CheckInvariants => self.check_invariants(),
            }
        }
        for (resource, since) in &self.ownerless_since {
            let unowned_for = self.now.saturating_sub(*since);
            if self.report.violations.is_empty() && unowned_for > MAX_OWNERLESS {
                self.report.violations.push(format!(
                    "{resource}: no owner for {unowned_for:?} although no faults were injected"
                ));
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
        // Ticks follow the member's own clock. A stopped process does nothing.
        let span = self.timing.tick_interval.as_nanos() as u64 * 1_000_000 / process.clock_rate_ppm;
        if !process.stopped {
            if let Some(node) = &mut process.node {
                node.tick(now);
                self.process_output(member);
            }
        }
        self.schedule(Duration::from_nanos(span), SimEvent::Tick(member, generation));
    }

    /// Handles a node's outgoing frames and events, and starts a disk write if there are pending changes.
    fn process_output(&mut self, member: u16) {
        let Some(node) = &mut self.processes[usize::from(member)].node else { return };
        let (out, events) = (node.take_frames(), node.take_events());
        for event in events {
            self.add_to_digest(&event);
            match event {
                Event::Acquired(resource, token) => {
                    self.report.acquisitions += 1;
                    self.acquired(member, &resource, token);
                }
                Event::NewIncarnation(_) => self.report.new_incarnations += 1,
                _ => {}
            }
        }
        for (to, frame) in out {
            self.send(Member(member), to, frame);
        }
        self.begin_write(member);
    }

    /// Starts a disk write of all pending changes, unless one is in progress.
    fn begin_write(&mut self, member: u16) {
        let process = &self.processes[usize::from(member)];
        let generation = process.generation;
        let number = {
            let mut disk_state = process.disk_state.borrow_mut();
            let last =
                disk_state.pending_writes.back().map(|(n, _)| *n).filter(|_| !disk_state.write_in_progress);
            disk_state.write_in_progress |= last.is_some();
            last
        };
        let Some(number) = number else { return };
        let stalls = !self.faults_ended && self.rng.u32(0..200) == 0;
        let longest = if stalls { Duration::from_millis(1500) } else { self.max_write_time };
        let duration = Duration::from_micros(self.rng.u64(0..=longest.as_micros() as u64));
        self.schedule(duration, SimEvent::WriteCompleted(member, generation, number));
    }

    fn write_completed(&mut self, member: u16, generation: u64, number: u64) {
        let process = &mut self.processes[usize::from(member)];
        if process.generation != generation {
            return;
        }
        process.disk_state.borrow_mut().write_in_progress = false;
        let Some(result) = process.disk_state.borrow_mut().complete_writes(number) else {
            return self.begin_write(member);
        };
        if process.stopped {
            // Reported to the process when it is resumed.
            process.completed_writes.push((number, result));
            return self.begin_write(member);
        }
        self.notify_persisted(member, number, result);
    }

    fn notify_persisted(&mut self, member: u16, number: u64, result: Result<(), String>) {
        let now = self.clock(member);
        if let Some(node) = &mut self.processes[usize::from(member)].node {
            node.persisted(now, number, result);
        }
        self.process_output(member);
    }

    /// In two of three cases, completes the recovery of orphaned work at once; otherwise its lease is kept.
    fn acquired(&mut self, member: u16, resource: &Resource, _token: Token) {
        let Some(incarnation) = resource.as_orphaned_work() else { return };
        if self.rng.u32(0..3) > 0 {
            if let Some(node) = &mut self.processes[usize::from(member)].node {
                node.complete_recovery(incarnation);
            }
        }
    }

    fn add_to_digest(&mut self, event: &Event) {
        let text = format!("{:?} {event:?}", self.now);
        for byte in text.bytes() {
            self.report.digest = (self.report.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn is_connected(&self, from: Member, to: Member) -> bool {
        !self.partitions.iter().any(|partition| {
            let (a, b) = (partition.group[usize::from(from.0)], partition.group[usize::from(to.0)]);
            (partition.blocks_outbound && a && !b) || (partition.blocks_inbound && b && !a)
        })
    }

    fn send(&mut self, from: Member, to: Member, frame: Frame) {
        self.report.frames += 1;
        if self.size.members < 100 || self.loss == 0 {
            self.report.bytes += frame.encode().len() as u64;
        }
        if !self.is_connected(from, to) || self.rng.u32(0..1000) < self.loss {
            return;
        }
        let delay = Duration::from_micros(self.rng.u64(100..=self.mean_delay.as_micros() as u64 * 2));
        self.last_id += 1;
        self.frames_in_flight.insert(self.last_id, (from, to, frame));
        let frame_id = self.last_id;
        self.schedule(delay, SimEvent::Deliver(frame_id));
    }

    fn deliver(&mut self, frame_id: u64) {
        let Some((from, to, frame)) = self.frames_in_flight.remove(&frame_id) else { return };
        let now = self.clock(to.0);
        let process = &mut self.processes[usize::from(to.0)];
        if process.stopped {
            // The frame waits in the socket buffer, if there is room.
            if process.inbox.len() < 256 {
                process.inbox.push((from, frame));
            }
            return;
        }
        if let Some(node) = &mut process.node {
            node.receive(now, from, frame);
            self.process_output(to.0);
        }
    }

    /// Injects one random fault and schedules the next, unless the fault-free period is near.
    fn inject_fault(&mut self, end: Time) {
        if self.now + FAULT_FREE_PERIOD + Duration::from_secs(4) > end {
            self.faults_ended = true;
            return;
        }
        let member = self.rng.u16(0..self.size.members);
        // Voters and owners are chosen more often than other members, since their faults can violate invariants.
        let voter = self.rng.u16(0..self.size.voters);
        let owner = self.highest_tokens.values().map(|(_, m)| m.0).next().unwrap_or(voter);
        let target = [member, voter, owner][self.rng.usize(0..3)];
        let span = Duration::from_millis(self.rng.u64(20..4000));
        match self.rng.u32(0..12) {
            0..=3 => self.kill(target, span, false),
            4..=6 => self.stop(target, span),
            7 | 8 => self.partition(span),
            9 => {
                self.processes[usize::from(voter)].disk_state.borrow_mut().full = true;
                self.schedule(span, SimEvent::Repair(Repair::FreeDisk(voter)));
            }
            10 => {
                // Only one disk is lost at a time: the loss of a majority needs an operator.
                self.kill(voter, span, true);
            }
            _ => {
                for member in 0..self.size.voters {
                    self.kill(member, span, false);
                }
            }
        }
        let next = Duration::from_millis(self.rng.u64(100..3000));
        self.schedule(next, SimEvent::InjectFault);
    }

    fn kill(&mut self, member: u16, span: Duration, wipe: bool) {
        let may_wipe = self.now > Duration::from_secs(6) && self.uninitialized_replicas() == 0;
        let process = &mut self.processes[usize::from(member)];
        if process.node.take().is_none() {
            return;
        }
        self.report.kills += 1;
        process.generation += 1;
        if wipe && may_wipe {
            *process.disk_state.borrow_mut() = DiskState::default();
        }
        self.schedule(span, SimEvent::Repair(Repair::Start(member)));
    }

    /// Voters that are not running or whose replica is uninitialized. While there is one, no other disk is wiped.
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
            self.schedule(span, SimEvent::Repair(Repair::Resume(member)));
        }
    }

    fn partition(&mut self, span: Duration) {
        self.report.partitions += 1;
        self.last_id += 1;
        let share = self.rng.u32(1..60);
        let group = (0..self.size.members).map(|_| self.rng.u32(0..100) < share).collect();
        let (blocks_outbound, blocks_inbound) =
            [(true, true), (true, false), (false, true)][self.rng.usize(0..3)];
        let number = self.last_id;
        self.partitions.push(Partition { number, group, blocks_outbound, blocks_inbound });
        self.schedule(span, SimEvent::Repair(Repair::HealPartition(number)));
    }

    fn repair(&mut self, repair: Repair) {
        match repair {
            Repair::Start(member) => {
                if self.processes[usize::from(member)].node.is_none() {
                    self.start(member);
                }
            }
            Repair::HealPartition(number) => self.partitions.retain(|partition| partition.number != number),
            Repair::FreeDisk(member) => {
                self.processes[usize::from(member)].disk_state.borrow_mut().full = false;
                // A voter whose disk failed does not take part until it is restarted.
                self.kill(member, Duration::from_millis(100), false);
            }
            Repair::Resume(member) => self.resume(member),
        }
    }

    fn resume(&mut self, member: u16) {
        let now = self.clock(member);
        let process = &mut self.processes[usize::from(member)];
        if !std::mem::take(&mut process.stopped) {
            return;
        }
        let Some(node) = &process.node else { return };
        // The first thing that the process does may be an act under a permit that it checks against its clock, so
        // permits are checked before any other event is handled.
        let permitted: Vec<Resource> =
            self.resources.iter().filter(|t| node.permit(t, now).is_some()).cloned().collect();
        for resource in permitted {
            self.check_token(member, &resource);
        }
        for (number, result) in std::mem::take(&mut self.processes[usize::from(member)].completed_writes) {
            self.notify_persisted(member, number, result);
        }
        let inbox = std::mem::take(&mut self.processes[usize::from(member)].inbox);
        for (from, frame) in inbox {
            if let Some(node) = &mut self.processes[usize::from(member)].node {
                node.receive(now, from, frame);
            }
            self.process_output(member);
        }
    }
}
