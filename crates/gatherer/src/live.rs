//! What the allocator has given out, counted by a library around the system's own allocator.

use std::alloc::System;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes that are allocated and not freed.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}
