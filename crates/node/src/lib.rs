//! The whole search front as one program, `ashvane-node`.
//!
//! | module | its one job | I/O |
//! | --- | --- | --- |
//! | [`program`] | starts a role and ends it | yes |
//! | [`agent`] | the core: owns the engine and carries out its commands | yes |
//! | [`engine`] | what a process knows of the system and decides for it | none |
//! | [`links`] | connections between the system's own processes | yes |
//! | [`disk`] | the disk of a control node | yes |
//! | [`control_api`] | the HTTP calls of servers and operators | yes |
//! | [`operator_client`] | the operators' client | yes |
//! | [`settings`], [`config`], [`document`] | the settings file, the operator's configuration, how both are read | none |
//! | [`compression`] | of configurations and long messages | none |
//! | [`front`], [`data_plane`], [`pool`], [`merge`], [`call_error`] | the path of a client's request | yes |

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    reason = "not done yet: The path of a request reads as well as it works"
)]

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
