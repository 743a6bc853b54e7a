//! State dumps as JSON.

use std::collections;

use flamingotrail_core::view;

/// One table.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Table {
    /// Name.
    pub name: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows.
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
    /// Rows as objects by column.
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
