//! Records the results acknowledged to callers, and detects later results that contradict them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ashvane_quorum::{ChosenProposal, SubmissionStatus};

/// A version and its content.
pub(crate) type Submission = (u64, Arc<str>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Acknowledgements {
    /// Content of each version that was acknowledged as chosen, or returned by a read.
    chosen: BTreeMap<u64, Arc<str>>,
    /// Submissions acknowledged as superseded by a higher version.
    superseded: BTreeSet<Submission>,
    rejected: BTreeSet<Submission>,
    /// The newest version that was acknowledged or read.
    pub newest_version: u64,
    /// Whether a read returned an older version than was acknowledged when it started.
    pub has_stale_read: bool,
    /// Whether two contents of the same version were acknowledged, at least one of them as chosen.
    pub has_conflicting_contents: bool,
    /// Whether a submission was both acknowledged or read, and rejected.
    pub has_contradiction: bool,
}

impl Acknowledgements {
    fn record_chosen(&mut self, submission: Submission) {
        let (version, content) = &submission;
        let same_version = (*version, Arc::from(""))..(version + 1, Arc::from(""));
        self.has_conflicting_contents |= self.chosen.get(version).is_some_and(|recorded| recorded != content);
        self.has_conflicting_contents |=
            self.superseded.range(same_version).any(|other| *other != submission);
        self.has_contradiction |= self.rejected.contains(&submission);
        self.newest_version = self.newest_version.max(submission.0);
        self.chosen.insert(submission.0, submission.1);
    }

    /// Records a chosen proposal that was returned to a caller.
    pub(crate) fn record_proposal(&mut self, chosen: &ChosenProposal) {
        if let Some(config) = chosen.config() {
            self.record_chosen((config.version, config.compressed_text.clone()));
        }
    }

    /// Records the result of a read that started when `minimum_version` was the newest acknowledged version.
    pub(crate) fn record_read(&mut self, minimum_version: u64, chosen: &ChosenProposal) {
        self.has_stale_read |= chosen.config().map_or(0, |config| config.version) < minimum_version;
        self.record_proposal(chosen);
    }

    /// Records the result of a write.
    pub(crate) fn record_write(
        &mut self, submission: Submission, status: SubmissionStatus, chosen: &ChosenProposal,
    ) {
        self.record_proposal(chosen);
        match status {
            SubmissionStatus::Chosen => self.record_chosen(submission),
            SubmissionStatus::Superseded => {
                self.has_conflicting_contents |=
                    self.chosen.get(&submission.0).is_some_and(|recorded| *recorded != submission.1);
                self.has_contradiction |= self.rejected.contains(&submission);
                self.superseded.insert(submission);
            }
            SubmissionStatus::Conflict => {
                let was_chosen =
                    self.chosen.get(&submission.0).is_some_and(|recorded| *recorded == submission.1);
                self.has_contradiction |= was_chosen || self.superseded.contains(&submission);
                self.rejected.insert(submission);
            }
            SubmissionStatus::New | SubmissionStatus::Forgotten => {
                unreachable!("the history covers all versions of a test, and a completed write is not new")
            }
        }
    }

    /// Whether no contradicting results have been recorded.
    pub(crate) fn is_consistent(&self) -> bool {
        !(self.has_stale_read || self.has_conflicting_contents || self.has_contradiction)
    }
}
