//! Stand-ins of clients, upstreams, the operator and the platform for the
//! scripts of this review. It uses the standard library only.
//!
//! `harness CASE FOLDER` starts the programs of the deploy file as separate
//! processes on loopback addresses, plays the case, writes `record.txt` into
//! the folder, and exits with 0 (the rule held), 1 (it was broken) or 2 (the
//! case couldn't run). `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod operator;
mod system;
mod target;

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new((Mutex::new(file), Instant::now()))))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64()
    }

    /// Writes one line, with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut file = self.0.0.lock().expect("no holder panics");
        writeln!(file, "{at:9.3} {}", text.as_ref()).expect("the record can be written");
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(folder)).expect("the folder can be written");
    record.line(format!("case {case}, trouble {trouble}"));
    let verdict = cases::run(case, trouble, &record);
    let code = match &verdict {
        Verdict::Held => {
            record.line("verdict: the rule held");
            0
        }
        Verdict::Broken => {
            record.line("verdict: the rule was broken");
            1
        }
        Verdict::CouldNotRun(why) => {
            record.line(format!("verdict: the case could not run: {why}"));
            eprintln!("{why}");
            2
        }
    };
    println!("exit {code}");
    std::process::exit(code);
}
