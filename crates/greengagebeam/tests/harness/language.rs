//! The scenario language: one step a line, a verb with arguments.

/// A scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// What the world consists of.
    pub size: WorldSize,
    /// The violations that the checker must find; none in a scenario that must hold.
    pub violations: Vec<String>,
    /// The steps.
    pub steps: Vec<Step>,
}

/// What a world consists of.
#[derive(Clone, Copy, Debug)]
pub struct WorldSize {
    /// Availability zones.
    pub zones: u8,
    /// Entry processes in each zone.
    pub entries: u8,
    /// Dispatchers in each zone.
    pub dispatchers: u8,
    /// Targets in each zone.
    pub targets: u8,
    /// Slots of each target.
    pub slots: u16,
}

/// One line.
#[derive(Clone, Debug)]
pub struct Step {
    /// Where it stands.
    pub line: usize,
    /// What to do.
    pub verb: String,
    /// What to do it to.
    pub words: Vec<String>,
    /// Named arguments, in order.
    options: Vec<(String, String)>,
}

impl Script {
    /// Reads a scenario.
    pub fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().enumerate().map(|(at, line)| (at + 1, line.trim()));
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let mut steps: Vec<Step> = lines.map(|(at, line)| Step::parse(at, line)).collect();
        let is_head = |step: &Step| step.verb == "world";
        let head = match steps.first() {
            Some(step) if is_head(step) => steps.remove(0),
            _ => return Err("line 1: expected `world`".to_owned()),
        };
        let size = WorldSize {
            zones: head.number("zones", 3)?,
            entries: head.number("entries", 2)?,
            dispatchers: head.number("dispatchers", 1)?,
            targets: head.number("targets", 1)?,
            slots: head.number("slots", 8)?,
        };
        let is_violation = |step: &mut Step| step.verb == "violates";
        let violations = steps.extract_if(.., is_violation).flat_map(|step| step.words);
        Ok(Script { size, violations: violations.collect(), steps })
    }
}

impl Step {
    fn parse(line: usize, text: &str) -> Self {
        let mut words = text.split_whitespace();
        let verb = words.next().unwrap_or_default().to_owned();
        let (options, words): (Vec<&str>, Vec<&str>) = words.partition(|word| word.contains('='));
        let pair = |word: &str| {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            (name.to_owned(), value.to_owned())
        };
        Step {
            line,
            verb,
            words: words.into_iter().map(str::to_owned).collect(),
            options: options.into_iter().map(pair).collect(),
        }
    }

    /// Returns a positional argument.
    pub fn word(&self, at: usize) -> Result<&str, String> {
        let word = self.words.get(at).map(String::as_str);
        word.ok_or_else(|| self.error(&format!("expected {} arguments", at + 1)))
    }

    /// Returns a named argument.
    pub fn option(&self, name: &str) -> Option<&str> {
        self.options.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    /// Returns a named argument that must be there.
    pub fn required(&self, name: &str) -> Result<&str, String> {
        self.option(name).ok_or_else(|| self.error(&format!("expected `{name}=`")))
    }

    /// Returns all named arguments.
    pub fn options(&self) -> impl Iterator<Item = (&str, &str)> {
        self.options.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns a named number, or a default.
    pub fn number<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.option(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| self.error(&format!("bad number `{text}`"))),
        }
    }

    /// Returns an error at this line.
    pub fn error(&self, message: &str) -> String {
        format!("line {}: {}: {message}", self.line, self.verb)
    }
}
