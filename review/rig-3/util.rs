//! Time, the record of a case, random numbers and a few calls of the C library.

use std::{
    fs::File,
    io::Write,
    os::fd::AsRawFd,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static SEED: Mutex<u64> = Mutex::new(0);

/// Opens the record of the case.
pub fn open_record(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    RECORD.get_or_init(|| Mutex::new(file));
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_nanos();
    *SEED.lock().unwrap() = nanos as u64 | 1;
}

/// Seconds since the start of the case.
pub fn now_s() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Writes a line to the record.
pub fn record(text: &str) {
    if let Some(file) = RECORD.get() {
        let line = format!("{:8.3} {text}\n", now_s());
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Writes a line to the record and to the standard output.
pub fn tell(text: &str) {
    record(text);
    println!("{text}");
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn sleep_until(at_s: f64) {
    let left = at_s - now_s();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// A random number.
pub fn random() -> u64 {
    let mut seed = SEED.lock().unwrap();
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    *seed
}

/// A random number below `limit`.
pub fn random_below(limit: usize) -> usize {
    (random() % limit.max(1) as u64) as usize
}

/// A new identifier of a request or a server.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let number = number << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position > chunk.len() {
                text.push('=');
            } else {
                let index = number >> (18 - 6 * position) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            }
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        number = (number << 6 | value as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    bytes
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this case started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: the call has no effect on the memory of this process.
    unsafe { kill(pid as i32, number) };
}

/// Makes the system end this process when its parent ends.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the option takes the number of a signal.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    Ok(())
}

/// Makes closing a socket reset its connection.
pub fn reset_on_close(socket: &impl AsRawFd) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the option has this type and size on Linux.
    unsafe {
        setsockopt(
            socket.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            &linger,
            std::mem::size_of::<Linger>() as u32,
        )
    };
}
