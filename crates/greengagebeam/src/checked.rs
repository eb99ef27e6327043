//! Checking settings, all of them at once.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    str::FromStr,
};

use ggb_model::{ModelError, Zone};

/// Collects what is wrong with settings, so that one error names every bad field.
#[derive(Debug, Default)]
pub struct Checked {
    errors: Vec<ModelError>,
}

impl Checked {
    /// Reads a value by its own rules.
    pub fn value<T: FromStr>(
        &mut self,
        field: &'static str,
        text: &str,
        expected: &'static str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.errors.push(ModelError::new(field, text, expected));
        }
        value
    }

    /// Reads an address with a port.
    pub fn addr(&mut self, field: &'static str, text: &str) -> Option<SocketAddr> {
        self.value(field, text, "an IP address with a port, such as 10.0.1.5:7100")
    }

    /// Reads an address with a port that others can connect to.
    pub fn reachable_addr(&mut self, field: &'static str, text: &str) -> Option<SocketAddr> {
        let addr = self.addr(field, text)?;
        if addr.ip().is_unspecified() {
            let expected = "an address that others can connect to, not a wildcard";
            self.errors.push(ModelError::new(field, text, expected));
            return None;
        }
        Some(addr)
    }

    /// Reads a list of addresses with ports, separated by commas.
    pub fn addrs(&mut self, field: &'static str, text: &str) -> Vec<SocketAddr> {
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.filter_map(|part| self.addr(field, part)).collect()
    }

    /// Reads a list of availability zones, separated by commas.
    pub fn zones(&mut self, field: &'static str, text: &str) -> Vec<Zone> {
        let expected = "names of zones, separated by commas";
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.filter_map(|part| self.value(field, part, expected)).collect()
    }

    /// Reads an optional IP address.
    pub fn ip(&mut self, field: &'static str, text: Option<&str>) -> Option<IpAddr> {
        self.value(field, text?, "an IP address")
    }

    /// Reads a number within a range.
    pub fn number(
        &mut self,
        field: &'static str,
        text: &str,
        range: RangeInclusive<u64>,
        expected: &'static str,
    ) -> u64 {
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.errors.push(ModelError::new(field, text, expected));
                *range.start()
            }
        }
    }

    /// Returns the settings if nothing was wrong.
    ///
    /// # Errors
    ///
    /// Names every bad field.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { errors: self.errors }),
        }
    }
}

/// Settings that break their rules.
#[derive(Debug)]
pub struct SettingsError {
    errors: Vec<ModelError>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bad settings:", self.errors.len())?;
        self.errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
}

impl std::error::Error for SettingsError {}
