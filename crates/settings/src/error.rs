//! Errors in settings files; each is reported in a single line.

use std::fmt;
use std::path::Path;

/// Position in a settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in bytes, counted from 1, if it is known.
    pub column: Option<usize>,
}

impl Position {
    /// Returns the line and column of a byte offset.
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

/// Reason why a settings file cannot be used. Its text is a single line.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error reported by the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file does not have the expected format, or a field is missing or has the wrong type.
    #[error("{}{cause}", prefix(*position))]
    Syntax {
        /// Position of the error, if it is known.
        position: Option<Position>,
        /// Error reported by the parser.
        cause: String,
    },
    /// The value of a field is out of range or contradicts another field.
    #[error("{}{field}: {problem}", prefix(*position))]
    Field {
        /// Position of the field, if it is known.
        position: Option<Position>,
        /// Name of the field in the file, with its sections.
        field: String,
        /// Problem with the value.
        problem: String,
    },
}

impl SettingsError {
    /// Creates a syntax error, with the cause reduced to a single line.
    pub(crate) fn syntax(position: Option<Position>, cause: &dyn fmt::Display) -> Self {
        SettingsError::Syntax { position, cause: cause.to_string().replace('\n', " ") }
    }
}

fn prefix(position: Option<Position>) -> String {
    position.map_or_else(String::new, |position| format!("{position}: "))
}

/// Reads the text of a settings file.
pub(crate) fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })
}
