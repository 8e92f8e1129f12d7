//! How an order stands to what is held.

/// How an order stands to what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Its version is above all that were decided.
    New,
    /// It was decided: under this version with this text.
    Held,
    /// Its version was decided with another text.
    Conflict,
    /// Its version was never decided, and a higher one holds.
    Superseded,
    /// Its version is so old that what was decided under it is forgotten.
    Forgotten,
}
