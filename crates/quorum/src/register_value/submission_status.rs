//! How a submitted configuration relates to what was chosen.

/// How a submitted configuration relates to what was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SubmissionStatus {
    /// Its version is above all that were chosen.
    New,
    /// It was chosen: this version with this content.
    Chosen,
    /// Its version was chosen with other content.
    Conflict,
    /// Its version was never chosen, and a higher one is.
    Superseded,
    /// Its version is so old that the content it was chosen with, if it was, is forgotten.
    Forgotten,
}
