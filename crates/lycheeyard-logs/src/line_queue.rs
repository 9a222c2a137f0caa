use std::{
    io::{Result, Write},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tracing_appender::non_blocking::NonBlocking;
use tracing_subscriber::fmt::MakeWriter;

/// The capacity of the queue of lines to be written; further lines are dropped and counted.
pub(crate) const MAX_QUEUED_LINES: usize = 4000;
/// The lines in the queue may have this many bytes together.
const MAX_QUEUED_BYTES: usize = 2 << 20;

/// How many lines wait to be written, how long they are, and how many found no room.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineQueue {
    queued: Arc<Mutex<Queued>>,
    dropped: Arc<AtomicU64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Queued {
    lines: usize,
    bytes: usize,
}

impl LineQueue {
    /// Returns the number of lines that found the queue full, since the reader of the output was too slow.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Counts a line as queued. Returns false, and counts it as dropped, if there is no room.
    fn admit(&self, bytes: usize) -> bool {
        let mut queued = self.lock();
        let has_room = queued.lines < MAX_QUEUED_LINES && queued.bytes + bytes <= MAX_QUEUED_BYTES;
        if has_room {
            queued.lines += 1;
            queued.bytes += bytes;
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        has_room
    }

    fn remove(&self, bytes: usize) {
        let mut queued = self.lock();
        queued.lines -= 1;
        queued.bytes -= bytes;
    }

    fn lock(&self) -> MutexGuard<'_, Queued> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts lines into the queue.
#[derive(Clone, Debug)]
pub(crate) struct QueueWriter {
    pub queue: LineQueue,
    pub writer: NonBlocking,
}

impl Write for QueueWriter {
    /// Takes a whole line, or drops it.
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        if self.queue.admit(line.len()) {
            self.writer.write_all(line)?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for QueueWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Writes the lines of the queue to the output.
#[derive(Debug)]
pub(crate) struct QueueOutput<W> {
    pub queue: LineQueue,
    pub output: W,
}

impl<W: Write> Write for QueueOutput<W> {
    fn write(&mut self, line: &[u8]) -> Result<usize> {
        self.write_all(line)?;
        Ok(line.len())
    }

    fn write_all(&mut self, line: &[u8]) -> Result<()> {
        let written = self.output.write_all(line);
        self.queue.remove(line.len());
        written
    }

    fn flush(&mut self) -> Result<()> {
        self.output.flush()
    }
}
