//! The record of a run: what was sent, answered and run, a line each.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`. Copies share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates the file that the environment names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the record's file");
        let file = File::create(path).expect("the record can be created");
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    /// Writes a line, which begins with the milliseconds since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _ = writeln!(file, "{at:10.2} {}", text.as_ref());
    }

    /// Writes a line and prints it.
    pub fn announce(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}
