//! Sets of configuration files, and the format in which they are published.

use std::fs;
use std::io;
use std::path;

/// A file of a configuration set.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigFile {
    /// Name of the file, shown in diagnostics; its path if the set was loaded from disk.
    pub name: String,
    /// Content of the file.
    pub text: String,
}

/// A configuration set: one or more TOML files, ordered by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigSet {
    /// The files of the set.
    #[serde(rename = "file")]
    pub files: Vec<ConfigFile>,
}

/// Error while loading a configuration set.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The path can't be read.
    #[error("{path} can't be read: {error}; specify a TOML file or a directory of TOML files")]
    Unreadable {
        /// The path.
        path: String,
        /// The underlying I/O error.
        error: io::Error,
    },
    /// The directory contains no TOML files.
    #[error("{path} contains no .toml files; specify a TOML file or a directory of TOML files")]
    Empty {
        /// The path.
        path: String,
    },
    /// The published text is not a configuration set.
    #[error(
        "the published text is not a configuration set: {0}; publish it again with this version"
    )]
    InvalidToml(toml::de::Error),
}

impl ConfigSet {
    /// Creates a set of one file.
    pub fn new(name: &str, text: &str) -> Self {
        ConfigSet { files: vec![ConfigFile { name: name.to_owned(), text: text.to_owned() }] }
    }

    /// Loads a file, or all `.toml` files directly in a directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the path can't be read, or if the directory contains no `.toml` files.
    pub fn load(path: &path::Path) -> Result<Self, LoadError> {
        let display_path = path.display().to_string();
        let unreadable = |error| LoadError::Unreadable { path: display_path.clone(), error };
        if !path.is_dir() {
            let text = fs::read_to_string(path).map_err(unreadable)?;
            return Ok(ConfigSet::new(&display_path, &text));
        }
        let mut files = Vec::new();
        for entry in fs::read_dir(path).map_err(unreadable)? {
            let path = entry.map_err(unreadable)?.path();
            if path.extension().is_some_and(|extension| extension == "toml") {
                let text = fs::read_to_string(&path).map_err(unreadable)?;
                files.push(ConfigFile { name: path.display().to_string(), text });
            }
        }
        if files.is_empty() {
            return Err(LoadError::Empty { path: display_path });
        }
        files.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ConfigSet { files })
    }

    /// Serializes the set into the text that is published.
    pub fn to_toml(&self) -> String {
        // Can't fail: a set contains only strings, which TOML can always represent.
        toml::to_string(self).unwrap_or_default()
    }

    /// Parses a set from its published text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a published set.
    pub fn from_toml(text: &str) -> Result<Self, LoadError> {
        toml::from_str(text).map_err(LoadError::InvalidToml)
    }
}
