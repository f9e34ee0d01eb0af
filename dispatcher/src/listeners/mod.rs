//! Client-facing listeners, one module per protocol, and what they share.

pub mod beanstalkd;
pub mod connection_slots;
mod guard;
pub mod http;
mod pass;
mod request_body;
mod response_body;
pub mod socket;
