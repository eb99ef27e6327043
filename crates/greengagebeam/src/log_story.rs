//! What the logs of several processes say of one thing.

use serde_json::{Map, Value};

/// Fields that each line has and that are printed in a place of their own.
const HEAD_FIELDS: [&str; 6] = ["timestamp", "level", "event", "name", "target_module", "vm"];

/// Collects the lines of logs that name an id, in the order of time.
#[derive(Clone, Debug)]
pub struct LogStory {
    id: String,
    /// Time stamps and lines, sorted.
    lines: Vec<(String, String)>,
}

impl LogStory {
    /// Returns a story of `id` without lines.
    pub fn new(id: impl Into<String>) -> Self {
        LogStory { id: id.into(), lines: Vec::new() }
    }

    /// Takes the lines of one log that name the id; `source` names the log.
    ///
    /// What stands before the JSON object of a line, such as the name of a process that a
    /// collector put there, is kept. Lines that hold no JSON object are left out.
    pub fn read(&mut self, source: &str, text: &str) {
        for line in text.lines().filter(|line| line.contains(&self.id)) {
            let Some(start) = line.find('{') else { continue };
            let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
                continue;
            };
            let time = text_of(&fields, "timestamp");
            let prefix = line[..start].trim();
            let process = if prefix.is_empty() { source } else { prefix };
            let rendered = format!("{time} {process} {}", render(&fields));
            let at = self.lines.partition_point(|(other, _)| *other <= time);
            self.lines.insert(at, (time, rendered));
        }
    }

    /// Returns the lines in the order of time.
    pub fn lines(&self) -> Vec<&str> {
        self.lines.iter().map(|(_, line)| line.as_str()).collect()
    }
}

fn render(fields: &Map<String, Value>) -> String {
    let mut line = format!("{} {}", text_of(fields, "event"), text_of(fields, "name"));
    let others = fields.iter().filter(|(name, _)| !HEAD_FIELDS.contains(&name.as_str()));
    for (name, _) in others {
        line.push_str(&format!(" {name}={}", text_of(fields, name)));
    }
    line
}

fn text_of(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => "-".to_owned(),
    }
}
