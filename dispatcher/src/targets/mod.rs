//! Worker side of the dispatcher, with one module for each protocol that workers speak.

pub mod beanstalkd;
pub mod client;
mod connections;
mod gate;
mod health_check;
pub mod http;
pub mod load;
pub mod shared_tubes;
pub mod upstream;
