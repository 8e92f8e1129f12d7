//! What the register holds: the newest configuration, and which text each recent version was decided with.

mod decided;
mod register_value;
mod standing;
mod stored_config;
mod text_digest;

pub use decided::{DECISIONS_REMEMBERED, Decided};
pub use register_value::Value;
pub use standing::Standing;
pub use stored_config::StoredConfig;
pub use text_digest::TextDigest;
