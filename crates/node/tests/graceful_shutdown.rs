//! Graceful shutdown of a complete gateway under traffic: what becomes of requests that come before and after SIGTERM,
//! with servers that work for a while, or stay silent. Connections and time are simulated.

#[expect(dead_code, reason = "the module also has what `callers` needs")]
mod scripted;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ashvane_node::agent::PutOutcome;
use ashvane_node::program::{ExitReason, GracefulShutdown};
use ashvane_node::settings::Settings;
use scripted::client::connect;
use scripted::server::Behavior;
use scripted::wire::Message;
use scripted::{RecordedRequest, World, ms, run_simulation, settings};
use tokio::io::AsyncWriteExt as _;
use tokio::task::spawn_local;
use tokio::time::{Instant, advance, sleep, sleep_until};

/// Grace period of the settings, and the time after which the last answers are due.
const GRACE: Duration = ms(6000);
const LAST_ANSWERS: Duration = ms(5300);
/// Interval at which the process checks what is due.
const CHECK_INTERVAL: Duration = ms(20);
/// Clients of a run, and the longest pause of each between two requests.
const CLIENT_COUNT: u64 = 12;
const MAX_PAUSE_MS: u64 = 500;
/// Time in which a request that is not taken must be rejected.
const REJECTION_TIME: Duration = ms(20);
/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 0..6;

/// A request and its response, by the time since SIGTERM, which is 0 for those sent before.
#[derive(Clone, Debug)]
struct Outcome {
    attempt: String,
    sent_at: Duration,
    answered_at: Option<Duration>,
    response: Option<u16>,
    missing_parts: Option<String>,
}

/// A gateway that is shut down while clients go on.
struct Run {
    world: Rc<World>,
    terminated_at: Instant,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    next_attempt: Rc<Cell<u64>>,
}

impl Run {
    async fn start(seed: u64, behavior: Behavior, settings: Settings) -> Rc<Run> {
        let world = World::start_with(seed, settings).await;
        world.behavior.set(behavior);
        Rc::new(Run {
            world,
            terminated_at: Instant::now() + ms(3000),
            outcomes: Rc::default(),
            next_attempt: Rc::default(),
        })
    }

    fn since_termination(&self) -> Duration {
        self.terminated_at.elapsed()
    }

