//! Gauges that describe the node as a whole, updated every second.

use std::{rc::Rc, time::Duration};

use comfreyturn_adapters::ByteMeter;
use comfreyturn_control::NodeControl;
use comfreyturn_ports::Clock;
use comfreyturn_serving::RequestService;
use comfreyturn_types::{ServiceBackend, VmRole};
use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusHandle;

/// Interval between two updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Updates gauges from the node's state.
pub struct NodeGauges {
    control: Rc<NodeControl>,
    service: Rc<RequestService>,
    clock: Rc<dyn Clock>,
    meter: ByteMeter,
    metrics: PrometheusHandle,
}

impl NodeGauges {
    /// Creates the gauges of one node.
    pub fn new(
        control: Rc<NodeControl>,
        service: Rc<RequestService>,
        clock: Rc<dyn Clock>,
        meter: ByteMeter,
        metrics: PrometheusHandle,
    ) -> Self {
        Self { control, service, clock, meter, metrics }
    }

    /// Updates the gauges once per period; never returns.
    pub async fn run(self) {
        let mut last = self.clock.now();
        loop {
            self.clock.sleep(GAUGE_PERIOD).await;
            let now = self.clock.now();
            self.update(now.saturating_duration_since(last));
            self.metrics.run_upkeep();
            last = now;
        }
    }

    fn update(&self, elapsed: Duration) {
        let now = self.clock.now();
        self.control.set_in_flight(self.service.in_flight());
        gauge!("comfreyturn_requests_in_flight").set(f64::from(self.service.in_flight()));
        gauge!("comfreyturn_config_fresh").set(f64::from(u8::from(self.control.is_fresh(now))));
        counter!("comfreyturn_control_bytes_total", "direction" => "sent")
            .absolute(self.meter.sent());
        counter!("comfreyturn_control_bytes_total", "direction" => "received")
            .absolute(self.meter.received());
        self.update_groups(elapsed);
        self.update_accelerators(elapsed);
    }

    fn update_groups(&self, elapsed: Duration) {
        let now = self.clock.now();
        for service in self.control.config().services.values() {
            let ServiceBackend::Model(backend) = &service.backend else { continue };
            let whole = self.control.whole_groups(now, &service.name).len();
            let whole = u32::try_from(whole).unwrap_or(u32::MAX);
            let missing = f64::from(backend.groups.saturating_sub(whole));
            let name = service.name.to_string();
            gauge!("comfreyturn_groups_whole", "service" => name.clone()).set(f64::from(whole));
            gauge!("comfreyturn_groups_declared", "service" => name.clone())
                .set(f64::from(backend.groups));
            gauge!("comfreyturn_group_downtime_seconds_sum", "service" => name)
                .increment(missing * elapsed.as_secs_f64());
        }
    }

    fn update_accelerators(&self, elapsed: Duration) {
        let now = self.clock.now();
        let stranded: u32 = self
            .control
            .group_status(now)
            .into_iter()
            .filter(|group| group.defect.is_some())
            .flat_map(|group| group.assignment.members)
            .filter_map(|vm| self.control.vm_record(&vm))
            .map(|record| match record.role {
                VmRole::Engine { accelerators } => accelerators,
                VmRole::Entry | VmRole::Plain { .. } => 0,
            })
            .sum();
        gauge!("comfreyturn_accelerators_stranded").set(f64::from(stranded));
        gauge!("comfreyturn_accelerators_stranded_seconds_sum")
            .increment(f64::from(stranded) * elapsed.as_secs_f64());
    }
}
