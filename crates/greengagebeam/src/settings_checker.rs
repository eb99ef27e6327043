//! Validation of settings.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    str::FromStr,
};

use ggb_model::{ValidationError, Zone};

/// Parses settings and collects all errors, so that one report names every invalid field.
#[derive(Debug, Default)]
pub struct SettingsChecker {
    errors: Vec<ValidationError>,
}

impl SettingsChecker {
    /// Parses a value with its `FromStr`; records an error if it is invalid.
    pub fn parse<T: FromStr>(
        &mut self,
        field: &'static str,
        text: &str,
        expected: &'static str,
    ) -> Option<T> {
        let value = text.parse().ok();
        if value.is_none() {
            self.errors.push(ValidationError::new(field, text, expected));
        }
        value
    }

    /// Parses an IP address with a port.
    pub fn parse_addr(&mut self, field: &'static str, text: &str) -> Option<SocketAddr> {
        self.parse(field, text, "an IP address with a port, such as 10.0.1.5:7100")
    }

    /// Parses an IP address with a port, and rejects wildcards, to which peers can't connect.
    pub fn parse_reachable_addr(&mut self, field: &'static str, text: &str) -> Option<SocketAddr> {
        let addr = self.parse_addr(field, text)?;
        if addr.ip().is_unspecified() {
            let expected = "an address that others can connect to, not a wildcard";
            self.errors.push(ValidationError::new(field, text, expected));
            return None;
        }
        Some(addr)
    }

    /// Parses a comma-separated list of IP addresses with ports.
    pub fn parse_addrs(&mut self, field: &'static str, text: &str) -> Vec<SocketAddr> {
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse_addr(field, part)).collect()
    }

    /// Parses a comma-separated list of availability zones.
    pub fn parse_zones(&mut self, field: &'static str, text: &str) -> Vec<Zone> {
        let expected = "names of zones, separated by commas";
        let parts = text.split(',').filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse(field, part, expected)).collect()
    }

    /// Parses an optional IP address.
    pub fn parse_ip(&mut self, field: &'static str, text: Option<&str>) -> Option<IpAddr> {
        self.parse(field, text?, "an IP address")
    }

    /// Parses a number within `range`; returns the start of the range if it is invalid.
    pub fn parse_number(
        &mut self,
        field: &'static str,
        text: &str,
        range: RangeInclusive<u64>,
        expected: &'static str,
    ) -> u64 {
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.errors.push(ValidationError::new(field, text, expected));
                *range.start()
            }
        }
    }

    /// Returns the settings if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns an error that names every invalid field.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { errors: self.errors }),
        }
    }
}

/// Error that names every invalid setting.
#[derive(Debug)]
pub struct SettingsError {
    errors: Vec<ValidationError>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} invalid settings:", self.errors.len())?;
        self.errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
    }
}

impl std::error::Error for SettingsError {}
