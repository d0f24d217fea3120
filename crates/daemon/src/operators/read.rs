//! Reports for operators.

use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Path, Query},
};
use ragwortrill_core::{
    archive::Filter,
    key::Digest,
    name,
    node::Node,
    number::{Offset, Version},
    report::TableVersion,
    request,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{State, refusal::Refusal};

/// Records in an audit that states no limit.
const DEFAULT_AUDIT: usize = 100;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyQuery {
    service: Option<name::Service>,
    key: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    since: Option<Offset>,
    service: Option<name::Service>,
    limit: Option<usize>,
}

pub(super) async fn status(desk: State) -> HttpResponse {
    let now = desk.site.shell.clock.now();
    answer(look(&desk, move |node| Ok(node.status(now))).await)
}

pub(super) async fn table(desk: State) -> HttpResponse {
    let edition = |node: &Node| {
        Ok(TableVersion {
            version: node.ledger().version(),
            table: node.ledger().table().clone(),
        })
    };
    answer(look(&desk, edition).await)
}

pub(super) async fn history(desk: State) -> HttpResponse {
    answer(look(&desk, |node| Ok(node.ledger().archive().revisions())).await)
}

pub(super) async fn edition(desk: State, version: Path<String>) -> HttpResponse {
    let version = word::<Version>(&version, "a version", "write a whole number");
    let table = async {
        let version = version?;
        let table = move |node: &Node| {
            let edition = node.ledger().archive().table(version);
            edition.map(|edition| edition.table).ok_or_else(|| {
                missing(
                    format!("version {version} of the table is not stored"),
                    "list the stored versions at /v1/table/history",
                )
            })
        };
        look(&desk, table).await
    };
    answer(table.await)
}

pub(super) async fn owners(desk: State, request: HttpRequest) -> HttpResponse {
    let owners = async {
        let KeyQuery { service, key } = query(&request)?;
        if key.is_some() && service.is_none() {
            return Err(Refusal::malformed("a key needs a service", "add service="));
        }
        let owners = move |node: &Node| {
            if let Some(service) = &service {
                is_known(node, service)?;
            }
            Ok(match service.as_ref().zip(key) {
                Some((service, key)) => {
                    let digest = Digest::new(service, key.as_bytes());
                    node.owner_of(service, digest).into_iter().collect()
                }
                None => node.owners(service.as_ref()),
            })
        };
        look(&desk, owners).await
    };
    answer(owners.await)
}

pub(super) async fn audit(desk: State, request: HttpRequest) -> HttpResponse {
    let audit = async {
        let query: AuditQuery = query(&request)?;
        let filter = Filter {
            since: query.since,
            service: query.service,
            limit: query.limit.unwrap_or(DEFAULT_AUDIT),
        };
        look(&desk, move |node| {
            Ok(node.ledger().archive().audit(&filter))
        })
        .await
    };
    answer(audit.await)
}

pub(super) async fn explain(desk: State, request: HttpRequest) -> HttpResponse {
    let now = desk.site.shell.clock.now();
    let explanation = async {
        let KeyQuery { service, key } = query(&request)?;
        let (Some(service), Some(key)) = (service, key) else {
            let title = "an explanation needs a service and a key";
            return Err(Refusal::malformed(title, "add service= and key="));
        };
        let explain = move |node: &Node| {
            is_known(node, &service)?;
            let digest = Digest::new(&service, key.as_bytes());
            let explanation = node.explain(&service, digest, now);
            let title = format!("service {service} has no target with a weight");
            explanation.ok_or_else(|| missing(title, "give a target a weight above 0"))
        };
        look(&desk, explain).await
    };
    answer(explanation.await)
}

pub(super) async fn request(desk: State, id: Path<String>) -> HttpResponse {
    let remedy = "write the id of the header Ragwortrill-Request";
    let id = word::<request::Id>(&id, "a request id", remedy);
    let progress = async {
        let id = id?;
        let progress = move |node: &Node| {
            let title = format!("request {id} is not known");
            let remedy = "ask the daemon that took it; ids are forgotten after the id window";
            node.progress(id).ok_or_else(|| missing(title, remedy))
        };
        look(&desk, progress).await
    };
    answer(progress.await)
}

/// Runs a function on the node's state.
pub(super) async fn look<T: Send + 'static>(
    desk: &State,
    look: impl FnOnce(&Node) -> Result<T, Refusal> + Send + 'static,
) -> Result<T, Refusal> {
    let result = desk.site.shell.inspect(look).await;
    result.unwrap_or_else(|| Err(Refusal::busy()))
}

pub(super) fn answer<T: Serialize>(result: Result<T, Refusal>) -> HttpResponse {
    match result {
        Ok(value) => HttpResponse::Ok().json(&value),
        Err(refusal) => refusal.response(),
    }
}

fn is_known(node: &Node, service: &name::Service) -> Result<(), Refusal> {
    match node.ledger().table().services.contains_key(service) {
        true => Ok(()),
        false => Err(missing(
            format!("the table has no service {service}"),
            "list the services at /v1/table",
        )),
    }
}

fn missing(title: String, remedy: &str) -> Refusal {
    let remedy = remedy.to_owned();
    Refusal::Missing { title, remedy }
}

fn word<T: std::str::FromStr>(text: &str, what: &str, remedy: &str) -> Result<T, Refusal> {
    let parsed = text.parse().ok();
    parsed.ok_or_else(|| Refusal::malformed(format!("{text:?} is not {what}"), remedy))
}

fn query<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Refusal> {
    let query = Query::<T>::from_query(request.query_string());
    query
        .map(Query::into_inner)
        .map_err(|error| Refusal::malformed(error.to_string(), "correct the query"))
}
