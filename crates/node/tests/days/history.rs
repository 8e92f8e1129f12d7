//! What callers were told and what processes went by, and what may never be told or gone by after that.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_node::config::Config;

/// One text of an operator's configuration: two orders under one version differ in their salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Submission {
    pub version: u64,
    pub salt: u64,
}

impl Submission {
    /// The order that a configuration in force stems from.
    pub(super) fn of(config: &Config) -> Option<Submission> {
        let salt = config.routes().next()?.name.strip_prefix('r')?.parse().ok()?;
        Some(Submission { version: config.version, salt })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// And this version holds.
    Acknowledged {
        held: u64,
    },
    Rejected,
    Unknown,
}

/// All that was said of orders, to whomever, and all that was in force, wherever.
#[derive(Default)]
pub(super) struct History {
    sent: BTreeSet<Submission>,
    acknowledged: BTreeSet<Submission>,
    rejected: BTreeSet<Submission>,
    /// The text of each version that was acknowledged as the one that holds, read or in force.
    salts: BTreeMap<u64, u64>,
    /// The newest version that was acknowledged, read or in force.
    newest: u64,
    violations: Vec<String>,
}

impl History {
    /// Nothing that must not be has been seen so far.
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

    /// What a read that begins now must at least find.
    pub(super) fn min_version(&self) -> u64 {
        self.newest
    }

    /// Some caller or process takes this for what stands under its number.
    fn check_and_record(&mut self, submission: Submission, source: &str) {
        let salt = *self.salts.entry(submission.version).or_insert(submission.salt);
        if salt != submission.salt {
            self.report_violation(format!(
                "{source}: {submission:?}, another was told {salt} under this number"
            ));
        }
        // Acknowledged below a higher version: either this is its version's text, or its version has none.
        let same_version = Submission { version: submission.version, salt: 0 }..Submission {
            version: submission.version + 1,
            salt: 0,
        };
        if let Some(other) = self.acknowledged.range(same_version).find(|other| **other != submission) {
            self.report_violation(format!("{source}: {submission:?}, though {other:?} was acknowledged"));
        }
        if self.rejected.contains(&submission) {
            self.report_violation(format!("{source}: {submission:?}, which was refused"));
        }
        if !self.sent.contains(&submission) {
            self.report_violation(format!("{source}: {submission:?}, which nobody sent"));
        }
        self.newest = self.newest.max(submission.version);
    }

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
                        self.report_violation(format!("{by}: {submission:?}, which was refused"));
                    }
                    None => {}
                }
            }
            Outcome::Rejected => {
                let is_held = self.salts.get(&submission.version) == Some(&submission.salt);
                if is_held || self.acknowledged.contains(&submission) {
                    self.report_violation(format!(
                        "{by} refuses {submission:?}, which was acknowledged, read or in force"
                    ));
                }
                self.rejected.insert(submission);
            }
        }
    }

    /// A read that began at this floor has found this; zero stands for nothing.
    pub(super) fn record_read(&mut self, min_version: u64, found: Option<Submission>, by: &str) {
        let version = found.map_or(0, |submission| submission.version);
        if version < min_version {
            self.report_violation(format!("{by} answers {version} to a read that began after {min_version}"));
        }
        if let Some(submission) = found {
            self.check_and_record(submission, &format!("read at {by}"));
        }
    }

    pub(super) fn record_in_force(&mut self, submission: Submission, at: &str) {
        self.check_and_record(submission, &format!("in force at {at}"));
    }
}
