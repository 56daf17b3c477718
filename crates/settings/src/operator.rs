//! Operator settings, in protobuf text format (`proto/operator.proto`).

use crate::error::{read_file, Position, SettingsError};
use miette::Diagnostic;
use prost_reflect::text_format::ParseError;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor, Value};
use std::ops::RangeInclusive;
use std::path::Path;

/// File descriptor set compiled from `operator.proto`.
const DESCRIPTOR: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

/// Full name of the message in `operator.proto`.
const MESSAGE_NAME: &str = "anisecroft.operator.v1.Operator";

/// Operator settings; each has a default.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Machines kept ready in addition to those in use, as a multiple of the demand that usually
    /// arrives during the boot of a machine. 0 to 10.
    pub reserve: f64,
    /// Time for which an idle machine beyond the desired capacity is kept, as a multiple of its boot
    /// time. 0 to 100.
    pub idle_hold: f64,
    /// Multiple of the usual boot time after which a boot is considered stuck. 1.5 to 100.
    pub boot_stuck: f64,
    /// Whether urgent jobs may preempt less urgent work.
    pub preempt: bool,
    /// Seconds between two planning rounds when nothing happens, 0.1 to 60; `None` stands for a
    /// third of the heartbeat interval.
    pub tick_s: Option<f64>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { reserve: 1.0, idle_hold: 0.25, boot_stuck: 3.0, preempt: true, tick_s: None }
    }
}

impl Operator {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file cannot be read, or for the reasons listed at [`Operator::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// If the text is not in protobuf text format or contains an unknown field, or if a value is out
    /// of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let message = DynamicMessage::parse_text_format(message_descriptor()?, text)
            .map_err(|error| syntax_error(text, &error))?;
        let mut operator = Operator::default();
        for (field, value) in message.fields() {
            let in_range = |range| number_in_range(text, field.name(), value, range);
            match field.name() {
                "reserve" => operator.reserve = in_range(0.0..=10.0)?,
                "idle_hold" => operator.idle_hold = in_range(0.0..=100.0)?,
                "boot_stuck" => operator.boot_stuck = in_range(1.5..=100.0)?,
                "tick_s" => operator.tick_s = Some(in_range(0.1..=60.0)?),
                "preempt" => operator.preempt = matches!(value, Value::Bool(true)),
                _ => {}
            }
        }
        Ok(operator)
    }
}

fn message_descriptor() -> Result<MessageDescriptor, SettingsError> {
    let pool = DescriptorPool::decode(DESCRIPTOR).map_err(|error| SettingsError::syntax(None, &error))?;
    pool.get_message_by_name(MESSAGE_NAME)
        .ok_or_else(|| SettingsError::syntax(None, &"descriptor of the operators' settings is missing"))
}

fn syntax_error(text: &str, error: &ParseError) -> SettingsError {
    let label = error.labels().and_then(|mut labels| labels.next());
    let position = label.map(|label| Position::of_offset(text, label.offset()));
    SettingsError::syntax(position, error)
}

fn number_in_range(
    text: &str,
    field: &str,
    value: &Value,
    range: RangeInclusive<f64>,
) -> Result<f64, SettingsError> {
    match value.as_f64() {
        Some(number) if range.contains(&number) => Ok(number),
        _ => Err(SettingsError::Field {
            position: Some(Position::of_offset(text, text.find(field).unwrap_or(0))),
            field: field.to_string(),
            problem: format!("must lie between {} and {}", range.start(), range.end()),
        }),
    }
}
