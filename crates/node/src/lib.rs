//! The whole search front as one program. [`program`] starts a role; [`hive`] is what each process knows and
//! does with others; [`plane`] carries queries by the decisions of the `ashvane` module.

pub mod client;
pub mod config;
pub mod control;
pub mod disk;
pub mod front;
pub mod hive;
pub mod links;
pub mod merge;
pub mod packed;
pub mod plane;
pub mod pool;
pub mod program;
pub mod reader;
pub mod register;
pub mod settings;
pub mod verdict;
