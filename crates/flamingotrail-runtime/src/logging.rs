//! One line of key=value pairs for each event, on standard error.

use std::io;

use flamingotrail_core::ids;

/// Sets up logging for the process.
///
/// # Errors
///
/// A logger that was set up before.
pub fn init(
    level: log::LevelFilter,
    instance: &ids::InstanceName,
) -> Result<(), log::SetLoggerError> {
    let instance = instance.clone();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("flamingotraild", level)
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
        .chain(io::stderr())
        .apply()
}
