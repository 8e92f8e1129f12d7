//! Troubles by a script in time: which shard server does what at each moment of a cycle that comes again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a shard server does with parts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Answers within some milliseconds.
    Well,
    /// Answers this much later.
    Slow(#[serde(with = "in_ms")] Duration),
    /// Takes parts and answers none.
    Silent,
    /// Answers each with an error.
    Failing,
    /// Turns each away.
    Full,
    /// Breaks the connection once a frame is in.
    Cut,
    /// Answers all parts of a frame but the last.
    HoldsLast,
    /// Sends half an answer and then nothing more.
    Half,
    /// Answers with a value that is not the part's.
    Spoilt,
    /// Runs each part twice: a fault of the stand-in, to see that checkers find it.
    Twice,
}

/// A time in whole milliseconds.
mod in_ms {
    use std::time::Duration;

    use serde::{Deserialize as _, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(time: &Duration, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_u64(time.as_millis() as u64)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

/// One trouble: these servers, in this part of each cycle.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    pub servers: std::ops::Range<usize>,
    pub from: Duration,
    pub to: Duration,
    pub manner: Behaviour,
}

/// The troubles of a cycle. Where several meet at one server, the last one holds.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    pub cycle: Duration,
    pub troubles: Vec<FaultPeriod>,
}

impl FaultSchedule {
    pub fn manner(&self, server: usize, at: Duration) -> Behaviour {
        let phase = Duration::from_nanos((at.as_nanos() % self.cycle.as_nanos()) as u64);
        let holds = |t: &&FaultPeriod| t.servers.contains(&server) && (t.from..t.to).contains(&phase);
        self.troubles.iter().rev().find(holds).map_or(Behaviour::Well, |t| t.manner)
    }

    /// A minute with a fault in three quarters of it, several at once in some, on servers in three zones.
    pub fn minute() -> FaultSchedule {
        let s = Duration::from_secs;
        let trouble = |servers, from, to, manner| FaultPeriod { servers, from: s(from), to: s(to), manner };
        FaultSchedule {
            cycle: s(60),
            troubles: vec![
                trouble(0..1, 2, 8, Behaviour::Slow(Duration::from_millis(150))),
                trouble(1..2, 10, 14, Behaviour::Silent),
                trouble(2..4, 16, 20, Behaviour::Failing),
                trouble(4..5, 18, 24, Behaviour::Full),
                trouble(5..6, 26, 30, Behaviour::Cut),
                trouble(0..2, 32, 36, Behaviour::HoldsLast),
                trouble(3..4, 34, 38, Behaviour::Half),
                trouble(0..6, 40, 42, Behaviour::Slow(Duration::from_millis(400))),
                trouble(2..3, 44, 48, Behaviour::Silent),
                trouble(3..4, 44, 48, Behaviour::Silent),
            ],
        }
    }

    /// The same troubles in a cycle of another length.
    pub fn lasting(mut self, cycle: Duration) -> FaultSchedule {
        let scaled = |at: Duration| at.mul_f64(cycle.as_secs_f64() / self.cycle.as_secs_f64());
        for t in &mut self.troubles {
            (t.from, t.to) = (scaled(t.from), scaled(t.to));
        }
        self.cycle = cycle;
        self
    }

    pub fn calm() -> FaultSchedule {
        FaultSchedule { cycle: Duration::from_secs(60), troubles: Vec::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cycle_comes_again_and_the_last_trouble_holds() {
        let script = FaultSchedule::minute();
        for cycle in [0, 60, 6000] {
            let at = |s: u64| Duration::from_secs(cycle + s);
            assert_eq!(script.manner(1, at(11)), Behaviour::Silent);
            assert_eq!(script.manner(0, at(11)), Behaviour::Well);
            assert_eq!(script.manner(3, at(41)), Behaviour::Slow(Duration::from_millis(400)));
            assert_eq!(script.manner(1, at(59)), Behaviour::Well);
        }
        let short = script.lasting(Duration::from_secs(6));
        assert_eq!(short.manner(1, Duration::from_millis(61_100)), Behaviour::Silent);
    }
}
