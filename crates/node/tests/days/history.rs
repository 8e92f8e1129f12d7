//! History of the outcomes that callers got and of the configurations that processes had in force. Checks
//! each new entry against all earlier ones.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_node::config::Config;

/// A configuration that an operator submits. Two texts of the same version differ in their salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Submission {
    pub version: u64,
    pub salt: u64,
}

impl Submission {
    /// Returns the submission that a configuration stems from.
    pub(super) fn of(config: &Config) -> Option<Submission> {
        let salt = config.routes().next()?.name.strip_prefix('r')?.parse().ok()?;
        Some(Submission { version: config.version, salt })
    }
}

/// Outcome of a submission, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Accepted, or superseded by the newer version that is held.
    Acknowledged {
        held: u64,
    },
    Rejected,
    /// The submission may or may not have taken effect.
    Unknown,
}

/// Outcomes of all submissions, and the configurations that were read or in force anywhere.
#[derive(Default)]
pub(super) struct History {
    sent: BTreeSet<Submission>,
    acknowledged: BTreeSet<Submission>,
    rejected: BTreeSet<Submission>,
    /// Salt of the text of each version that was acknowledged as the held one, read or in force.
    salts: BTreeMap<u64, u64>,
    /// Newest version that was acknowledged, read or in force.
    newest: u64,
    violations: Vec<String>,
}

impl History {
    /// Asserts that there was no violation so far.
    pub(super) fn check(&self) {
        let first = self.violations.iter().take(2).cloned().collect::<Vec<_>>();
        assert!(first.is_empty(), "{}", first.join("; "));
    }

    pub(super) fn report_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    pub(super) fn record_sent(&mut self, submission: Submission) {
        self.sent.insert(submission);
    }

    pub(super) fn acknowledged(&self) -> impl Iterator<Item = Submission> {
        self.acknowledged.iter().copied()
    }

    pub(super) fn rejected(&self) -> impl Iterator<Item = Submission> {
        self.rejected.iter().copied()
    }

    /// Returns the oldest version that a read which begins now may return.
    pub(super) fn min_version(&self) -> u64 {
        self.newest
    }

    /// Records that a caller or process takes this text for the one of its version, and checks that it may.
    fn check_and_record(&mut self, submission: Submission, source: &str) {
        let salt = *self.salts.entry(submission.version).or_insert(submission.salt);
        if salt != submission.salt {
            self.report_violation(format!(
                "{source}: {submission:?}, but another caller or process has salt {salt} for this version"
            ));
        }
        // A submission may be acknowledged while a higher version is held. Then its version must have this
        // text or none.
        let same_version = Submission { version: submission.version, salt: 0 }..Submission {
            version: submission.version + 1,
            salt: 0,
        };
        if let Some(other) = self.acknowledged.range(same_version).find(|other| **other != submission) {
            self.report_violation(format!("{source}: {submission:?}, but {other:?} was acknowledged"));
        }
        if self.rejected.contains(&submission) {
            self.report_violation(format!("{source}: {submission:?}, which was rejected"));
        }
        if !self.sent.contains(&submission) {
            self.report_violation(format!("{source}: {submission:?}, which nobody sent"));
        }
        self.newest = self.newest.max(submission.version);
    }

    /// Records the outcome of a submission, and checks it.
    pub(super) fn record_outcome(&mut self, submission: Submission, outcome: Outcome, by: &str) {
        match outcome {
            Outcome::Unknown => {}
            Outcome::Acknowledged { held } => {
                let by = format!("acknowledged by {by}");
                self.acknowledged.insert(submission);
                self.newest = self.newest.max(held);
                match self.salts.get(&submission.version) {
                    Some(_) => self.check_and_record(submission, &by),
                    None if held == submission.version => self.check_and_record(submission, &by),
                    None if self.rejected.contains(&submission) => {
                        self.report_violation(format!("{by}: {submission:?}, which was rejected"));
                    }
                    None => {}
                }
            }
            Outcome::Rejected => {
                let is_held = self.salts.get(&submission.version) == Some(&submission.salt);
                if is_held || self.acknowledged.contains(&submission) {
                    self.report_violation(format!(
                        "{by} rejects {submission:?}, which was acknowledged, read or in force"
                    ));
                }
                self.rejected.insert(submission);
            }
        }
    }

    /// Records the result of a read that began when `min_version` was the newest version, and checks it. A
    /// read that finds nothing counts as version 0.
    pub(super) fn record_read(&mut self, min_version: u64, found: Option<Submission>, by: &str) {
        let version = found.map_or(0, |submission| submission.version);
        if version < min_version {
            self.report_violation(format!(
                "{by} returns version {version} to a read that began when {min_version} was known"
            ));
        }
        if let Some(submission) = found {
            self.check_and_record(submission, &format!("read at {by}"));
        }
    }

    /// Records that a configuration is in force in a process, and checks it.
    pub(super) fn record_in_force(&mut self, submission: Submission, at: &str) {
        self.check_and_record(submission, &format!("in force at {at}"));
    }
}
