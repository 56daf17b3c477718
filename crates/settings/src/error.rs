//! Why settings are refused, in one line each.

use std::fmt;
use std::path::Path;

/// A place in a settings file, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column in bytes, where it is known.
    pub column: Option<usize>,
}

impl Position {
    /// Line and column of a byte offset.
    pub(crate) fn of_offset(text: &str, offset: usize) -> Self {
        let before = &text[..offset.min(text.len())];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position { line, column: Some(before.len() - line_start + 1) }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        match self.column {
            Some(column) => write!(f, ", column {column}"),
            None => Ok(()),
        }
    }
}

/// A settings file that cannot be used. The text is a single line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// What the operating system says.
        #[source]
        source: std::io::Error,
    },
    /// The file is not of its format, or a field is missing or has the wrong type.
    #[error("{}{cause}", prefix(*position))]
    Syntax {
        /// Where, if it is known.
        position: Option<Position>,
        /// What the parser says.
        cause: String,
    },
    /// A field has a value that is out of range or contradicts another one.
    #[error("{}{field}: {problem}", prefix(*position))]
    Field {
        /// Where, if it is known.
        position: Option<Position>,
        /// Name of the field as it is in the file, with its sections.
        field: String,
        /// What is wrong with its value.
        problem: String,
    },
}

impl SettingsError {
    /// A syntax error, its cause brought into one line.
    pub(crate) fn syntax(position: Option<Position>, cause: &dyn fmt::Display) -> Self {
        SettingsError::Syntax { position, cause: cause.to_string().replace('\n', " ") }
    }
}

fn prefix(position: Option<Position>) -> String {
    position.map_or_else(String::new, |position| format!("{position}: "))
}

/// The text of a settings file.
pub(crate) fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })
}
