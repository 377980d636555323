//! A small deployment with the numbers of a site of today: entry machines, model servers in fabric
//! domains, and clients.

use std::{
    net::SocketAddr,
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    engines::{Engine, Fleet},
    record::Record,
    site::{Clients, Kind, Net, Node, ZONES, config, wait_until},
    store::Store,
};

pub const SERVICE: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";

const NODES: u8 = 9;
const SERVERS: u8 = 60;
const DOMAINS: usize = 6;
const CLIENTS: usize = 90;

/// Traffic starts this long after the machines do.
const LEAD: Duration = Duration::from_secs(10);

pub struct Setup {
    pub record: Record,
    pub store: Store,
    pub fleet: Fleet,
    pub nodes: Vec<Node>,
}

impl Setup {
    /// Starts all of it, and waits until groups serve. `None` if they don't.
    pub fn start(folder: &Path, temporary: &Path) -> Option<Self> {
        let record = Record::create(&folder.join("record.txt")).ok()?;
        let net = Net::free()?;
        let store = Store::start(net.address(4, 1, 8223)).ok()?;
        store.put("op", "config", &config(7, SERVICE, PLAIN));
        let engines = (0..SERVERS).map(|number| {
            let place = usize::from(number);
            let address = net.address(2, number + 1, 8080);
            Engine::new(
                place,
                address,
                ZONES[place % ZONES.len()],
                &format!("domain-{}", place % DOMAINS),
            )
        });
        let fleet = Fleet::start(SERVICE, engines.collect(), store.clone(), record.clone()).ok()?;
        sleep(Duration::from_secs(2));
        let mut nodes = Vec::new();
        for number in 1..=NODES {
            let mut node = Node::write(&net, number, store.address, temporary).ok()?;
            node.start().ok()?;
            nodes.push(node);
        }
        let started_at = Instant::now();
        if !wait_until(Duration::from_secs(20), || fleet.lock().open_groups() >= 8) {
            record.say("the groups did not open");
            return None;
        }
        sleep(LEAD.saturating_sub(started_at.elapsed()));
        record.say(&format!("traffic starts; open groups: {}", fleet.lock().open_groups()));
        fleet.lock().has_traffic = true;
        Some(Self { record, store, fleet, nodes })
    }

    /// Starts clients that ask for streams of both models.
    pub fn start_clients(&self) -> Clients {
        let stream = |model: &str| Kind {
            path: "/lohu930/".to_owned(),
            method: "POST",
            headers: format!(
                "Model: {model}\r\nToken-Counts: 1460,170\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:1420\r\n"
            ),
            deadline_ms: 8000,
        };
        let directories: Vec<SocketAddr> = self.nodes.iter().map(|node| node.directory).collect();
        let kinds = [stream("m-large"), stream("m-small")];
        Clients::start(CLIENTS, Duration::from_millis(50), &kinds, &directories, &self.record)
    }

    /// Ends the clients and tells whether a rule was broken.
    pub fn judge(self, clients: Clients) -> bool {
        let outcomes = clients.finish();
        let world = self.fleet.lock();
        let record = &self.record;
        record.say(&format!(
            "joins {}, runs {}, runs that were cut {}",
            world.joins, world.runs, world.cut_runs
        ));
        record.say(&format!("clients: {outcomes:?}"));
        record.say(&format!(
            "TWO broken {} times, PARTIAL {} times",
            world.two.len(),
            world.partial.len()
        ));
        !world.two.is_empty() || !world.partial.is_empty()
    }
}
