//! State dumps in JSON.

use std::collections;

use flamingotrail_core::view;

/// A table rendered as text.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Name of the table.
    pub name: String,
    /// Column names.
    pub columns: Vec<String>,
    /// Rows, with one value per column.
    pub rows: Vec<Vec<String>>,
}

impl From<view::Table> for Table {
    fn from(table: view::Table) -> Self {
        Table {
            name: table.name.to_owned(),
            columns: table.columns.into_iter().map(str::to_owned).collect(),
            rows: table.rows,
        }
    }
}

impl Table {
    /// Returns the rows as maps from column name to value.
    pub fn rows_by_column(&self) -> Vec<collections::BTreeMap<&str, &str>> {
        self.rows
            .iter()
            .map(|row| {
                let names = self.columns.iter().map(String::as_str);
                names.zip(row.iter().map(String::as_str)).collect()
            })
            .collect()
    }
}
