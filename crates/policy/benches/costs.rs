//! Measures the processor time of one decision, by the number of groups and customers.
//!
//! `cargo bench -p comfreyturn_policy --bench costs`

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use comfreyturn_policy::{
    AdmissionDecision, AdmissionQuery, AdmissionQueue, CapacityShare, CustomerShare, FairQueue,
    FairQueueSettings, GroupRouter, LoadRouter, LoadRouterSettings, PriorityClass, RouteEnd,
    RouteQuery, WholeGroup,
};
use comfreyturn_types::{
    CustomerName, FabricDomain, FailureDomain, GroupAssignment, GroupGeneration, GroupId,
    ModelName, ModelVersionName, ServiceName, VmId, VmLoad, VmRecord, VmRole,
};

const ROUNDS: u32 = 2_000;

fn main() {
    for count in [12, 120, 1_200] {
        let groups: Vec<_> = (0..count).map(new_group).collect();
        println!("{count:>5} groups     choose   {:>9.2?}", time_choose(&groups));
        println!("{count:>5} groups     capacity {:>9.2?}", time_capacity(&groups));
    }
    for count in [10, 100, 1_000] {
        println!("{count:>5} customers  admit    {:>9.2?}", time_admit(count));
    }
}

/// Mean time of one call of `work`.
fn time(mut work: impl FnMut(u32)) -> Duration {
    (0..ROUNDS / 10).for_each(&mut work);
    let start = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    start.elapsed() / ROUNDS
}

fn time_choose(groups: &[WholeGroup]) -> Duration {
    let now = Instant::now();
    let mut router = LoadRouter::new(LoadRouterSettings::default(), 1);
    time(|round| {
        let query = RouteQuery {
            customer: CustomerName::from("c"),
            prefix: round.into(),
            prompt_tokens: 100,
            avoid: Vec::new(),
        };
        let at = now + Duration::from_millis(round.into());
        if let Some(group) = router.choose(at, &query, groups) {
            router.started(at, &group, &query);
            router.first_token(at, &group, Duration::from_millis(50));
            router.ended(at, &group, RouteEnd::Finished);
        }
    })
}

fn time_capacity(groups: &[WholeGroup]) -> Duration {
    let now = Instant::now();
    let mut share = CapacityShare::default();
    time(|round| {
        let at = now + Duration::from_millis(round.into());
        black_box(share.capacity(at, groups, round % 50, 8));
    })
}

/// Time to admit and finish a request while each customer has one waiting request.
fn time_admit(customers: u32) -> Duration {
    let now = Instant::now();
    let service = ServiceName::from("s");
    let long = Duration::from_secs(1_000_000);
    let settings = FairQueueSettings { max_standard_wait: long, ..Default::default() };
    let mut queue = FairQueue::new(settings, 1);
    queue.set_capacity(now, &service, 1);
    let share = CustomerShare { requests_per_second: 1e9, tokens_per_second: 1e12 };
    let query = |customer: u32| AdmissionQuery {
        customer: CustomerName::from(format!("c{customer}")),
        weight: 1,
        class: PriorityClass::Standard,
        service: service.clone(),
        tokens: 100,
        deadline: now + long,
    };
    let mut running = None;
    for customer in 0..customers {
        queue.set_share(now, &query(customer).customer, share);
        if let AdmissionDecision::Run(ticket) = queue.submit(now, &query(customer)) {
            running = Some(ticket);
        }
    }
    time(|round| {
        black_box(queue.submit(now, &query(round % customers)));
        if let Some(ticket) = running {
            queue.finish(now, ticket, 100);
        }
        running = queue.release(now).first().map(|(ticket, _)| *ticket);
    })
}

fn new_group(index: u32) -> WholeGroup {
    let head = VmRecord {
        vm: VmId::from(format!("vm-{index}")),
        role: VmRole::Engine { accelerators: 4 },
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: FailureDomain::from("fd-1"),
        fabric_domain: FabricDomain::from("fabric-1"),
        leaving: false,
    };
    let assignment = GroupAssignment {
        group: GroupId::from(format!("g{index}")),
        generation: GroupGeneration(1),
        service: ServiceName::from("s"),
        model: ModelName::from("m"),
        version: ModelVersionName::from("1"),
        adapters: Vec::new(),
        members: vec![head.vm.clone()],
    };
    let load = VmLoad { running: 4, capacity: 16, ..Default::default() };
    WholeGroup { assignment, head, load, load_at: Instant::now() }
}
