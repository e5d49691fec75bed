//! Who sends a request: the tenant whose key it carries in `Authorization`, as `Bearer KEY` (RFC 6750, 2.1).

use stileroute_config::{Tenant, TenantTable};

/// The scheme of a tenant's key, compared without case (RFC 9110, 11.1).
const SCHEME: &str = "Bearer";

/// Why a request's sender is not known. Neither says anything of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// It carries no key.
    #[error("no key")]
    MissingKey,
    /// It carries one that no tenant has.
    #[error("unknown key")]
    UnknownKey,
}

/// The tenant that sends a request, by its `Authorization` header.
///
/// # Errors
///
/// Where it has no key, or one of no tenant.
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
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then_some(key)
}

#[cfg(test)]
mod tests;
