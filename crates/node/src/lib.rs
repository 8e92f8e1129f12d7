//! The whole search front as one program. [`program`] starts a role; [`agent`] is what each process knows and
//! does with others; [`plane`] carries queries by the decisions of the `ashvane` module.

pub mod agent;
pub mod client;
pub mod config;
pub mod confirmation;
pub mod control;
pub mod data_plane;
pub mod disk;
pub mod front;
pub mod links;
pub mod merge;
pub mod packed;
pub mod pool;
pub mod program;
pub mod reader;
pub mod register;
pub mod settings;
pub mod verdict;
