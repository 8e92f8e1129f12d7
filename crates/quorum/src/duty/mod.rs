//! The duty over the membership: that the disks which vote are disks that live. One process does it at a time, under
//! the epoch that its change ends; two that both take it for theirs are kept apart by the ballots.
//!
//! What the holder goes by is what each process has said of its own disk ([`DiskReport`]), over a connection that is
//! alive now. Nothing here reads a clock or a socket.

mod ending;
mod limits;
mod report;
mod view;
mod watch;

pub use ending::may_end;
pub use limits::Limits;
pub use report::{DiskReport, Held, LiveDisk};
pub use view::{FRESH, View};
pub use watch::{MEMBERS_MOST, Watch};
