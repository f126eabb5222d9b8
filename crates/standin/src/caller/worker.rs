//! Worker threads that execute the planned requests, one at a time each.
//!
//! Invariant: the thread that schedules the plan never waits for an answer.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::{
    CallerAnswer, CallerAttempt, HistoryEvent, Outcome, RequestId, RequestState,
};

use super::client::{Attempt, Client};
use super::plan::PlannedRequest;
use super::rules::{next_step, AttemptResult, NextStep, RepeatRules};
use super::summary::{Summary, Tally};
use super::Args;
use crate::history::HistoryWriter;
use crate::lock;

/// Result keys in the summary of requests whose outcome was looked up.
const LOOKED_UP_RAN: &str = "looked-up-ran";
const LOOKED_UP_NOT_RUN: &str = "looked-up-not-run";
const LOOKED_UP_UNSETTLED: &str = "looked-up-in-vain";
const NO_ANSWER: &str = "no-answer";

struct Shared {
    arguments: Args,
    rules: RepeatRules,
    client: Client,
    history: HistoryWriter,
    tally: Mutex<Tally>,
    started: Instant,
}

/// The worker threads and their queue.
pub(super) struct Workers {
    shared: Arc<Shared>,
    queue: Sender<PlannedRequest>,
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
            let requests: Receiver<PlannedRequest> = requests.clone();
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

    pub(super) fn call(&self, intended: PlannedRequest) {
        self.queue.send(intended).ok();
    }

    /// Waits until all queued requests are finished and returns the summary.
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
    fn call(&self, intended: &PlannedRequest) {
        let intended_start = self.started + intended.at;
        lock(&self.tally).started(intended_start.elapsed());
        let class = &self.arguments.classes[intended.class];
        let key = format!("key-{}", intended.key);
        let mut earlier_attempts = 0;
        let mut attempt = 1;
        let ending = loop {
            let Ok(request_id) = self.request_id(intended.number, earlier_attempts) else {
                return;
            };
            let sent = earlier_attempts + attempt;
            let request = Attempt {
                router: self.router(intended.number, sent),
                class,
                key: &key,
                request_id: &request_id,
                attempt,
            };
            let result = self.attempt(&request, intended_start);
            match next_step(self.rules, sent, class.repeatable, &result) {
                NextStep::Done => break result_key(&result),
                NextStep::Resend(pause) => {
                    std::thread::sleep(pause);
                    attempt += 1;
                }
                NextStep::NewRequest(pause) => {
                    std::thread::sleep(pause);
                    earlier_attempts += attempt;
                    attempt = 1;
                }
                NextStep::LookUp(pause) => match self.look_up(&request, sent, pause) {
                    Some(ending) => break ending.to_owned(),
                    None => attempt += 1,
                },
            }
        };
        let latency = intended_start.elapsed();
        lock(&self.tally).request(class, &ending, latency);
    }

    fn attempt(&self, request: &Attempt<'_>, intended_start: Instant) -> AttemptResult {
        self.record(HistoryEvent::Sent(CallerAttempt {
            service: request.class.service.clone(),
            class: request.class.class.clone(),
            key: request.key.to_owned(),
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            repeatable: request.class.repeatable,
            router: request.router.to_string(),
        }));
        let delay = crate::milliseconds(self.arguments.delay_ms);
        std::thread::sleep(delay);
        let result = self.client.send(request);
        std::thread::sleep(delay);
        let latency = intended_start.elapsed();
        self.record(HistoryEvent::Finished(CallerAnswer {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            latency_us: latency.as_micros() as u64,
            outcome: result.outcome,
            answer_for: result.answer_for.clone(),
            whole: result.outcome.map(|_| result.whole),
        }));
        lock(&self.tally).attempt(request.class, self.started.elapsed(), &result);
        result
    }

    /// Polls the outcome until it is settled, at most once for each remaining attempt. Returns `None`
    /// if the owner has not seen the request, which may then be sent again.
    fn look_up(&self, request: &Attempt<'_>, sent: u32, pause: Duration) -> Option<&'static str> {
        for look in sent..=self.rules.attempts {
            std::thread::sleep(pause);
            match self.client.look_up(request) {
                Some(RequestState::Ran) => return Some(LOOKED_UP_RAN),
                Some(RequestState::NotRun) => return Some(LOOKED_UP_NOT_RUN),
                Some(RequestState::Unseen) if look < self.rules.attempts => return None,
                _ => {}
            }
        }
        Some(LOOKED_UP_UNSETTLED)
    }

    /// Id of a request. `earlier_attempts` is the number of attempts under earlier ids, 0 for the first
    /// id.
    fn request_id(
        &self,
        number: u64,
        earlier_attempts: u32,
    ) -> Result<RequestId, grebepin_schema::error::ConversionError> {
        let prefix = &self.arguments.id_prefix;
        match earlier_attempts {
            0 => format!("{prefix}-{number}").parse(),
            _ => format!("{prefix}-{number}.{earlier_attempts}").parse(),
        }
    }

    /// Selects routers in turn, and another one for each further attempt.
    fn router(&self, number: u64, sent: u32) -> std::net::SocketAddr {
        let routers = &self.arguments.routers;
        let index = (number + u64::from(sent)) % routers.len() as u64;
        routers[index as usize]
    }

    fn record(&self, event: HistoryEvent) {
        if let Err(error) = self.history.record(Instant::now(), event) {
            grebepin_telemetry::event!(grebepin_telemetry::Event::HistoryNotWritten, error = error);
        }
    }
}

fn result_key(result: &AttemptResult) -> String {
    match result.outcome {
        Some(Outcome::Answered) if !result.whole => "wrong-answer".to_owned(),
        Some(outcome) => outcome.to_string(),
        None => NO_ANSWER.to_owned(),
    }
}
