//! The clients' side, a module for each protocol that clients speak.

pub mod beanstalkd;
mod guard;
pub mod http;
mod pass;
pub mod seats;
pub mod socket;
