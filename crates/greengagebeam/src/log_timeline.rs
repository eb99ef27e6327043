//! Log lines of several processes about one id, merged by time.

use serde_json::{Map, Value};

/// Fields of every line, which are rendered at fixed positions or left out.
const COMMON_FIELDS: [&str; 6] = ["timestamp", "level", "event", "name", "target_module", "vm"];

/// Log lines that contain an id, sorted by time.
#[derive(Clone, Debug)]
pub struct LogTimeline {
    id: String,
    /// Timestamps and rendered lines, sorted by timestamp.
    lines: Vec<(String, String)>,
}

impl LogTimeline {
    /// Returns a timeline of `id` without lines.
    pub fn new(id: impl Into<String>) -> Self {
        LogTimeline { id: id.into(), lines: Vec::new() }
    }

    /// Adds the lines of one log that contain the id.
    ///
    /// The text before the JSON object of a line, such as a name added by a log collector, is
    /// taken as the name of the process; if there is none, `source` is. Lines without a JSON
    /// object are skipped.
    pub fn add_log(&mut self, source: &str, text: &str) {
        for line in text.lines().filter(|line| line.contains(&self.id)) {
            let Some(start) = line.find('{') else { continue };
            let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
                continue;
            };
            let time = field_text(&fields, "timestamp");
            let prefix = line[..start].trim();
            let process = if prefix.is_empty() { source } else { prefix };
            let rendered = format!("{time} {process} {}", render(&fields));
            let index = self.lines.partition_point(|(line_time, _)| *line_time <= time);
            self.lines.insert(index, (time, rendered));
        }
    }

    /// Returns the rendered lines, sorted by time.
    pub fn lines(&self) -> Vec<&str> {
        self.lines.iter().map(|(_, line)| line.as_str()).collect()
    }
}

fn render(fields: &Map<String, Value>) -> String {
    let mut line = format!("{} {}", field_text(fields, "event"), field_text(fields, "name"));
    let event_fields = fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    for (name, _) in event_fields {
        line.push_str(&format!(" {name}={}", field_text(fields, name)));
    }
    line
}

fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => "-".to_owned(),
    }
}
