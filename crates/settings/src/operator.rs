//! Operators' own settings, in protobuf text format.

use crate::SettingsError;
use miette::Diagnostic;
use prost_reflect::{DescriptorPool, DynamicMessage, Value};

const DESCRIPTOR: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/operator.bin"));

#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    pub reserve: f64,
    pub idle_hold: f64,
    pub boot_stuck: f64,
    pub preempt: bool,
    /// None: a third of `report_s`.
    pub tick_s: Option<f64>,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { reserve: 1.0, idle_hold: 0.25, boot_stuck: 3.0, preempt: true, tick_s: None }
    }
}

impl Operator {
    pub fn load(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let broken = |e: &dyn std::fmt::Display| SettingsError::Syntax(e.to_string().replace('\n', " "));
        let pool = DescriptorPool::decode(DESCRIPTOR).map_err(|e| broken(&e))?;
        let Some(kind) = pool.get_message_by_name("anisecroft.operator.v1.Operator") else {
            return Err(broken(&"descriptor of the operators' settings is missing"));
        };
        let message = DynamicMessage::parse_text_format(kind, text).map_err(|e| {
            let place = e.labels().and_then(|mut l| l.next()).map(|l| position(text, l.offset()));
            match place {
                Some((line, column)) => broken(&format!("line {line}, column {column}: {e}")),
                None => broken(&e),
            }
        })?;
        let mut own = Operator::default();
        for (field, value) in message.fields() {
            let name = field.name();
            let number = value.as_f64();
            let ranged = |low: f64, high: f64| match number {
                Some(x) if x.is_finite() && (low..=high).contains(&x) => Ok(x),
                _ => {
                    let (line, column) = text.find(name).map_or((1, 1), |at| position(text, at));
                    Err(SettingsError::Field {
                        field: format!("line {line}, column {column}: {name}"),
                        problem: format!("must lie between {low} and {high}"),
                    })
                }
            };
            match name {
                "reserve" => own.reserve = ranged(0.0, 10.0)?,
                "idle_hold" => own.idle_hold = ranged(0.0, 100.0)?,
                "boot_stuck" => own.boot_stuck = ranged(1.5, 100.0)?,
                "tick_s" => own.tick_s = Some(ranged(0.1, 60.0)?),
                "preempt" => own.preempt = matches!(value, Value::Bool(true)),
                _ => {}
            }
        }
        Ok(own)
    }
}

/// Line and column, from 1, of a byte offset.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    (line, before.len() - before.rfind('\n').map_or(0, |n| n + 1) + 1)
}
