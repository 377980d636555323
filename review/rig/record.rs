//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    pub fn create(path: &std::path::Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), since: Instant::now() })
    }

    /// Adds a line with the time in milliseconds.
    pub fn line(&self, text: &str) {
        let at = self.since.elapsed().as_millis();
        writeln!(self.file.lock().unwrap(), "{at:>7} {text}").ok();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
