//! Checks that the key tables in the documentation match the code, and that the example settings are valid.

use bh_settings::EntryConfig;
use bh_settings::Settings;
use bh_settings::entry_key::ENTRY_KEYS;
use bh_settings::key::Key;
use bh_settings::key::Kind;
use bh_settings::key::SETTINGS_KEYS;
use rstest::rstest;
use std::path::PathBuf;

const NOTE: &str =
    "checked by crates/bh-settings/tests/docs.rs; BLESS=1 cargo test -p bh-settings writes it";

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn row(key: &Key) -> String {
    let (holds, default) = match key.kind {
        Kind::Number { min, max, default } => {
            let unit = if key.unit.is_empty() {
                String::new()
            } else {
                format!(" {}", key.unit)
            };
            (
                format!("{min} to {max}{unit}"),
                default.map_or("required".to_owned(), |value| value.to_string()),
            )
        }
        Kind::Flag { default } => ("true or false".to_owned(), default.to_string()),
        Kind::Choice { words, required } => (
            words.join(", "),
            if required {
                "required".to_owned()
            } else {
                words[0].to_owned()
            },
        ),
        Kind::Text { required } => (
            "text".to_owned(),
            if required { "required" } else { "none" }.to_owned(),
        ),
        Kind::Texts => ("list of texts".to_owned(), "empty".to_owned()),
        Kind::Section => ("section".to_owned(), "defaults".to_owned()),
        Kind::Named => ("sections by name".to_owned(), "empty".to_owned()),
        Kind::List => ("list of sections".to_owned(), "empty".to_owned()),
    };
    format!(
        "| `{}` | {holds} | {default} | {} |\n",
        key.path, key.meaning
    )
}

fn table(keys: &[Key]) -> String {
    let head = "| key | holds | default | meaning |\n|---|---|---|---|\n".to_owned();
    keys.iter().map(row).fold(head, |text, row| text + &row)
}

#[rstest]
#[case("settings", SETTINGS_KEYS)]
#[case("entry", ENTRY_KEYS)]
fn documented_keys_are_those_of_the_code(#[case] name: &str, #[case] keys: &[Key]) {
    let path = root().join("docs/SETTINGS.md");
    let text = std::fs::read_to_string(&path).unwrap();
    let (start, end) = (
        format!("<!-- {name} table: {NOTE} -->\n"),
        format!("<!-- end of {name} table -->\n"),
    );
    let (before, rest) = text.split_once(&start).unwrap();
    let (found, after) = rest.split_once(&end).unwrap();
    if std::env::var("BLESS").is_ok() {
        std::fs::write(&path, format!("{before}{start}{}{end}{after}", table(keys))).unwrap();
        return;
    }
    assert_eq!(
        found,
        table(keys),
        "run BLESS=1 cargo test -p bh-settings -- --test-threads 1"
    );
}

/// Each example has four customers, and guarantees that fit into its racks and take at most three quarters of its accelerators.
#[rstest]
#[case("kaupluseuhendus", 3, 50, 8)]
#[case("manizales", 4, 50, 6)]
fn examples_are_valid(
    #[case] name: &str,
    #[case] data_centres: usize,
    #[case] workers: u32,
    #[case] per_rack: u32,
) {
    let bytes = std::fs::read(root().join(format!("examples/{name}/settings.yaml"))).unwrap();
    let settings = Settings::parse(name, &bytes).unwrap_or_else(|problems| panic!("{problems:?}"));
    let customers: Vec<_> = settings
        .teams
        .values()
        .flat_map(|team| {
            team.customers
                .values()
                .map(move |customer| (team, customer))
        })
        .collect();
    assert_eq!(customers.len(), 4);
    let mut guaranteed = 0;
    for (team, customer) in customers {
        for guarantee in &customer.guarantees {
            let shape = team.shapes[&guarantee.shape];
            assert!(
                shape.accelerators() <= per_rack * 8,
                "{} does not fit a rack",
                guarantee.shape
            );
            guaranteed += shape.accelerators() * guarantee.count;
        }
    }
    assert!(
        guaranteed > 0 && guaranteed <= workers * 8 * 3 / 4,
        "{guaranteed} accelerators are guaranteed"
    );
    let bytes = std::fs::read(root().join(format!("examples/{name}/entry.yaml"))).unwrap();
    let config = EntryConfig::parse(name, &bytes).unwrap_or_else(|problems| panic!("{problems:?}"));
    assert_eq!(
        (config.entries.len(), config.data_centres().len()),
        (8, data_centres)
    );
    assert_eq!(config.settings_voters().len(), 5);
    for data_centre in config.data_centres() {
        assert_eq!(config.jobs_voters(&data_centre).len(), 3);
    }
}
