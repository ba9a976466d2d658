//! Parses one line of a log.

use std::collections::BTreeMap;

/// Text that marks the word with the source file and line, such as `records.rs:68`, which comes before the message.
const SOURCE_FILE: &str = ".rs:";

/// A log line: its time, message and fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// Time of the line, in milliseconds since 1970.
    pub at_ms: u64,
    /// Text of the message.
    pub message: String,
    /// Values of the fields by key. A value that contains spaces is cut at the first one.
    pub fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Parses a line; returns `None` for text that is not a log line. Skips everything before the time, which a log collector may have added.
    pub fn parse(line: &'a str) -> Option<Self> {
        let mut words = line.split_whitespace();
        let at_ms = words.by_ref().find_map(parse_time_ms)?;
        words.by_ref().find(|word| word.contains(SOURCE_FILE))?;
        let mut message = Vec::new();
        let mut fields = BTreeMap::new();
        for word in words {
            match word.split_once('=') {
                Some((key, value)) => {
                    fields.insert(key, value);
                }
                None if fields.is_empty() => message.push(word),
                None => {}
            }
        }
        Some(Self {
            at_ms,
            message: message.join(" "),
            fields,
        })
    }

    /// Returns the value of a numeric field.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.fields.get(key)?.parse().ok()
    }
}

/// Parses a UTC time such as `2026-05-11T02:02:39.036421+00:00` into milliseconds since 1970.
fn parse_time_ms(word: &str) -> Option<u64> {
    const MS_PER_DAY: u64 = 86_400_000;
    let (date, time) = word.split_once('T')?;
    let time = time.strip_suffix("+00:00").or(time.strip_suffix('Z'))?;
    let mut date = date.split('-').map(|part| part.parse::<u64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':');
    let hour: u64 = time.next()?.parse().ok()?;
    let minute: u64 = time.next()?.parse().ok()?;
    let (second, fraction) = time.next()?.split_once('.')?;
    let second: u64 = second.parse().ok()?;
    let ms: u64 = fraction.get(..3)?.parse().ok()?;
    let time_of_day_ms = ((hour * 60 + minute) * 60 + second) * 1_000 + ms;
    Some(days_since_1970(year, month, day)? * MS_PER_DAY + time_of_day_ms)
}

/// Returns the days from 1970-01-01 to a date of the Gregorian calendar. Counts in years that begin in March, so that a leap day is the last of its year.
fn days_since_1970(year: u64, month: u64, day: u64) -> Option<u64> {
    /// Days from the first of March of the year 0 to 1970-01-01.
    const DAYS_TO_1970: u64 = 719_468;
    let year = if month <= 2 {
        year.checked_sub(1)?
    } else {
        year
    };
    let month_from_march = (month + 9) % 12;
    let day_of_year = (153 * month_from_march + 2) / 5 + day.checked_sub(1)?;
    let days = year * 365 + year / 4 - year / 100 + year / 400 + day_of_year;
    days.checked_sub(DAYS_TO_1970)
}
