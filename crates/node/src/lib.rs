//! The whole search front as one program. [`program`] starts a role; [`agent`] is what each process knows and
//! does with others; [`plane`] carries queries by the decisions of the `ashvane` module.

#![allow(
    clippy::wildcard_imports,
    reason = "not done yet: The control and state code reads as well as it works"
)]
#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not done yet: The control and state code reads as well as it works; The path of a request reads as well as it works"
)]

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
