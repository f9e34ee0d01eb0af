//! Stand-ins for the program's environment: clients, workers, discovery and beanstalkd.

pub mod beanstalkd;
pub mod client;
pub mod discovery;
pub mod worker;
