//! Checks that the result codes are consistent, and that their table in the documentation matches the code.

use bh_protocol::Code;
use std::collections::BTreeSet;
use std::path::PathBuf;

const START: &str = "<!-- table: checked by crates/bh-protocol/tests/docs.rs; BLESS=1 cargo test -p bh-protocol writes it -->\n";

fn table() -> String {
    let mut text = String::from(
        "| code | HTTP | exit | ran | what happened | what to do |\n|---|---|---|---|---|---|\n",
    );
    for code in Code::ALL {
        text.push_str(&format!(
            "| {code} | {} | {} | {} | {} | {} |\n",
            code.http_status(),
            code.exit_status(),
            code.executed().as_str(),
            code.title(),
            code.help()
        ));
    }
    text
}

#[test]
fn documented_codes_are_those_of_the_code() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT-CODES.md");
    let text = std::fs::read_to_string(&path).unwrap();
    let (before, after) = text.split_once(START).unwrap();
    if std::env::var("BLESS").is_ok() {
        std::fs::write(&path, format!("{before}{START}{}", table())).unwrap();
        return;
    }
    assert_eq!(after, table(), "run BLESS=1 cargo test -p bh-protocol");
}

/// Numbers are unique, only `Done` exits with 0, and just the codes from 400 to 499 and from 600 leave open whether the work was
/// executed.
#[test]
fn codes_are_consistent() {
    let numbers: BTreeSet<u32> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
        assert_eq!(code.exit_status() == 0, *code == Code::Done);
        let unknown = code.executed() == bh_protocol::Executed::Unknown;
        assert_eq!(
            unknown,
            (400..500).contains(&code.number()) || code.number() >= 600,
            "{code}"
        );
    }
}
