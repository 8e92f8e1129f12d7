//! Status of a submitted configuration.

/// How a submitted configuration relates to the chosen versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SubmissionStatus {
    /// The version is higher than every chosen version.
    New,
    /// The version was chosen with the same content.
    Chosen,
    /// The version was chosen with different content.
    Conflict,
    /// The version was never chosen, but a higher one was.
    Superseded,
    /// The version is so old that the history no longer records whether it was chosen, or with which content.
    Forgotten,
}
