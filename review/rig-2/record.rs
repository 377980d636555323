//! What was sent, answered and run, with times.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { started: Instant::now(), out })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:8.3} {}", self.now(), text.as_ref());
        let _ = out.flush();
    }

    /// A line that is shown as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now(), text.as_ref());
        self.line(text);
    }
}
