//! Threads that carry out the plan, one request each at a time.
//!
//! Invariant: the thread that keeps the plan's times never waits for an answer.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::{
    CallerAnswer, CallerAttempt, HistoryEvent, Outcome, RequestId, RequestState,
};

use super::client::{Attempt, Client};
use super::plan::Intended;
use super::rules::{next_step, AttemptResult, NextStep, RepeatRules};
use super::summary::{Summary, Tally};
use super::Args;
use crate::history::HistoryWriter;
use crate::lock;

/// Ending of a request whose outcome was looked up.
const LOOKED_UP_RAN: &str = "looked-up-ran";
const LOOKED_UP_NOT_RUN: &str = "looked-up-not-run";
const LOOKED_UP_IN_VAIN: &str = "looked-up-in-vain";
const NO_ANSWER: &str = "no-answer";

struct Shared {
    arguments: Args,
    rules: RepeatRules,
    client: Client,
    history: HistoryWriter,
    tally: Mutex<Tally>,
    started: Instant,
}

/// The threads and their queue.
pub(super) struct Workers {
    shared: Arc<Shared>,
    queue: Sender<Intended>,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    pub(super) fn start(
        arguments: &Args,
        history: HistoryWriter,
        started: Instant,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            rules: RepeatRules::new(arguments),
            client: Client::new(arguments),
            history,
            tally: Mutex::default(),
            started,
            arguments: arguments.clone(),
        });
        let (queue, requests) = crossbeam_channel::unbounded();
        let threads = (0..arguments.threads.max(1)).map(|_| {
            let shared = Arc::clone(&shared);
            let requests: Receiver<Intended> = requests.clone();
            let work = move || requests.iter().for_each(|request| shared.call(&request));
            std::thread::Builder::new()
                .name("caller".into())
                .spawn(work)
        });
        let threads = threads.collect::<io::Result<_>>()?;
        Ok(Self {
            shared,
            queue,
            threads,
        })
    }

    pub(super) fn call(&self, intended: Intended) {
        self.queue.send(intended).ok();
    }

    /// Waits for the requests under way.
    pub(super) fn finish(self) -> Summary {
        let length = self.shared.started.elapsed();
        drop(self.queue);
        for thread in self.threads {
            thread.join().ok();
        }
        std::mem::take(&mut *lock(&self.shared.tally)).summary(length)
    }
}

impl Shared {
    /// Makes one request, with its resends.
    fn call(&self, intended: &Intended) {
        let intended_start = self.started + intended.at;
        lock(&self.tally).started(intended_start.elapsed());
        let class = &self.arguments.classes[intended.class];
        let key = format!("key-{}", intended.key);
        let mut anew = 0;
        let mut attempt = 1;
        let ending = loop {
            let Ok(request_id) = self.request_id(intended.number, anew) else {
                return;
            };
            let sent = anew + attempt;
            let ask = Attempt {
                router: self.router(intended.number, sent),
                class,
                key: &key,
                request_id: &request_id,
                attempt,
            };
            let result = self.attempt(&ask, intended_start);
            match next_step(self.rules, sent, class.repeatable, &result) {
                NextStep::Done => break ending_of(&result),
                NextStep::Resend(pause) => {
                    std::thread::sleep(pause);
                    attempt += 1;
                }
                NextStep::Anew(pause) => {
                    std::thread::sleep(pause);
                    anew += attempt;
                    attempt = 1;
                }
                NextStep::LookUp(pause) => match self.look_up(&ask, sent, pause) {
                    Some(ending) => break ending.to_owned(),
                    None => attempt += 1,
                },
            }
        };
        let latency = intended_start.elapsed();
        lock(&self.tally).request(class, &ending, latency);
    }

    fn attempt(&self, ask: &Attempt<'_>, intended_start: Instant) -> AttemptResult {
        self.record(HistoryEvent::Sent(CallerAttempt {
            service: ask.class.service.clone(),
            class: ask.class.class.clone(),
            key: ask.key.to_owned(),
            request_id: ask.request_id.clone(),
            attempt: ask.attempt,
            repeatable: ask.class.repeatable,
            router: ask.router.to_string(),
        }));
        let delay = crate::milliseconds(self.arguments.delay_ms);
        std::thread::sleep(delay);
        let result = self.client.send(ask);
        std::thread::sleep(delay);
        let latency = intended_start.elapsed();
        self.record(HistoryEvent::Finished(CallerAnswer {
            request_id: ask.request_id.clone(),
            attempt: ask.attempt,
            latency_us: latency.as_micros() as u64,
            outcome: result.outcome,
            answer_for: result.answer_for.clone(),
            whole: result.outcome.map(|_| result.whole),
        }));
        lock(&self.tally).attempt(ask.class, self.started.elapsed(), &result);
        result
    }

    /// Asks for the outcome until it is settled, as often as attempts are left; `None` when the
    /// owner has not seen the request, so that it may be sent again.
    fn look_up(&self, ask: &Attempt<'_>, sent: u32, pause: Duration) -> Option<&'static str> {
        for look in sent..=self.rules.attempts {
            std::thread::sleep(pause);
            match self.client.look_up(ask) {
                Some(RequestState::Ran) => return Some(LOOKED_UP_RAN),
                Some(RequestState::NotRun) => return Some(LOOKED_UP_NOT_RUN),
                Some(RequestState::Unseen) if look < self.rules.attempts => return None,
                _ => {}
            }
        }
        Some(LOOKED_UP_IN_VAIN)
    }

    /// Another id for every time that a request is made anew.
    fn request_id(
        &self,
        number: u64,
        anew: u32,
    ) -> Result<RequestId, grebepin_schema::error::ConversionError> {
        let prefix = &self.arguments.id_prefix;
        match anew {
            0 => format!("{prefix}-{number}").parse(),
            _ => format!("{prefix}-{number}.{anew}").parse(),
        }
    }

    /// Routers in turn; another one for each further attempt.
    fn router(&self, number: u64, sent: u32) -> std::net::SocketAddr {
        let routers = &self.arguments.routers;
        let place = (number + u64::from(sent)) % routers.len() as u64;
        routers[place as usize]
    }

    fn record(&self, event: HistoryEvent) {
        if let Err(error) = self.history.record(Instant::now(), event) {
            grebepin_telemetry::event!(grebepin_telemetry::Event::HistoryNotWritten, error = error);
        }
    }
}

fn ending_of(result: &AttemptResult) -> String {
    match result.outcome {
        Some(Outcome::Answered) if !result.whole => "wrong-answer".to_owned(),
        Some(outcome) => outcome.to_string(),
        None => NO_ANSWER.to_owned(),
    }
}
