//! The search front as one program, `ashvane-node`.
//!
//! | module | purpose | I/O |
//! | --- | --- | --- |
//! | [`program`] | starts a role and shuts it down | yes |
//! | [`agent`] | core of a process: owns the engine and executes its commands | yes |
//! | [`engine`] | state and decisions of a process | none |
//! | [`links`] | connections between processes of the system | yes |
//! | [`disk`] | storage of a control node | yes |
//! | [`control_api`] | HTTP interface for servers and operators | yes |
//! | [`operator_client`] | command-line client for operators | yes |
//! | [`settings`], [`config`], [`document`] | settings file, operator's configuration, and their parsing | none |
//! | [`compression`] | compression of configurations and long messages | none |
//! | [`front`], [`data_plane`], [`pool`], [`merge`], [`call_error`] | path of a client's request | yes |

pub mod agent;
pub mod call_error;
pub mod compression;
pub mod config;
pub mod control_api;
pub mod data_plane;
pub mod disk;
pub mod document;
pub mod engine;
pub mod front;
pub mod links;
pub mod merge;
pub mod operator_client;
pub mod pool;
pub mod program;
pub mod settings;
