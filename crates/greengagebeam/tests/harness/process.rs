//! Child processes and signals to them.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// Child process that can be restarted with the same arguments.
pub struct Process {
    program: &'static str,
    args: Vec<String>,
    log: std::path::PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a program whose output is appended to `log_dir/name.log`.
    pub fn start(
        program: &'static str,
        args: Vec<String>,
        log_dir: &Path,
        name: &str,
    ) -> Result<Self, String> {
        let log = log_dir.join(format!("{name}.log"));
        let mut process = Process { program, args, log, child: None };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program again with the same arguments.
    pub fn restart(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let output = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .spawn();
        self.child = Some(child.map_err(|error| format!("{}: {error}", self.program))?);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the process is not running")?;
        let pid = Pid::from_raw(child.id().cast_signed());
        kill(pid, signal).map_err(|error| error.to_string())
    }

    /// Returns the exit code if the process has exited, -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
