//! Checks requests and jobs against the settings; each refusal has a result code.

use crate::Settings;
use crate::token;
use crate::tree::Customer;
use crate::tree::RequestType;
use crate::tree::Team;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::shape::Shape;
use std::sync::Arc;

/// The settings that apply to one request or job.
pub struct Resolved<'a> {
    /// Team that owns the customer.
    pub team_name: &'a Arc<str>,
    /// Settings of that team.
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

/// Finds the shape `name` of `team`.
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

/// Checks that `token` allows its holder to send work for `team`: it is a caller or operator token, or the team requires none.
///
/// # Errors
///
/// [`Code::NotAuthorized`].
pub fn authorize_caller(team: &Team, token: Option<&str>) -> Result<(), Failure> {
    if team.caller_tokens_sha256.is_empty() {
        return Ok(());
    }
    let digest = token.map(token::digest);
    let is_known = digest.is_some_and(|digest| {
        token::is_among(&digest, &team.caller_tokens_sha256)
            | token::is_among(&digest, &team.operator_tokens_sha256)
    });
    if is_known {
        Ok(())
    } else {
        Err(Failure::new(
            Code::NotAuthorized,
            "a caller or operator token of the team is required",
        ))
    }
}
