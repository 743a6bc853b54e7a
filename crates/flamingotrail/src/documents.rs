//! `check` of a platform's configuration document, from a file or standard input.

use std::fs;
use std::io;
use std::io::Read as _;
use std::path;
use std::time;

use flamingotrail_adapter::check;
use flamingotrail_adapter::configuration;

use crate::client;
use crate::output;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Whether `path` is a document of the platform, and not a configuration set.
pub fn is_document(path: &path::Path) -> bool {
    let is_json = path.extension().is_some_and(|extension| extension == "json");
    is_json || path == path::Path::new(STANDARD_INPUT) || begins_with_brace(path)
}

/// No TOML file begins with a brace.
fn begins_with_brace(path: &path::Path) -> bool {
    fs::read(path).is_ok_and(|text| text.trim_ascii_start().starts_with(b"{"))
}

/// Checks a document, and compares it with the version in force if that is given.
pub fn check(
    path: &path::Path,
    in_force: Option<&path::Path>,
    log_retention: time::Duration,
) -> output::Report {
    let mut report = output::Report::findings();
    let old = in_force.and_then(|path| read(path, &mut report));
    // Gateways reject an invalid document, so it can't be in force.
    for finding in old.iter().flat_map(check::errors) {
        report.add_finding(&display(in_force.unwrap_or(path)), &finding);
    }
    if let Some(new) = read(path, &mut report) {
        let mut findings = check::check(&new, log_retention);
        findings.extend(old.iter().flat_map(|old| check::compare(old, &new)));
        findings.iter().for_each(|finding| report.add_finding(&display(path), finding));
        report.lines.push(summary(&new));
    }
    report.add_totals();
    report
}

/// Returns the report of a path that can't be read.
pub fn unreadable(path: &path::Path, error: &client::ClientError) -> output::Report {
    let mut report = output::Report::findings();
    add_unreadable(path, &error.to_string(), &mut report);
    report
}

fn add_unreadable(path: &path::Path, message: &str, report: &mut output::Report) {
    let finding = check::Finding {
        severity: check::Severity::Unreadable,
        rule: "file",
        place: String::new(),
        position: None,
        message: message.to_owned(),
        advice: "check that the path is correct and accessible".to_owned(),
    };
    report.add_finding(&display(path), &finding);
}

/// Reads a document; adds a finding if it can't be read or parsed.
fn read(path: &path::Path, report: &mut output::Report) -> Option<configuration::Reading> {
    let text = match load(path) {
        Ok(text) => text,
        Err(error) => {
            add_unreadable(path, &error.to_string(), report);
            return None;
        }
    };
    let result = configuration::read(&text);
    result.map_err(|error| report.add_finding(&display(path), &(&error).into())).ok()
}

fn load(path: &path::Path) -> io::Result<Vec<u8>> {
    if path != path::Path::new(STANDARD_INPUT) {
        return fs::read(path);
    }
    let mut text = Vec::new();
    io::stdin().read_to_end(&mut text)?;
    Ok(text)
}

fn display(path: &path::Path) -> String {
    if path == path::Path::new(STANDARD_INPUT) {
        return "standard input".to_owned();
    }
    path.display().to_string()
}

fn summary(reading: &configuration::Reading) -> String {
    let counts = reading.counts();
    format!(
        "checked: version={} routes={} services={} workspaces={} keys={}",
        counts.version, counts.routes, counts.services, counts.workspaces, counts.keys
    )
}
