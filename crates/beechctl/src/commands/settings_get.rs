//! `beechctl settings get`: prints the settings in force as YAML, to edit and apply.

use crate::client::Client;
use crate::output::Output;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_settings::Settings;
use bytes::Bytes;
use clap::Command;
use serde_json::json;

pub fn command() -> Command {
    Command::new("get")
        .about("Prints the settings in force and their revision")
        .after_help("Example:\n  beechctl settings get > settings.yaml")
}

pub async fn run(client: &Client, output: &Output) -> Result<u8, Failure> {
    let (revision, yaml) = fetch(client).await?;
    output.show(&json!({ "revision": revision, "yaml": yaml }), |_| {
        format!("# revision {revision}\n{yaml}")
    });
    Ok(0)
}

/// Fetches the revision and YAML of the settings that the entry has in force.
pub async fn fetch(client: &Client) -> Result<(u64, String), Failure> {
    let response = client
        .call("GET", "/v1/settings", Bytes::new(), &[])
        .await?;
    let revision = response
        .headers()
        .get("x-revision")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let revision =
        revision.ok_or_else(|| Failure::new(Code::Unreachable, "the response has no revision"))?;
    let yaml = String::from_utf8(response.body().to_vec())
        .map_err(|_| Failure::new(Code::Unreachable, "the settings are not UTF-8"))?;
    Ok((revision, yaml))
}

/// Fetches and parses the settings that the entry has in force, with their revision.
pub async fn fetch_settings(client: &Client) -> Result<(u64, Settings), Failure> {
    let (revision, yaml) = fetch(client).await?;
    let settings = Settings::parse("in force", yaml.as_bytes()).map_err(|_| {
        Failure::new(
            Code::Unreachable,
            "the settings in force cannot be read by this version",
        )
    })?;
    Ok((revision, settings))
}
