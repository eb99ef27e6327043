//! Parser of the scenario language: each line is a step, a verb with arguments.

/// Parsed scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Size of the cluster.
    pub size: ClusterSize,
    /// Kinds of violations that the checker must find, none by default.
    pub expected_violations: Vec<String>,
    /// Steps in the order in which they run.
    pub steps: Vec<Step>,
}

/// Size of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of availability zones.
    pub zones: u8,
    /// Number of entry processes in each zone.
    pub entries: u8,
    /// Number of dispatchers in each zone.
    pub dispatchers: u8,
    /// Number of targets in each zone.
    pub targets: u8,
    /// Number of slots of each target.
    pub slots: u16,
}

/// Step of a scenario, one line of its text.
#[derive(Clone, Debug)]
pub struct Step {
    /// Line number, from 1.
    pub line: usize,
    /// Verb, the first word of the line.
    pub verb: String,
    /// Positional arguments.
    pub args: Vec<String>,
    /// Named arguments in the order of the line.
    options: Vec<(String, String)>,
}

impl Scenario {
    /// Parses a scenario.
    pub fn parse(text: &str) -> Result<Self, String> {
        let lines = text.lines().enumerate().map(|(index, line)| (index + 1, line.trim()));
        let lines = lines.filter(|(_, line)| !line.is_empty() && !line.starts_with('#'));
        let mut steps: Vec<Step> = lines.map(|(index, line)| Step::parse(index, line)).collect();
        let is_header = |step: &Step| step.verb == "world";
        let header = match steps.first() {
            Some(step) if is_header(step) => steps.remove(0),
            _ => return Err("line 1: expected `world`".to_owned()),
        };
        let size = ClusterSize {
            zones: header.number("zones", 3)?,
            entries: header.number("entries", 2)?,
            dispatchers: header.number("dispatchers", 1)?,
            targets: header.number("targets", 1)?,
            slots: header.number("slots", 8)?,
        };
        let is_violation = |step: &mut Step| step.verb == "violates";
        let violations = steps.extract_if(.., is_violation).flat_map(|step| step.args);
        Ok(Scenario { size, expected_violations: violations.collect(), steps })
    }
}

impl Step {
    fn parse(line: usize, text: &str) -> Self {
        let mut words = text.split_whitespace();
        let verb = words.next().unwrap_or_default().to_owned();
        let (options, args): (Vec<&str>, Vec<&str>) = words.partition(|word| word.contains('='));
        let parse_option = |word: &str| {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            (name.to_owned(), value.to_owned())
        };
        Step {
            line,
            verb,
            args: args.into_iter().map(str::to_owned).collect(),
            options: options.into_iter().map(parse_option).collect(),
        }
    }

    /// Returns the positional argument at `index`, from 0.
    pub fn arg(&self, index: usize) -> Result<&str, String> {
        let arg = self.args.get(index).map(String::as_str);
        arg.ok_or_else(|| self.error(&format!("expected {} arguments", index + 1)))
    }

    /// Returns a named argument, if the step has it.
    pub fn option(&self, name: &str) -> Option<&str> {
        self.options.iter().find(|(option, _)| option == name).map(|(_, value)| value.as_str())
    }

    /// Returns a named argument, or an error if the step lacks it.
    pub fn required(&self, name: &str) -> Result<&str, String> {
        self.option(name).ok_or_else(|| self.error(&format!("expected `{name}=`")))
    }

    /// Returns all named arguments.
    pub fn options(&self) -> impl Iterator<Item = (&str, &str)> {
        self.options.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns the number of a named argument, or `default` if the step lacks it.
    pub fn number<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.option(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| self.error(&format!("invalid number `{text}`"))),
        }
    }

    /// Returns an error message that names this line and verb.
    pub fn error(&self, message: &str) -> String {
        format!("line {}: {}: {message}", self.line, self.verb)
    }
}
