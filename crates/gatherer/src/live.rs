//! The global allocator: the system's allocator, wrapped to count allocated bytes.

use std::alloc::System;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the number of bytes that are allocated and not freed.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}
