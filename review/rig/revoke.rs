//! A key is taken away. The store comes back from a copy that is older, and a process that starts
//! then reads the configuration that still has the key.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    engines::reply,
    http::{listen, read_message},
    record::Record,
    setup::{PLAIN, SERVICE},
    site::{HOST, KEY, Net, Node, SIGKILL, config, wait_until},
    store::Store,
};

const NODES: u8 = 3;

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5000);

/// From the acknowledgement until the store is away, and for how long it is.
const UNTIL_AWAY: Duration = Duration::from_millis(3600);
const AWAY: Duration = Duration::from_secs(1);

/// From the return of the store until the operator has written its configuration again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1500);

/// The key that is taken away.
const TAKEN_KEY: &str = "anfqasnmgkcuyj8pjbvk";

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Option<bool> {
    let record = Record::create(&folder.join("record.txt")).ok()?;
    let net = Net::free()?;
    let store = Store::start(net.address(4, 1, 8223)).ok()?;
    let with_key = config(7, SERVICE, PLAIN)
        .replace(&format!("\"{KEY}\"]"), &format!("\"{KEY}\",\"{TAKEN_KEY}\"]"));
    let without_key = config(8, SERVICE, PLAIN);
    store.put("op", "config", &with_key);
    let address = net.address(3, 1, 8080);
    static RAN: Mutex<Vec<String>> = Mutex::new(Vec::new());
    let server_record = record.clone();
    listen(address, move |stream| serve(stream, &RAN, &server_record)).ok()?;
    let entry = format!(
        r#"{{"service":"{PLAIN}","addr":"{address}","zone":"zone-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"born":1700000000000,"seq":1}}"#
    );
    let beating = store.clone();
    std::thread::spawn(move || {
        loop {
            beating.put("servers", "p-1", &entry);
            sleep(Duration::from_millis(1200));
        }
    });
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        let mut node = Node::write(&net, number, store.address, temporary).ok()?;
        node.start().ok()?;
        nodes.push(node);
    }
    if !wait_until(Duration::from_secs(15), || nodes.iter().all(Node::is_ready)) {
        record.say("the nodes are not ready");
        return None;
    }
    sleep(Duration::from_secs(2));
    let front = nodes[0].front;
    let usable = wait_until(Duration::from_secs(5), || ask(front, TAKEN_KEY, &record).1 == 200);
    if !usable {
        record.say("the key is not accepted before it is taken away");
        return None;
    }
    let copy_at = Instant::now();
    sleep(Duration::from_millis(150));
    store.put("op", "config", &without_key);
    let acked_at = Instant::now();
    record.say("the config without the key is acknowledged");
    sleep(Duration::from_secs(3));
    record.say(&format!("3 s later the key is answered {}", ask(front, TAKEN_KEY, &record).1));
    sleep(UNTIL_AWAY.saturating_sub(acked_at.elapsed()));
    let mut back_at = Instant::now() + AWAY;
    if trouble {
        store.leave();
        sleep(AWAY);
        store.come_back(Some(copy_at));
        back_at = Instant::now();
        record.say(&format!(
            "the store is back from a copy that is {} ms old",
            copy_at.elapsed().as_millis()
        ));
    } else {
        sleep(AWAY);
    }
    record.say(&format!("{} is killed and starts again", nodes[0].name));
    nodes[0].signal(SIGKILL);
    nodes[0].end();
    sleep(Duration::from_millis(300));
    nodes[0].start_again().ok()?;
    let mut is_written = false;
    let mut broken = 0;
    while acked_at.elapsed() < Duration::from_secs(10) {
        if !is_written && back_at.elapsed() >= WRITTEN_AGAIN {
            store.put("op", "config", &without_key);
            record.say("the operator has written its config again");
            is_written = true;
        }
        let sent_after = acked_at.elapsed();
        let (id, status) = ask(front, TAKEN_KEY, &record);
        if sent_after > REVOKE && RAN.lock().unwrap().contains(&id) {
            broken += 1;
            record.line(&format!(
                "BROKEN CONFIG: {id}, sent {} ms after the acknowledgement, ran and was answered {status}",
                sent_after.as_millis()
            ));
        }
        sleep(Duration::from_millis(20));
    }
    record.say(&format!("CONFIG broken {broken} times"));
    Some(broken > 0)
}

fn serve(stream: TcpStream, ran: &Mutex<Vec<String>>, record: &Record) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("attempt-id").to_owned();
        record.line(&format!("server ran {id} for tenant {}", request.header("tenant")));
        ran.lock().unwrap().push(id.clone());
        let headers =
            format!("Instance-Id: p-1\r\nAttempt-Id: {id}\r\nResponse-Signature: s.{id}\r\n");
        reply(&mut writer, 200, &headers, "{}");
    }
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Sends a request with a key; returns its id and the status, zero without an answer.
fn ask(front: SocketAddr, key: &str, record: &Record) -> (String, u16) {
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "POST /puxa403/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = || {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    };
    let status = answer().map_or(0, |answer| answer.status());
    record.line(&format!("client: {id} is answered {status}"));
    (id, status)
}
