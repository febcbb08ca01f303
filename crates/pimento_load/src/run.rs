//! Driving a run.

use crate::{
    Args, Report, Schedule, caller::Callers, request, schedule::Arrival, tally::Tally,
    witness::Witness,
};
use actix_rt::task::JoinHandle;
use anyhow::ensure;
use std::{cell::RefCell, process::ExitCode, rc::Rc, time::Duration};
use tokio::{
    task::yield_now,
    time::{Instant, interval, sleep_until},
};

/// The time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(2);

/// The resolution of the runtime's timer.
const TICK: Duration = Duration::from_millis(1);

/// The time between two looks at requests in flight after the last was sent.
const POLL: Duration = Duration::from_millis(10);

/// Runs the load tool and prints its report; exit code 1 says that a promise
/// was broken.
///
/// Progress goes to the standard error. Needs a running actix system.
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

/// Runs the load tool; ends by itself after the time of sending, the timeout
/// and a few seconds.
///
/// # Errors
///
/// Returns an error if the arguments name no service.
pub async fn measure(args: Args) -> anyhow::Result<Report> {
    let named = !args.service.is_empty() || !args.once.is_empty();
    ensure!(named, "name a service with --service or --once");
    let callers = Rc::new(Callers::new(args));
    let tally = Rc::new(RefCell::new(Tally::default()));
    let witness = Witness::begin(&callers.client, &callers.args.targets).await;
    let progress = progress(Rc::clone(&tally));
    send_all(&callers, &tally).await;
    progress.abort();
    let fates = std::mem::take(&mut tally.borrow_mut().keys);
    let evidence = witness.end(&callers.client, &fates).await;
    let report = Report::new(&callers, &tally.borrow(), evidence);
    Ok(report)
}

/// Starts each request at its time and waits for the last to end.
async fn send_all(callers: &Rc<Callers>, tally: &Rc<RefCell<Tally>>) {
    let begun = Instant::now();
    for arrival in Schedule::new(&callers.args) {
        let start = begun + arrival.at;
        wait_until(start).await;
        // The list of tasks itself counts those in flight.
        if Rc::strong_count(tally) > callers.args.limit + OWNERS {
            tally.borrow_mut().dropped += 1;
            continue;
        }
        tally.borrow_mut().sent += 1;
        actix_rt::spawn(send(Rc::clone(callers), Rc::clone(tally), arrival, start));
    }
    while Rc::strong_count(tally) > OWNERS {
        actix_rt::time::sleep(POLL).await;
    }
}

/// Waits for a time more precisely than the timer alone, whose ticks are
/// [`TICK`] apart, and lets requests in flight go on.
async fn wait_until(time: Instant) {
    let early = time.checked_sub(TICK).unwrap_or(time);
    if Instant::now() < early {
        sleep_until(early).await;
    }
    while Instant::now() < time {
        yield_now().await;
    }
}

/// Owners of the tally besides requests in flight: the run and the progress.
const OWNERS: usize = 2;

async fn send(callers: Rc<Callers>, tally: Rc<RefCell<Tally>>, arrival: Arrival, start: Instant) {
    let ended = request::run(&callers, &arrival, start).await;
    let timeout = callers.args.timeout();
    tally.borrow_mut().add(&arrival, ended, timeout);
}

/// Shows how far the run is.
fn progress(tally: Rc<RefCell<Tally>>) -> JoinHandle<()> {
    actix_rt::spawn(async move {
        let mut ticks = interval(PROGRESS);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let tally = tally.borrow();
            let (sent, answered, failed) = (tally.sent, tally.answered, tally.failed);
            eprintln!("{sent} sent, {answered} answered, {failed} failed");
        }
    })
}
