//! Log output: one line of key=value pairs per event.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

use flamingotrail_core::ids;

/// Capacity of the writer thread's queue, in lines. Lines beyond it are counted and dropped.
const QUEUE_CAPACITY: usize = 2_048;
/// Maximum number of queued lines that are added to a single write.
const MAX_BATCH_LINES: usize = 256;

/// Number of lines that were dropped because the queue was full, since it was last reported.
static DROPPED_LINES: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Sets up logging to standard error.
///
/// # Errors
///
/// Returns an error if a logger is already set up.
pub fn init(
    level: log::LevelFilter,
    instance: &ids::InstanceName,
) -> Result<(), log::SetLoggerError> {
    create_dispatch(level, instance.as_str()).chain(io::stderr()).apply()
}

/// Reason why logging can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// A logger is already set up.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The writer thread can't be started.
    #[error(transparent)]
    Thread(#[from] io::Error),
}

/// Sets up logging to standard output from a separate thread, so that logging never blocks on the
/// reader of the output. Lines are dropped while the queue is full; the number of dropped lines is
/// logged.
///
/// # Errors
///
/// Returns an error if a logger is already set up or the writer thread can't be started.
pub fn init_queued(level: log::LevelFilter, instance: &str) -> Result<(), LoggingError> {
    let (tx, rx) = mpsc::sync_channel::<String>(QUEUE_CAPACITY);
    thread::Builder::new().name("log".to_owned()).spawn(move || run_writer(&rx))?;
    let queue = fern::Output::call(move |record| {
        if tx.try_send(format!("{}\n", record.args())).is_err() {
            DROPPED_LINES.fetch_add(1, atomic::Ordering::Relaxed);
        }
    });
    create_dispatch(level, instance).chain(queue).apply()?;
    Ok(())
}

fn create_dispatch(level: log::LevelFilter, instance: &str) -> fern::Dispatch {
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("flamingotraild", level)
        .level_for("flamingotrail_adapter", level)
        .level_for("flamingotrail_runtime", level)
        .level_for("flamingotrail_platform", level)
        .format(move |out, message, record| {
            #[allow(clippy::disallowed_methods, reason = "log lines show the time of day")]
            let timestamp = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            let text = message.to_string().replace('\n', " ");
            let text =
                if text.contains("event=") { text } else { format!("event=library text={text:?}") };
            out.finish(format_args!("ts={timestamp} level={level} instance={instance} {text}"));
        })
}

fn run_writer(rx: &mpsc::Receiver<String>) {
    let mut stdout = io::stdout();
    while let Ok(first) = rx.recv() {
        let mut text = first;
        text.extend(rx.try_iter().take(MAX_BATCH_LINES));
        let dropped_lines = DROPPED_LINES.swap(0, atomic::Ordering::Relaxed);
        if dropped_lines > 0 {
            text.push_str(&format!("level=warn event=log_lines_left_out lines={dropped_lines}\n"));
        }
        if stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_err() {
            // The output can't be written any more, so the error can't be logged either.
            return;
        }
    }
}
