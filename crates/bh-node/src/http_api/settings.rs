//! `POST /v1/settings` and `GET /v1/settings`: change and read the settings.

use super::answer;
use crate::node::Node;
use crate::node::SETTINGS_GROUP;
use crate::node::from_json;
use crate::node::to_json;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::settings::Change;
use bh_settings::Settings;
use bh_settings::machine::Command;
use bh_settings::machine::Outcome;
use bh_settings::token;
use bytes::Bytes;
use http::Request;
use http::Response;
use std::rc::Rc;

/// Longest wait for a quorum, in milliseconds.
const APPLY_TIMEOUT_MS: u64 = 5_000;
/// Longest change id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Applies a change. The answer is sent when the change is synced on a quorum or refused by the state machine.
pub(super) async fn apply(
    node: &Rc<Node>,
    request: &Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let change: Change = answer::read(node, request).await?;
    let presented = answer::token(request.headers())
        .ok_or_else(|| Failure::new(Code::NotAuthorized, "a change of settings"))?;
    if change.change_id.is_empty() || change.change_id.len() > MAX_ID_BYTES {
        return Err(Failure::new(
            Code::MalformedBody,
            format!("`change_id` must have 1 to {MAX_ID_BYTES} bytes"),
        ));
    }
    let settings = Settings::parse("settings", change.yaml.as_bytes()).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("{problem}; {}", problem.help))
            .collect();
        Failure::new(Code::InvalidSettings, lines.join("\n"))
    })?;
    let command = Command {
        change_id: change.change_id,
        base_revision: change.base_revision,
        scope: change.scope,
        token_sha256: token::digest(presented),
        bootstrap_sha256: node.config.bootstrap_token_sha256.clone(),
        settings,
    };
    let answer = node
        .propose(SETTINGS_GROUP, to_json(&command)?, APPLY_TIMEOUT_MS)
        .await?;
    let accepted = from_json::<Outcome>(&answer)?.into_result()?;
    log::info!(revision = accepted.revision, change = &*command.change_id; "settings changed");
    Ok(answer::json(&accepted))
}

/// The settings in force on this entry, as YAML, with their revision in a header. Only administrators see the digests of
/// tokens.
pub(super) fn get(node: &Rc<Node>, request: &Request<Bytes>) -> Result<Response<Bytes>, Failure> {
    let (revision, settings) = node.settings_in_force();
    let mut shown = (*settings).clone();
    let digest = answer::token(request.headers()).map(token::digest);
    let is_administrator = digest.is_some_and(|digest| {
        token::is_among(&digest, &settings.system.administrator_tokens_sha256)
    });
    if !is_administrator {
        shown.system.administrator_tokens_sha256.clear();
        for team in shown.teams.values_mut() {
            team.operator_tokens_sha256.clear();
            team.caller_tokens_sha256.clear();
        }
    }
    let mut response = answer::text("application/yaml", shown.to_yaml()?);
    if let Ok(value) = http::HeaderValue::from_str(&revision.to_string()) {
        response.headers_mut().insert("x-revision", value);
    }
    Ok(response)
}
