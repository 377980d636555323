//! Converts flags to settings of stand-ins.

use std::time::Duration;

use comfreyturn_standin::{EngineSettings, PlainSettings, PlatformSettings};

use crate::command_line::{Engine, Plain, Platform};

impl From<&Platform> for PlatformSettings {
    fn from(flags: &Platform) -> Self {
        Self {
            list_lag: Duration::from_millis(flags.list_lag_ms.unwrap_or_default()),
            weight_bytes_per_second: flags.weight_bytes_per_second.unwrap_or_default(),
            ..Self::default()
        }
    }
}

impl From<&Engine> for EngineSettings {
    fn from(flags: &Engine) -> Self {
        let default = Self::default();
        Self {
            vm: flags.vm.as_str().into(),
            failure_domain: flags.failure_domain.as_str().into(),
            fabric_domain: flags.fabric.as_str().into(),
            accelerators: flags.accelerators.unwrap_or(default.accelerators),
            platform: Some(flags.platform),
            checks_fencing: !flags.ignore_fencing,
            tokens_per_second: flags.tokens_per_second.unwrap_or(default.tokens_per_second),
            batch_capacity: flags.batch_capacity.unwrap_or(default.batch_capacity),
            queue_capacity: flags.queue_capacity.unwrap_or(default.queue_capacity),
            weight_bytes: flags.weight_bytes.unwrap_or(default.weight_bytes),
            crash_marker: flags.crash_marker.clone(),
            ..default
        }
    }
}

impl From<&Plain> for PlainSettings {
    fn from(flags: &Plain) -> Self {
        let default = Self::default();
        let (failure_domain, fabric) = (flags.failure_domain.as_deref(), flags.fabric.as_deref());
        Self {
            vm: flags.vm.as_str().into(),
            service: flags.service.as_str().into(),
            failure_domain: failure_domain.map_or(default.failure_domain, Into::into),
            fabric_domain: fabric.map_or(default.fabric_domain, Into::into),
            platform: Some(flags.platform),
            delay: flags.delay_ms.map_or(default.delay, Duration::from_millis),
            crash_marker: flags.crash_marker.clone(),
        }
    }
}
