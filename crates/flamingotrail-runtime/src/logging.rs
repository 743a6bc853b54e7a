//! One line of key=value pairs for each event.

use std::io;
use std::io::Write as _;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

use flamingotrail_core::ids;

/// Lines that wait for the writer at most; further ones are counted and left out.
const QUEUE_LINES: usize = 2_048;
/// Lines that are written at once at most.
const BATCH_LINES: usize = 256;

/// Lines that were left out because the writer was behind.
static LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Sets up logging on standard error.
///
/// # Errors
///
/// A logger that was set up before.
pub fn init(
    level: log::LevelFilter,
    instance: &ids::InstanceName,
) -> Result<(), log::SetLoggerError> {
    dispatch(level, instance.as_str()).chain(io::stderr()).apply()
}

/// Logging can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// A logger was set up before.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// No thread for the writer.
    #[error(transparent)]
    Thread(#[from] io::Error),
}

/// Sets up logging on standard output by a thread of its own: the caller never waits for the
/// reader of the output. Lines beyond the queue are left out, and a line says how many.
///
/// # Errors
///
/// A logger that was set up before, or no thread.
pub fn init_queued(level: log::LevelFilter, instance: &str) -> Result<(), LoggingError> {
    let (tx, rx) = mpsc::sync_channel::<String>(QUEUE_LINES);
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx))?;
    let queue = fern::Output::call(move |record| {
        if tx.try_send(format!("{}\n", record.args())).is_err() {
            LEFT_OUT.fetch_add(1, atomic::Ordering::Relaxed);
        }
    });
    dispatch(level, instance).chain(queue).apply()?;
    Ok(())
}

fn dispatch(level: log::LevelFilter, instance: &str) -> fern::Dispatch {
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("flamingotraild", level)
        .level_for("flamingotrail_adapter", level)
        .level_for("flamingotrail_runtime", level)
        .level_for("flamingotrail_platform", level)
        .format(move |out, message, record| {
            let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let level = record.level().as_str().to_ascii_lowercase();
            let text = message.to_string().replace('\n', " ");
            let text =
                if text.contains("event=") { text } else { format!("event=library text={text:?}") };
            out.finish(format_args!("ts={at} level={level} instance={instance} {text}"));
        })
}

fn write_lines(rx: &mpsc::Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(first) = rx.recv() {
        let mut text = first;
        text.extend(rx.try_iter().take(BATCH_LINES));
        let left_out = LEFT_OUT.swap(0, atomic::Ordering::Relaxed);
        if left_out > 0 {
            text.push_str(&format!("level=warn event=log_lines_left_out lines={left_out}\n"));
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            // Nobody reads the output any more; there is nowhere to say so.
            return;
        }
    }
}
