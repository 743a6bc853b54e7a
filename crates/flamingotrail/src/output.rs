//! Reports of commands, rendered as text or JSON.

use flamingotrail_adapter::check;
use flamingotrail_wire::state;

use crate::configs::client;

/// Output of a command.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Whether the command succeeded; determines the exit status.
    pub is_good: bool,
    /// Whether the input could be read; determines the exit status.
    #[serde(skip)]
    pub is_readable: bool,
    /// Findings of a check, printed first; `None` for other commands.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub findings: Option<Vec<FindingRow>>,
    /// Lines of text, printed before the tables.
    pub lines: Vec<String>,
    /// Tables, printed after the lines.
    pub tables: Vec<state::Table>,
}

/// A finding of a check.
#[derive(Clone, Debug, serde::Serialize)]
pub struct FindingRow {
    /// File in which it was found.
    pub file: String,
    /// How serious it is: `unreadable`, `error`, `warning` or `change`.
    pub severity: &'static str,
    /// Name of the rule.
    pub rule: &'static str,
    /// Path within the document.
    pub place: String,
    /// Line of the document, if it could not be parsed.
    pub line: Option<usize>,
    /// Column of the line, if the document could not be parsed.
    pub column: Option<usize>,
    /// What was found.
    pub message: String,
    /// What to do about it, or what a difference means for callers.
    pub advice: String,
}

impl Report {
    /// Exit status if the findings are errors, or the command did not succeed.
    const STATUS_NOT_GOOD: u8 = 1;
    /// Exit status if the input can't be read.
    const STATUS_NOT_READABLE: u8 = 2;

    /// Creates a successful report from the lines of `text`.
    pub fn text(text: String) -> Self {
        let lines = text.lines().map(str::to_owned).collect();
        Report::lines(true, lines)
    }

    /// Creates a report that consists of lines.
    pub fn lines(is_good: bool, lines: Vec<String>) -> Self {
        Report { is_good, is_readable: true, findings: None, lines, tables: Vec::new() }
    }

    /// Creates a successful report that consists of tables.
    pub fn tables(tables: Vec<state::Table>) -> Self {
        Report { tables, ..Report::lines(true, Vec::new()) }
    }

    /// Creates the report of a check, without findings yet.
    pub fn findings() -> Self {
        Report { findings: Some(Vec::new()), ..Report::lines(true, Vec::new()) }
    }

    /// Adds a finding in `file`.
    pub fn add_finding(&mut self, file: &str, finding: &check::Finding) {
        self.is_good &= finding.severity < check::Severity::Error;
        self.is_readable &= finding.severity < check::Severity::Unreadable;
        let row = FindingRow {
            file: file.to_owned(),
            severity: severity_name(finding.severity),
            rule: finding.rule,
            place: finding.place.clone(),
            line: finding.position.map(|position| position.line),
            column: finding.position.map(|position| position.column),
            message: finding.message.clone(),
            advice: finding.advice.clone(),
        };
        self.findings.get_or_insert_default().push(row);
    }

    /// Adds a line with the numbers of findings.
    pub fn add_totals(&mut self) {
        let rows = self.findings.as_deref().unwrap_or_default();
        let count =
            |severity| rows.iter().filter(|row| row.severity == severity_name(severity)).count();
        let errors = count(check::Severity::Unreadable) + count(check::Severity::Error);
        let warnings = count(check::Severity::Warning);
        let changes = count(check::Severity::Change);
        self.lines.push(format!("errors={errors} warnings={warnings} changes={changes}"));
    }

    /// Returns the exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match (self.is_readable, self.is_good) {
            (false, _) => Report::STATUS_NOT_READABLE,
            (true, false) => Report::STATUS_NOT_GOOD,
            (true, true) => 0,
        }
    }

    /// Renders the report in `format`.
    pub fn render(&self, format: client::OutputFormat) -> String {
        match format {
            client::OutputFormat::Json => {
                let text = serde_json::to_string_pretty(self).unwrap_or_default();
                format!("{text}\n")
            }
            client::OutputFormat::Text => self.render_text(),
        }
    }

    fn render_text(&self) -> String {
        let mut text = String::new();
        for row in self.findings.iter().flatten() {
            text.push_str(&render_finding(row));
        }
        for line in &self.lines {
            text.push_str(line);
            text.push('\n');
        }
        for table in &self.tables {
            text.push_str(&render_table(table));
        }
        text
    }
}

fn severity_name(severity: check::Severity) -> &'static str {
    match severity {
        check::Severity::Unreadable => "unreadable",
        check::Severity::Error => "error",
        check::Severity::Warning => "warning",
        check::Severity::Change => "change",
    }
}

fn render_finding(row: &FindingRow) -> String {
    let position = match (row.line, row.column) {
        (Some(line), Some(column)) => format!("{line}:{column}:"),
        _ => String::new(),
    };
    let place = if row.place.is_empty() { String::new() } else { format!(" {}:", row.place) };
    let FindingRow { file, severity, rule, message, advice, .. } = row;
    format!("{file}:{position} {severity}[{rule}]{place} {message}; {advice}\n")
}

fn render_table(table: &state::Table) -> String {
    let mut widths: Vec<usize> = table.columns.iter().map(String::len).collect();
    for row in &table.rows {
        for (width, value) in widths.iter_mut().zip(row) {
            *width = (*width).max(value.len());
        }
    }
    let render_row = |values: &[String]| {
        let padded = values.iter().zip(&widths).map(|(value, width)| format!("{value:<width$}"));
        let joined: Vec<String> = padded.collect();
        format!("  {}\n", joined.join("  ").trim_end())
    };
    let mut text = format!("{} ({})\n", table.name, table.rows.len());
    text.push_str(&render_row(&table.columns));
    for row in &table.rows {
        text.push_str(&render_row(row));
    }
    text
}
