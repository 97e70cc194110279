//! Reload of the configuration and the operators' file at SIGHUP. Each file is applied or rejected independently of
//! the other.
//!
//! Of the configuration, only `resolver` takes effect; the log names the other keys that changed. Of the operators'
//! file, everything takes effect except most keys of `fleet`:
//! [`FleetService::reconfigure`](crate::subsystems::fleet::FleetService::reconfigure) lists those that do.

use super::Dispatcher;
use crate::config::{self, StartupConfig};
use crate::log;
use crate::operator_config::{self, check_against_settings, OperatorConfigErrors};
use tansymux_operator_config::Operator;

impl Dispatcher {
    /// Reads both files again. A file with errors changes nothing.
    pub(super) fn reload(&mut self) {
        if !self.phase.is_before_shutdown() {
            tracing::info!("SIGHUP ignored during shutdown");
            return;
        }
        match config::read() {
            Ok(config) => self.apply_config(&config),
            Err(error) => tracing::warn!(reason = %error, "configuration reload rejected"),
        }
        match self.read_operator_config() {
            Ok(operator) => self.apply_operator_config(&operator),
            Err(errors) => tracing::warn!(reason = %errors, "operators' file reload rejected"),
        }
    }

    fn read_operator_config(&self) -> Result<Operator, OperatorConfigErrors> {
        let operator = operator_config::read_optional(self.common.operator.as_deref())?;
        check_against_settings(&operator, &self.settings)?;
        Ok(operator)
    }

    fn apply_config(&mut self, config: &StartupConfig) {
        let pending = config::keys_pending_restart(&self.startup_source, &config.source);
        if !pending.is_empty() {
            let keys = pending.join(",");
            tracing::warn!(%keys, "configuration reloaded, changed keys need a restart");
        }
        self.registry.counters.config_reloads.increment();
        if let Some(resolver) = config.resolver {
            if config.resolver != self.resolver.get() {
                tracing::info!(%resolver, "name service changed");
            }
        }
        self.resolver.set(config.resolver);
    }

    fn apply_operator_config(&mut self, operator: &Operator) {
        if self.common.operator.is_some() {
            self.registry.counters.operator_config_reloads.increment();
            tracing::info!("operators' file reloaded");
        }
        log::configure(&self.common, operator.log.as_ref());
        let now_ms = self.clock.now();
        self.subsystems
            .reconfigure(operator, now_ms, &mut self.control);
        match &self.subsystems.fleet {
            Some(fleet) => fleet.reconfigure(operator.fleet.as_ref()),
            None if operator.fleet.is_some() => {
                tracing::warn!("operators' file defines a fleet: a restart is needed to join it");
            }
            None => {}
        }
    }
}
