//! A set of configuration files and the form in which it is published.

use std::fs;
use std::io;
use std::path;

/// One file of a set.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigFile {
    /// Name, relative to the set.
    pub name: String,
    /// Text.
    pub text: String,
}

/// A set: its files in order of name.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigSet {
    /// The files.
    #[serde(rename = "file")]
    pub files: Vec<ConfigFile>,
}

/// A set that can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A path that can't be read.
    #[error("{path} can't be read: {error}; name a TOML file or a folder of TOML files")]
    Unreadable {
        /// The path.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// A folder without files.
    #[error("{path} holds no .toml file; name a TOML file or a folder of TOML files")]
    Empty {
        /// The path.
        path: String,
    },
    /// Published text that is not a set.
    #[error("the published text is not a set: {0}; publish the set again with this version")]
    InvalidToml(toml::de::Error),
}

impl ConfigSet {
    /// A set of one file.
    pub fn new(name: &str, text: &str) -> Self {
        ConfigSet { files: vec![ConfigFile { name: name.to_owned(), text: text.to_owned() }] }
    }

    /// Reads a file, or every `.toml` file of a folder.
    ///
    /// # Errors
    ///
    /// A path that can't be read, or a folder without files.
    pub fn load(path: &path::Path) -> Result<Self, LoadError> {
        let shown = path.display().to_string();
        let unreadable = |error| LoadError::Unreadable { path: shown.clone(), error };
        if !path.is_dir() {
            let text = fs::read_to_string(path).map_err(unreadable)?;
            return Ok(ConfigSet::new(&shown, &text));
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
            return Err(LoadError::Empty { path: shown });
        }
        files.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(ConfigSet { files })
    }

    /// The text that is published.
    pub fn to_toml(&self) -> String {
        // A set is plain strings, which always have a TOML form.
        toml::to_string(self).unwrap_or_default()
    }

    /// Reads published text.
    ///
    /// # Errors
    ///
    /// Text that is not a set.
    pub fn from_toml(text: &str) -> Result<Self, LoadError> {
        toml::from_str(text).map_err(LoadError::InvalidToml)
    }
}
