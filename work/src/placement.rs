//! Placement of record replicas by rendezvous hashing: every member computes the same replica holders without
//! communication, and the loss of a member moves only the replicas that it held.

use crate::record::JobId;
use lineroute_fleet::Member;

/// A member that can hold replicas.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Candidate {
    /// The member.
    pub member: Member,
    /// Number of its zone.
    pub zone: u16,
}

/// Chooses `copies` replica holders for a record, best first. Zones other than the owner's come first, and every zone
/// is used once before any is used twice. Returns fewer if there are not enough members, and never the owner.
pub fn choose_holders(id: JobId, owner: Candidate, all: &[Candidate], copies: usize) -> Vec<Member> {
    let mut ranked: Vec<(u64, Candidate)> =
        all.iter().filter(|p| p.member != owner.member).map(|p| (weight(id, p.member), *p)).collect();
    ranked.sort_by_key(|(weight, candidate)| (std::cmp::Reverse(*weight), candidate.member));
    let mut chosen: Vec<Candidate> = Vec::new();
    while chosen.len() < copies && !ranked.is_empty() {
        // Number of copies in the zone so far, including the owner's.
        let copies_in_zone =
            |zone: u16| usize::from(zone == owner.zone) + chosen.iter().filter(|c| c.zone == zone).count();
        let next = (0..ranked.len()).min_by_key(|i| (copies_in_zone(ranked[*i].1.zone), *i)).unwrap_or(0);
        chosen.push(ranked.remove(next).1);
    }
    chosen.into_iter().map(|candidate| candidate.member).collect()
}

fn weight(id: JobId, member: Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&id.0);
    hasher.update(&member.0.to_be_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidates(count: u16, zones: u16) -> Vec<Candidate> {
        (0..count).map(|m| Candidate { member: Member(m), zone: m % zones }).collect()
    }

    #[test]
    fn other_zones_come_first_and_the_owner_is_never_chosen() {
        for n in 0..200u8 {
            let all = candidates(9, 3);
            let chosen = choose_holders(JobId([n; 16]), all[4], &all, 3);
            let zones: Vec<u16> = chosen.iter().map(|m| m.0 % 3).collect();
            assert!(!chosen.contains(&Member(4)));
            assert!(!zones[..2].contains(&1) && zones[0] != zones[1], "{zones:?}");
        }
        assert_eq!(choose_holders(JobId([1; 16]), candidates(2, 1)[0], &candidates(2, 1), 2), [Member(1)]);
    }

    /// Guards against a hash that moves other members' replicas when one member leaves, or that distributes unevenly.
    #[test]
    fn a_lost_member_moves_only_its_own_replicas_and_the_load_is_even() {
        let all = candidates(10, 1);
        let without: Vec<Candidate> = all.iter().copied().filter(|p| p.member != Member(7)).collect();
        let mut replicas = [0; 10];
        for n in 0..4000u32 {
            let mut id = [0; 16];
            id[..4].copy_from_slice(&n.to_be_bytes());
            let (before, after) =
                (choose_holders(JobId(id), all[0], &all, 2), choose_holders(JobId(id), all[0], &without, 2));
            before.iter().for_each(|m| replicas[usize::from(m.0)] += 1);
            match before.contains(&Member(7)) {
                true => assert!(before.iter().filter(|m| **m != Member(7)).all(|m| after.contains(m))),
                false => assert_eq!(before, after),
            }
        }
        // 8,000 replicas over nine members.
        assert!(replicas[1..].iter().all(|k| (700..1100).contains(k)), "{replicas:?}");
    }
}
