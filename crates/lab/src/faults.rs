//! Fault schedule of shard servers: how each server behaves at each time of a repeating cycle.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a shard server handles parts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Answers within a few milliseconds.
    Well,
    /// Answers with this additional delay.
    Slow(#[serde(with = "in_ms")] Duration),
    /// Accepts parts and answers none.
    Silent,
    /// Answers each part with an error.
    Failing,
    /// Rejects each part as if the server were full.
    Full,
    /// Closes the connection when a frame has arrived.
    Cut,
    /// Answers all parts of a frame but the last.
    HoldsLast,
    /// Sends half an answer and then nothing for the rest of the call.
    Half,
    /// Answers with a wrong value.
    Spoilt,
    /// Runs each part twice: a deliberate fault of the stand-in, to test that the checks find it.
    Twice,
}

/// Serializes a duration as whole milliseconds.
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

/// A period of each cycle in which some servers behave in a given way.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    pub servers: std::ops::Range<usize>,
    /// Start within the cycle.
    pub from: Duration,
    /// End within the cycle, exclusive.
    pub to: Duration,
    pub behaviour: Behaviour,
}

/// The faults of a cycle. If several apply to a server at the same time, the last one wins.
#[derive(Clone, Debug)]
pub struct FaultSchedule {
    pub cycle: Duration,
    pub faults: Vec<FaultPeriod>,
}

impl FaultSchedule {
    /// Returns the behaviour of a server at a time since the start.
    pub fn behaviour_at(&self, server: usize, at: Duration) -> Behaviour {
        let phase = Duration::from_nanos((at.as_nanos() % self.cycle.as_nanos()) as u64);
        let is_active = |t: &&FaultPeriod| t.servers.contains(&server) && (t.from..t.to).contains(&phase);
        self.faults.iter().rev().find(is_active).map_or(Behaviour::Well, |t| t.behaviour)
    }

    /// Returns a cycle of one minute with faults in three quarters of it, some at the same time, on six
    /// servers.
    pub fn one_minute() -> FaultSchedule {
        let s = Duration::from_secs;
        let fault =
            |servers, from, to, behaviour| FaultPeriod { servers, from: s(from), to: s(to), behaviour };
        FaultSchedule {
            cycle: s(60),
            faults: vec![
                fault(0..1, 2, 8, Behaviour::Slow(Duration::from_millis(150))),
                fault(1..2, 10, 14, Behaviour::Silent),
                fault(2..4, 16, 20, Behaviour::Failing),
                fault(4..5, 18, 24, Behaviour::Full),
                fault(5..6, 26, 30, Behaviour::Cut),
                fault(0..2, 32, 36, Behaviour::HoldsLast),
                fault(3..4, 34, 38, Behaviour::Half),
                fault(0..6, 40, 42, Behaviour::Slow(Duration::from_millis(400))),
                fault(2..3, 44, 48, Behaviour::Silent),
                fault(3..4, 44, 48, Behaviour::Silent),
            ],
        }
    }

    /// Scales the schedule to a cycle of another length.
    pub fn scaled_to(mut self, cycle: Duration) -> FaultSchedule {
        let scaled = |at: Duration| at.mul_f64(cycle.as_secs_f64() / self.cycle.as_secs_f64());
        for t in &mut self.faults {
            (t.from, t.to) = (scaled(t.from), scaled(t.to));
        }
        self.cycle = cycle;
        self
    }

    /// Returns a schedule without faults.
    pub fn without_faults() -> FaultSchedule {
        FaultSchedule { cycle: Duration::from_secs(60), faults: Vec::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cycle_repeats_and_the_last_of_several_faults_wins() {
        let script = FaultSchedule::one_minute();
        for cycle in [0, 60, 6000] {
            let at = |s: u64| Duration::from_secs(cycle + s);
            assert_eq!(script.behaviour_at(1, at(11)), Behaviour::Silent);
            assert_eq!(script.behaviour_at(0, at(11)), Behaviour::Well);
            assert_eq!(script.behaviour_at(3, at(41)), Behaviour::Slow(Duration::from_millis(400)));
            assert_eq!(script.behaviour_at(1, at(59)), Behaviour::Well);
        }
        let short = script.scaled_to(Duration::from_secs(6));
        assert_eq!(short.behaviour_at(1, Duration::from_millis(61_100)), Behaviour::Silent);
    }
}
