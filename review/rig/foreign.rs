//! The entries of some servers come from another writer, which leaves out the fields on groups.

use std::{path::Path, thread::sleep, time::Duration};

use crate::setup::{SERVICE, Setup};

/// Entries from another writer.
const ENTRIES: usize = 3;

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Option<bool> {
    let setup = Setup::start(folder, temporary)?;
    let clients = setup.start_clients();
    sleep(Duration::from_secs(5));
    let heads: Vec<_> = {
        let world = setup.fleet.lock();
        let is_head = |group: &crate::engines::Membership| group.rank == 0 && group.state == "open";
        let heads = world.engines.iter().filter(|one| one.group.as_ref().is_some_and(is_head));
        heads.take(ENTRIES).cloned().collect()
    };
    for head in heads.iter().filter(|_| trouble) {
        let entry = without_group(&head.entry(SERVICE));
        setup.record.say(&format!("another writer puts servers/{} = {entry}", head.id));
        setup.store.put("servers", &head.id, &entry);
        sleep(Duration::from_secs(3));
    }
    sleep(Duration::from_secs(5));
    Some(setup.judge(clients))
}

/// The entry without its field `group`.
fn without_group(entry: &str) -> String {
    let start = entry.find(",\"group\":{").expect("the entry names a group");
    let end = start + entry[start..].find('}').expect("the group ends") + 1;
    format!("{}{}", &entry[..start], &entry[end..])
}
