//! The store is away for a moment and comes back from a copy some seconds old, while servers are
//! replaced in their groups as planned.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    engines::Fleet,
    setup::{PLAIN, SERVICE, Setup},
    site::{config, wait_until},
};

/// Servers that are taken away: 8 in 100.
const LEAVING: usize = 5;

/// How often.
const ROUNDS: u32 = 3;

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Option<bool> {
    let setup = Setup::start(folder, temporary)?;
    let Setup { record, store, fleet, .. } = &setup;
    let clients = setup.start_clients();
    sleep(Duration::from_secs(4));
    for round in 1..=ROUNDS {
        let copy_at = Instant::now();
        sleep(Duration::from_millis(150));
        let leaving = members_to_drain(fleet);
        let before = fleet.lock().newest_epoch();
        leaving.iter().for_each(|number| fleet.drain(*number));
        let formed = || fleet.lock().open_since(before);
        wait_until(Duration::from_millis(3500), || formed() >= 3);
        record.say(&format!(
            "round {round}: {} servers leave, {} groups were formed anew",
            leaving.len(),
            formed()
        ));
        sleep(Duration::from_millis(200));
        if trouble {
            record.say(&format!("the store is away; open groups: {}", fleet.lock().open_groups()));
            store.leave();
            sleep(AWAY);
            store.come_back(Some(copy_at));
            let age = copy_at.elapsed().as_millis();
            record.say(&format!("the store is back from a copy that is {age} ms old"));
            store.put("op", "config", &config(7, SERVICE, PLAIN));
        }
        sleep(Duration::from_secs(9));
    }
    Some(setup.judge(clients))
}

/// The last members of groups that serve, one of each group.
fn members_to_drain(fleet: &Fleet) -> Vec<usize> {
    let world = fleet.lock();
    let members = world.engines.iter().enumerate().filter(|(_, engine)| {
        engine.group.as_ref().is_some_and(|group| {
            group.members.len() > 1
                && group.rank + 1 == group.members.len()
                && group.state == "ready"
        })
    });
    members.map(|(number, _)| number).take(LEAVING).collect()
}