    /// Records a request to a route, and returns its attempt and the head of its text, without the empty line.
    fn draft(&self, route: &str, body: &str) -> (String, String) {
        self.next_attempt.set(self.next_attempt.get() + 1);
        let attempt = format!("a{}", self.next_attempt.get());
        let at_most_once = route.ends_with("once");
        let method = if at_most_once { "POST" } else { "GET" };
        let target = format!("/{route}/{attempt}");
        let recorded = RecordedRequest {
            method,
            target: target.clone(),
            body: body.as_bytes().to_vec(),
            at_most_once,
            is_sent_completely: true,
            run_count: 0,
            pending_count: 0,
            actions: Vec::new(),
            promised_not_to_run: false,
        };
        self.world.ledger.borrow_mut().requests.insert(attempt.clone(), recorded);
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nContent-Length: {}\r\n",
            body.len()
        );
        (attempt, head)
    }

    /// Sends a request on a new connection and records what becomes of it.
    async fn request(&self, route: &str) {
        let (attempt, head) = self.draft(route, "body");
        let at = self.outcomes.borrow().len();
        let sent_at = self.since_termination();
        self.outcomes.borrow_mut().push(Outcome {
            attempt: attempt.clone(),
            sent_at,
            answered_at: None,
            response: None,
            missing_parts: None,
        });
        let mut stream = connect(&self.world);
        if stream.write_all(format!("{head}\r\nbody").as_bytes()).await.is_err() {
            return;
        }
        let Ok(response) = stream.read_message().await else { return };
        self.record_response(at, &response);
    }

    fn record_response(&self, at: usize, response: &Message) {
        let outcome = &mut self.outcomes.borrow_mut()[at];
        outcome.answered_at = Some(self.since_termination());
        outcome.response = Some(response.status());
        outcome.missing_parts = response.header("missing-parts").map(str::to_owned);
        if response.status() == 503 {
            let mut ledger = self.world.ledger.borrow_mut();
            ledger.requests.get_mut(&outcome.attempt).expect("it is recorded").promised_not_to_run = true;
        }
    }

    /// Sends one request after another until the process accepts no more.
    async fn client(self: Rc<Self>, seed: u64, route: &'static str) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let last_at = self.terminated_at + LAST_ANSWERS;
        while Instant::now() < last_at {
            self.request(route).await;
            sleep(ms(rng.u64(..=MAX_PAUSE_MS))).await;
        }
    }

    /// Shuts the process down at the time of SIGTERM. Returns why it exits, and after which time.
    async fn shut_down(&self) -> (ExitReason, Duration) {
        sleep_until(self.terminated_at).await;
        let mut shutdown = GracefulShutdown::default();
        shutdown.begin();
        loop {
            if let Some(reason) = shutdown.advance(&self.world.agent, &self.world.clients) {
                return (reason, self.since_termination());
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the requests that a server has executed and whose clients had no answer at the exit.
    fn cuts(&self) -> Vec<Outcome> {
        let ledger = self.world.ledger.borrow();
        let has_run = |outcome: &&Outcome| ledger.requests[&outcome.attempt].run_count > 0;
        let outcomes = self.outcomes.borrow();
        outcomes.iter().filter(|outcome| outcome.response.is_none()).filter(has_run).cloned().collect()
    }

    /// Returns the number of requests with this response among those that were sent after SIGTERM.
    fn count(&self, response: u16) -> usize {
        let is_counted = |outcome: &&Outcome| outcome.response == Some(response) && outcome.sent_at > ms(0);
        self.outcomes.borrow().iter().filter(is_counted).count()
    }

    fn assert_no_violation(&self) {
        let ledger = self.world.ledger.borrow();
        assert!(ledger.violations.is_empty(), "{:?}", ledger.violations);
        for (attempt, request) in &ledger.requests {
            assert!(
                !request.promised_not_to_run || request.run_count == 0,
                "{attempt} ran against a promise"
            );
        }
    }
}

/// Guards against requests that are taken late after SIGTERM, passed on to a server and cut by the exit (review/4),
/// and against the rejection of those that can be answered.
#[test]
fn what_a_gateway_takes_after_sigterm_is_answered_and_what_can_finish_is_taken() {
    const LONGEST_WORK: Duration = ms(600);
    for seed in SEEDS {
        run_simulation(async {
            let run = Run::start(seed, Behavior::Working(60, 600), settings()).await;
            for client in 0..CLIENT_COUNT {
                spawn_local(run.clone().client(seed << 8 | client, "long-once"));
            }
            let (reason, exited_after) = run.shut_down().await;
            assert_eq!(run.cuts().len(), 0, "seed {seed}, {reason} after {exited_after:?}: {:?}", run.cuts());
            assert!(exited_after < GRACE, "seed {seed}: {exited_after:?}");
            for outcome in run.outcomes.borrow().iter().filter(|outcome| outcome.sent_at > ms(0)) {
                let is_rejected = outcome.response == Some(503);
                let has_time = outcome.sent_at + LONGEST_WORK * 2 < LAST_ANSWERS;
                assert!(!is_rejected || !has_time, "seed {seed}: rejected with time left: {outcome:?}");
                assert!(
                    !is_rejected
                        || outcome.answered_at.is_some_and(|at| at < outcome.sent_at + REJECTION_TIME),
                    "seed {seed}: rejected late: {outcome:?}"
                );
            }
            assert_eq!(run.count(502), 0, "seed {seed}: begun without enough time");
            assert!(run.count(503) < run.count(200) / 4, "{} 503, {} 200", run.count(503), run.count(200));
            run.assert_no_violation();
        });
    }
}

/// Guards against connections that end without an answer because a server stays silent until the exit. What may have
/// run gets no promise, and a gathered request gets the parts that are there.
#[test]
fn requests_of_silent_servers_are_answered_before_the_exit_without_a_false_promise() {
    run_simulation(async {
        let run = Run::start(1, Behavior::SilentAt(&["s", "c"]), settings()).await;
        for (delay, route) in [
            (2000, "long-once"),
            (2500, "long-one"),
            (2900, "long-all"),
            (3500, "long-once"),
            (4000, "long-all"),
        ] {
            let run = run.clone();
            spawn_local(async move {
                sleep(ms(delay)).await;
                run.request(route).await;
            });
        }
        let (reason, exited_after) = run.shut_down().await;
        assert_eq!(run.cuts().len(), 0, "{reason} after {exited_after:?}: {:?}", run.cuts());
        assert!(exited_after < GRACE, "{exited_after:?}");
        let outcomes = run.outcomes.borrow().clone();
        assert_eq!(outcomes.len(), 5);
        let ledger = run.world.ledger.borrow();
        for outcome in &outcomes {
            let RecordedRequest { target, run_count, .. } = &ledger.requests[&outcome.attempt];
            let expected = match (target.starts_with("/long-all/"), run_count) {
                (true, _) => 200,
                (false, 0) => 503,
                (false, _) => 502,
            };
            assert_eq!(outcome.response, Some(expected), "{target}: {outcome:?}");
            if expected == 200 {
                assert_eq!(outcome.missing_parts.as_deref(), Some("1"), "{target}");
            }
        }
        let held = outcomes.iter().filter(|outcome| outcome.answered_at >= Some(LAST_ANSWERS - ms(100)));
        assert!(held.count() >= 2, "silence alone ends no answer sooner: {outcomes:?}");
        drop(ledger);
        run.assert_no_violation();
    });
}

/// Guards against a shutdown whose steps are later than the end of a short grace period.
#[test]
fn a_short_grace_period_is_kept() {
    run_simulation(async {
        let short = Settings { grace: ms(1000), ..settings() };
        let run = Run::start(2, Behavior::Working(60, 600), short).await;
        for client in 0..CLIENT_COUNT {
            let run = run.clone();
            spawn_local(async move {
                let mut rng = fastrand::Rng::with_seed(client);
                while run.since_termination() < ms(750) {
                    run.request("long-once").await;
                    sleep(ms(rng.u64(..=MAX_PAUSE_MS))).await;
                }
            });
        }
        let (reason, exited_after) = run.shut_down().await;
        assert!(exited_after < ms(1000), "{reason} after {exited_after:?}");
        assert_eq!(run.cuts().len(), 0, "{reason}: {:?}", run.cuts());
        run.assert_no_violation();
    });
}

/// Guards against an exit that cuts all requests because the process was suspended until the grace period had nearly
/// ended.
#[test]
fn after_a_freeze_that_swallows_the_grace_period_pending_requests_are_answered_first() {
    run_simulation(async {
        let run = Run::start(3, Behavior::SilentAt(&["s"]), settings()).await;
        for _ in 0..20 {
            let run = run.clone();
            spawn_local(async move {
                sleep(ms(2500)).await;
                run.request("long-once").await;
            });
        }
        sleep_until(run.terminated_at).await;
        let mut shutdown = GracefulShutdown::default();
        shutdown.begin();
        assert_eq!(shutdown.advance(&run.world.agent, &run.world.clients), None);
        advance(ms(5900)).await;
        let mut reason = None;
        while reason.is_none() {
            reason = shutdown.advance(&run.world.agent, &run.world.clients);
            if reason.is_none() {
                sleep(CHECK_INTERVAL).await;
            }
        }
        assert_eq!(run.cuts().len(), 0, "{reason:?}: {:?}", run.cuts());
        assert_eq!(run.outcomes.borrow().iter().filter(|o| o.response == Some(502)).count(), 20);
    });
}

/// Guards against a request whose body is incomplete when the process exits and that gets no answer, or a promise that
/// does not hold.
#[test]
fn a_request_whose_body_is_incomplete_is_rejected_before_the_exit() {
    run_simulation(async {
        let run = Run::start(4, Behavior::Normal, settings()).await;
        let (attempt, head) = run.draft("long-once", "complete");
        let mut stream = connect(&run.world);
        stream.write_all(format!("{head}\r\ncomp").as_bytes()).await.expect("the gateway reads");
        let shutting_down = run.clone();
        let exit = spawn_local(async move { shutting_down.shut_down().await });
        let response = stream.read_message().await.expect("the response is complete");
        assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
        assert!(response.header("retry-after").is_some_and(|time| time.parse::<f64>().is_ok()));
        drop(stream);
        let (reason, exited_after) = exit.await.expect("the shutdown does not panic");
        assert!(exited_after < GRACE, "{reason} after {exited_after:?}");
        assert_eq!(run.world.ledger.borrow().requests[&attempt].run_count, 0);
    });
}

/// A second SIGTERM neither restarts nor shortens the shutdown, and a configuration without a route takes no answer
/// from the requests that it has.
#[test]
fn a_second_sigterm_and_a_removed_route_change_nothing_for_pending_requests() {
    run_simulation(async {
        let run = Run::start(5, Behavior::Working(4000, 4000), settings()).await;
        let client = run.clone();
        spawn_local(async move {
            sleep(ms(2900)).await;
            client.request("long-once").await;
        });
        let operator = run.clone();
        spawn_local(async move {
            sleep(ms(4000)).await;
            let text = br#"{"version":2,"routes":[],"services":[{"name":"s","max-conns":512}]}"#;
            let put = operator.world.agent.put(text).await;
            assert!(matches!(put, PutOutcome::Accepted { version: 2 }));
        });
        sleep_until(run.terminated_at).await;
        let mut shutdown = GracefulShutdown::default();
        let mut reason = None;
        while reason.is_none() {
            shutdown.begin();
            reason = shutdown.advance(&run.world.agent, &run.world.clients);
            sleep(CHECK_INTERVAL).await;
        }
        assert_eq!(reason, Some(ExitReason::Idle));
        assert_eq!(run.outcomes.borrow()[0].response, Some(200));
        let exited_after = run.since_termination();
        assert!(exited_after > ms(3500) && exited_after < ms(4500), "after its answer: {exited_after:?}");
    });
}
