//! Questions callers' work puts to the settings, with the numbered refusal for each.

use crate::Settings;
use crate::token;
use crate::tree::Customer;
use crate::tree::RequestType;
use crate::tree::Team;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::shape::Shape;
use std::sync::Arc;

/// What the settings say about one piece of work.
pub struct Resolved<'a> {
    /// Team that owns the customer.
    pub team_name: &'a Arc<str>,
    /// Its subtree.
    pub team: &'a Team,
    /// The customer.
    pub customer: &'a Customer,
    /// The request type, which decides the priority.
    pub request_type: &'a RequestType,
}

/// Resolves a customer and request type, and checks the caller's token.
///
/// # Errors
///
/// [`Code::UnknownCustomer`], [`Code::UnknownRequestType`] or [`Code::NotAuthorized`].
pub fn resolve<'a>(
    settings: &'a Settings,
    customer: &str,
    request_type: &str,
    token: Option<&str>,
) -> Result<Resolved<'a>, Failure> {
    let (team_name, team) = settings
        .team_of(customer)
        .ok_or_else(|| Failure::new(Code::UnknownCustomer, format!("customer `{customer}`")))?;
    authorize_caller(team, token)?;
    let request_type = team.request_types.get(request_type).ok_or_else(|| {
        Failure::new(
            Code::UnknownRequestType,
            format!("request type `{request_type}` of team `{team_name}`"),
        )
    })?;
    Ok(Resolved {
        team_name,
        team,
        customer: &team.customers[customer],
        request_type,
    })
}

/// The shape `name` of `team`.
///
/// # Errors
///
/// [`Code::UnknownShape`].
pub fn shape(team: &Team, name: &str) -> Result<Shape, Failure> {
    team.shapes
        .get(name)
        .copied()
        .ok_or_else(|| Failure::new(Code::UnknownShape, format!("shape `{name}`")))
}

/// Whether `token` may send work for `team`.
///
/// # Errors
///
/// [`Code::NotAuthorized`].
pub fn authorize_caller(team: &Team, token: Option<&str>) -> Result<(), Failure> {
    if team.caller_tokens_sha256.is_empty() {
        return Ok(());
    }
    let digest = token.map(token::digest);
    let known = digest.is_some_and(|digest| {
        token::is_among(&digest, &team.caller_tokens_sha256)
            | token::is_among(&digest, &team.operator_tokens_sha256)
    });
    if known {
        Ok(())
    } else {
        Err(Failure::new(
            Code::NotAuthorized,
            "a caller's token of the team",
        ))
    }
}
