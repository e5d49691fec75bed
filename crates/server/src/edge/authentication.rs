//! Authentication of a request by the tenant key in its `Authorization` header, as `Bearer KEY` (RFC 6750, section
//! 2.1).

use stileroute_config::{Tenant, TenantTable};

/// Authentication scheme of tenant keys, compared without regard to case (RFC 9110, section 11.1).
const AUTHENTICATION_SCHEME: &str = "Bearer";

/// Why a request could not be authenticated. The error texts reveal nothing about the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// The request carries no key.
    #[error("no key")]
    MissingKey,
    /// The request carries a key that belongs to no tenant.
    #[error("unknown key")]
    UnknownKey,
}

/// Returns the tenant that sent a request, by the request's `Authorization` header.
///
/// # Errors
///
/// Fails if the request has no key, or a key that belongs to no tenant.
pub fn authenticate<'config>(
    tenants: &'config TenantTable,
    authorization: Option<&str>,
) -> Result<&'config Tenant, AuthenticationError> {
    let key = authorization.and_then(bearer_key).ok_or(AuthenticationError::MissingKey)?;
    tenants.tenant_of(key).ok_or(AuthenticationError::UnknownKey)
}

fn bearer_key(authorization: &str) -> Option<&str> {
    let (scheme, key) = authorization.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(AUTHENTICATION_SCHEME) && !key.is_empty()).then_some(key)
}

#[cfg(test)]
mod tests;
