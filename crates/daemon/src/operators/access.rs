//! Permission to make changes.

use ntex::{http::header::AUTHORIZATION, web::HttpRequest};
use subtle::ConstantTimeEq;

use super::refusal::Refusal;

/// Checks the bearer token of a request. The time taken does not depend on the token's characters.
pub(super) fn check(request: &HttpRequest, token: &str) -> Result<(), Refusal> {
    let header = request.headers().get(AUTHORIZATION);
    let text = header.and_then(|value| value.to_str().ok());
    let given = text.and_then(|text| text.split_once(' '));
    let given = given.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let Some((_, given)) = given else {
        return Err(Refusal::Unauthorized("the change has no bearer token"));
    };
    match given.trim().as_bytes().ct_eq(token.as_bytes()).into() {
        true => Ok(()),
        false => Err(Refusal::Unauthorized("the token is wrong")),
    }
}
