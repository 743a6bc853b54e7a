//! Reports of commands, rendered as text or JSON.

use flamingotrail_wire::state;

use crate::configs::client;

/// Output of a command.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Whether the command succeeded; determines the exit status.
    pub is_good: bool,
    /// Lines of text, printed before the tables.
    pub lines: Vec<String>,
    /// Tables, printed after the lines.
    pub tables: Vec<state::Table>,
}

impl Report {
    /// Creates a successful report from the lines of `text`.
    pub fn text(text: String) -> Self {
        let lines = text.lines().map(str::to_owned).collect();
        Report { is_good: true, lines, tables: Vec::new() }
    }

    /// Creates a report that consists of lines.
    pub fn lines(is_good: bool, lines: Vec<String>) -> Self {
        Report { is_good, lines, tables: Vec::new() }
    }

    /// Creates a successful report that consists of tables.
    pub fn tables(tables: Vec<state::Table>) -> Self {
        Report { is_good: true, lines: Vec::new(), tables }
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
