//! The messages on the sockets. Each is decoded once into a small typed value, and encoded once.

pub(crate) mod config;
pub(crate) mod event;
pub(crate) mod frame;
pub(crate) mod list;
pub(crate) mod query;
