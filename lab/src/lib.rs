//! Fault-injection test bed for `lineroute`: several dispatcher processes, workers with a limited number of slots,
//! clients that retry, a discovery service, and a relay on every link. A scenario describes the set-up and the
//! timeline of faults. The checker decides which rules were kept, using only what workers, clients, relays and
//! discovery recorded.
#![forbid(unsafe_code)]

pub mod checker;
pub mod cost;
pub mod fault_plans;
pub mod faults;
pub mod http;
mod lateness;
pub mod member;
pub mod relay;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod sim;
pub mod soak;
pub mod stand_in;
pub mod sweep;
pub mod trace;
