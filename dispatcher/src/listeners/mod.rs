//! The clients' side, a module for each protocol that clients speak.

pub mod beanstalkd;
pub mod http;
