//! The workers' side, a module for each protocol that workers speak.

pub mod http;
