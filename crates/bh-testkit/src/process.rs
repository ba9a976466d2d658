//! Resource usage of a process, read from `/proc`.

/// CPU time that the process has used, in milliseconds.
pub fn cpu_ms(pid: u32) -> f64 {
    const TICKS_A_SECOND: f64 = 100.0;
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_A_SECOND * 1e3
}

/// Resident memory of the process, in mebibytes.
pub fn resident_mib(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    text.split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 4_096.0
        / f64::from(1 << 20)
}

/// Resident memory of the process, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmRSS:")
}

/// Largest resident memory that the process has had, in bytes.
pub fn peak_resident_bytes(pid: u32) -> u64 {
    status_bytes(pid, "VmHWM:")
}

fn status_bytes(pid: u32, field: &str) -> u64 {
    const BYTES_PER_KB: u64 = 1_024;
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = text.lines().find_map(|line| line.strip_prefix(field));
    let kb = value.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * BYTES_PER_KB
}

/// Number of files and connections that the process has open.
pub fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Bytes that the system holds for the connections accepted on the ports: received and not read yet, or written and not sent yet.
pub fn queued_bytes(ports: &[u16]) -> u64 {
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    text.lines()
        .filter_map(|line| queued_on_line(line, ports))
        .sum()
}

/// Bytes in both queues of one line of `/proc/net/tcp`, if its local port is one of `ports` and it does not listen.
fn queued_on_line(line: &str, ports: &[u16]) -> Option<u64> {
    const LISTENS: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let local = fields.next()?;
    let state = fields.nth(1)?;
    let (sending, receiving) = fields.next()?.split_once(':')?;
    let port = u16::from_str_radix(local.split_once(':')?.1, 16).ok()?;
    if state == LISTENS || !ports.contains(&port) {
        return None;
    }
    let bytes = |hex| u64::from_str_radix(hex, 16).ok();
    Some(bytes(sending)? + bytes(receiving)?)
}
