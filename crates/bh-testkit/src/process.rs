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
