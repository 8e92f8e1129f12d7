//! The record that keepers replicate: who owns each duty, in which epoch, and the small tables that owners write.
//! Every keeper applies the same commands in the same order; what depends on time is judged before a command is
//! made, and its grounds are compared again when it is applied.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::terms::Terms;

/// Duties and tables at the most, the longest name of either or of an owner, and the longest table, in bytes.
pub const DUTIES_MOST: usize = 16;
pub const NAME_MOST: usize = 64;
pub const TABLE_MOST: usize = 64 * 1024;

/// Who owns a duty. The epoch only grows; the beat counts the renewals within it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub owner: Option<String>,
    pub epoch: u64,
    pub beat: u64,
}

/// What an owner wrote: by which epoch, and how often it was written in all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    pub epoch: u64,
    pub version: u64,
    pub text: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// To become the owner after the lease that was judged to be over: this epoch, this beat.
    Take {
        duty: String,
        who: String,
        epoch: u64,
        beat: u64,
    },
    Renew {
        duty: String,
        who: String,
        epoch: u64,
    },
    /// To hand over.
    Give {
        duty: String,
        who: String,
        epoch: u64,
    },
    /// To write the duty's table.
    Write {
        duty: String,
        epoch: u64,
        text: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The lease is granted or renewed, in this epoch.
    Granted {
        epoch: u64,
    },
    Given,
    Written {
        version: u64,
    },
    /// It comes from an epoch that is over, or was judged on what has changed since: the epoch that holds.
    Fenced {
        epoch: u64,
    },
    /// It can never be applied.
    Refused {
        why: String,
    },
}

impl Command {
    pub fn duty(&self) -> &str {
        match self {
            Command::Take { duty, .. } | Command::Renew { duty, .. } => duty,
            Command::Give { duty, .. } | Command::Write { duty, .. } => duty,
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub duties: BTreeMap<String, Lease>,
    pub tables: BTreeMap<String, Table>,
}

impl Record {
    /// Why a command can never be applied.
    fn refuses(&self, command: &Command) -> Option<&'static str> {
        let duty = command.duty();
        let long = |name: &str| name.is_empty() || name.len() > NAME_MOST;
        match command {
            _ if long(duty) => Some("a duty's name is empty or too long"),
            _ if !self.duties.contains_key(duty) && self.duties.len() >= DUTIES_MOST => {
                Some("too many duties")
            }
            Command::Take { who, .. } if long(who) => Some("an owner's name is empty or too long"),
            Command::Write { text, .. } if text.len() > TABLE_MOST => Some("a table is too long"),
            _ => None,
        }
    }

    /// Applies a command: the same on every keeper, whatever its clock.
    pub fn apply(&mut self, command: &Command) -> Reply {
        if let Some(why) = self.refuses(command) {
            return Reply::Refused { why: why.to_owned() };
        }
        let before = self.duties.get(command.duty()).cloned().unwrap_or_default();
        let fenced = Reply::Fenced { epoch: before.epoch };
        let owns = |who: &String, epoch: u64| before.epoch == epoch && before.owner.as_ref() == Some(who);
        match command {
            Command::Take { duty, who, epoch, beat } => {
                if (before.epoch, before.beat) != (*epoch, *beat) {
                    return fenced;
                }
                let epoch = before.epoch + 1;
                let lease = Lease { owner: Some(who.clone()), epoch, beat: 0 };
                self.duties.insert(duty.clone(), lease);
                Reply::Granted { epoch }
            }
            Command::Renew { duty, who, epoch } => {
                if !owns(who, *epoch) {
                    return fenced;
                }
                self.duties.insert(duty.clone(), Lease { beat: before.beat + 1, ..before });
                Reply::Granted { epoch: *epoch }
            }
            Command::Give { duty, who, epoch } => {
                if !owns(who, *epoch) {
                    return fenced;
                }
                // The beat moves on as well: what was judged before is not what holds now.
                self.duties.insert(duty.clone(), Lease { owner: None, epoch: *epoch, beat: before.beat + 1 });
                Reply::Given
            }
            Command::Write { duty, epoch, text } => {
                if before.epoch != *epoch || before.owner.is_none() {
                    return fenced;
                }
                let table = self.tables.entry(duty.clone()).or_default();
                *table = Table { epoch: *epoch, version: table.version + 1, text: text.clone() };
                Reply::Written { version: table.version }
            }
        }
    }

    pub fn lease(&self, duty: &str) -> Lease {
        self.duties.get(duty).cloned().unwrap_or_default()
    }
}

/// When a keeper heard of each lease's last change, by its own clock: it judges by that alone whether the lease is
/// over. A keeper that hears late, or starts again and hears anew, judges later than it might, never sooner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Judge {
    heard: BTreeMap<String, (u64, u64, Duration)>,
}

impl Judge {
    /// The record has changed, or was read from a disk or another keeper.
    pub fn look(&mut self, record: &Record, now: Duration) {
        for (duty, lease) in &record.duties {
            let known = self.heard.get(duty).is_some_and(|h| (h.0, h.1) == (lease.epoch, lease.beat));
            if !known {
                self.heard.insert(duty.clone(), (lease.epoch, lease.beat, now));
            }
        }
    }

    /// Whether a duty may have another owner.
    pub fn over(&self, record: &Record, duty: &str, now: Duration, terms: &Terms) -> bool {
        let lease = record.lease(duty);
        let waited = |h: &(u64, u64, Duration)| {
            (h.0, h.1) == (lease.epoch, lease.beat) && now >= h.2 + terms.keeper_waits()
        };
        lease.owner.is_none() || self.heard.get(duty).is_some_and(waited)
    }

    /// The command by which somebody takes a duty over, if it is free by this keeper's clock.
    pub fn take(
        &self, record: &Record, duty: &str, who: &str, now: Duration, terms: &Terms,
    ) -> Result<Command, Reply> {
        let Lease { epoch, beat, .. } = record.lease(duty);
        match self.over(record, duty, now, terms) {
            true => Ok(Command::Take { duty: duty.to_owned(), who: who.to_owned(), epoch, beat }),
            false => Err(Reply::Fenced { epoch }),
        }
    }
}
