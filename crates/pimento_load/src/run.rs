//! Running a schedule and collecting its report.

use crate::{
    Args, Report, Schedule, caller::Callers, request, schedule::Arrival, tally::Tally,
    target_counters::CounterBaseline,
};
use actix_rt::task::JoinHandle;
use anyhow::ensure;
use std::{cell::RefCell, process::ExitCode, rc::Rc, time::Duration};
use tokio::{
    task::yield_now,
    time::{Instant, interval, sleep_until},
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Resolution of the tokio timer.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// How often to check for requests in flight after the last one was started.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the load tool and prints its report. Exit code 1 means that a guarantee
/// was violated.
///
/// Progress is printed to standard error. Needs a running actix system.
///
/// # Errors
///
/// Returns an error if the arguments name no service.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    let json = args.json;
    let report = measure(args).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Runs the load tool and returns its report. Ends within the scheduled run
/// time, the request timeout and a few seconds.
///
/// # Errors
///
/// Returns an error if the arguments name no service.
pub async fn measure(args: Args) -> anyhow::Result<Report> {
    let has_service = !args.service.is_empty() || !args.once.is_empty();
    ensure!(
        has_service,
        "give at least one service with --service or --once"
    );
    let callers = Rc::new(Callers::new(args));
    let tally = Rc::new(RefCell::new(Tally::default()));
    let baseline = CounterBaseline::read(&callers.client, &callers.args.targets).await;
    let progress = spawn_progress(Rc::clone(&tally));
    send_all(&callers, &tally).await;
    progress.abort();
    let key_outcomes = std::mem::take(&mut tally.borrow_mut().key_outcomes);
    let findings = baseline.compare(&callers.client, &key_outcomes).await;
    let report = Report::new(&callers, &tally.borrow(), findings);
    Ok(report)
}

/// Starts each request at its scheduled time and waits until all have ended.
async fn send_all(callers: &Rc<Callers>, tally: &Rc<RefCell<Tally>>) {
    let run_start = Instant::now();
    for arrival in Schedule::new(&callers.args) {
        let start = run_start + arrival.offset;
        wait_until(start).await;
        // Each request in flight holds one reference to the tally.
        if Rc::strong_count(tally) > callers.args.limit + BASE_REFERENCES {
            tally.borrow_mut().dropped += 1;
            continue;
        }
        tally.borrow_mut().sent += 1;
        actix_rt::spawn(run_request(
            Rc::clone(callers),
            Rc::clone(tally),
            arrival,
            start,
        ));
    }
    while Rc::strong_count(tally) > BASE_REFERENCES {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Waits until a time, more precisely than [`TIMER_RESOLUTION`]: sleeps until
/// shortly before it, then yields to the requests in flight.
async fn wait_until(time: Instant) {
    let sleep_end = time.checked_sub(TIMER_RESOLUTION).unwrap_or(time);
    if Instant::now() < sleep_end {
        sleep_until(sleep_end).await;
    }
    while Instant::now() < time {
        yield_now().await;
    }
}

/// References to the tally besides those of requests in flight: one of the run
/// and one of the progress task.
const BASE_REFERENCES: usize = 2;

async fn run_request(
    callers: Rc<Callers>,
    tally: Rc<RefCell<Tally>>,
    arrival: Arrival,
    start: Instant,
) {
    let outcome = request::run(&callers, &arrival, start).await;
    let timeout = callers.args.timeout();
    tally
        .borrow_mut()
        .record_request(&arrival, outcome, timeout);
}

/// Prints the progress of the run at regular intervals.
fn spawn_progress(tally: Rc<RefCell<Tally>>) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut ticks = interval(PROGRESS_INTERVAL);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let tally = tally.borrow();
            let (sent, answered, failed) = (tally.sent, tally.answered, tally.failed);
            eprintln!("{sent} sent, {answered} answered, {failed} failed");
        }
    })
}
