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

/// Maximum number of records in an audit without a stated limit.
const DEFAULT_AUDIT_LIMIT: usize = 100;

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

pub(super) async fn status(worker: State) -> HttpResponse {
    let now = worker.server.shared.clock.now();
    respond(inspect(&worker, move |node| Ok(node.status(now))).await)
}

pub(super) async fn table(worker: State) -> HttpResponse {
    let table_version = |node: &Node| {
        Ok(TableVersion {
            version: node.ledger().version(),
            table: node.ledger().table().clone(),
        })
    };
    respond(inspect(&worker, table_version).await)
}

pub(super) async fn history(worker: State) -> HttpResponse {
    respond(inspect(&worker, |node| Ok(node.ledger().archive().revisions())).await)
}

pub(super) async fn table_version(worker: State, version: Path<String>) -> HttpResponse {
    let version = parse::<Version>(&version, "a version", "write a whole number");
    let table = async {
        let version = version?;
        let table = move |node: &Node| {
            let table_version = node.ledger().archive().table(version);
            table_version
                .map(|table_version| table_version.table)
                .ok_or_else(|| {
                    not_found(
                        format!("version {version} of the table is not stored"),
                        "list the stored versions at /v1/table/history",
                    )
                })
        };
        inspect(&worker, table).await
    };
    respond(table.await)
}

pub(super) async fn owners(worker: State, request: HttpRequest) -> HttpResponse {
    let owners = async {
        let KeyQuery { service, key } = query(&request)?;
        if key.is_some() && service.is_none() {
            return Err(Refusal::malformed("a key needs a service", "add service="));
        }
        let owners = move |node: &Node| {
            if let Some(service) = &service {
                check_service(node, service)?;
            }
            Ok(match service.as_ref().zip(key) {
                Some((service, key)) => {
                    let digest = Digest::new(service, key.as_bytes());
                    node.owner_of(service, digest).into_iter().collect()
                }
                None => node.owners(service.as_ref()),
            })
        };
        inspect(&worker, owners).await
    };
    respond(owners.await)
}

pub(super) async fn audit(worker: State, request: HttpRequest) -> HttpResponse {
    let audit = async {
        let query: AuditQuery = query(&request)?;
        let filter = Filter {
            since: query.since,
            service: query.service,
            limit: query.limit.unwrap_or(DEFAULT_AUDIT_LIMIT),
        };
        inspect(&worker, move |node| {
            Ok(node.ledger().archive().audit(&filter))
        })
        .await
    };
    respond(audit.await)
}

pub(super) async fn explain(worker: State, request: HttpRequest) -> HttpResponse {
    let now = worker.server.shared.clock.now();
    let explanation = async {
        let KeyQuery { service, key } = query(&request)?;
        let (Some(service), Some(key)) = (service, key) else {
            let title = "an explanation needs a service and a key";
            return Err(Refusal::malformed(title, "add service= and key="));
        };
        let explain = move |node: &Node| {
            check_service(node, &service)?;
            let digest = Digest::new(&service, key.as_bytes());
            let explanation = node.explain(&service, digest, now);
            let title = format!("service {service} has no target with a weight");
            explanation.ok_or_else(|| not_found(title, "give a target a weight above 0"))
        };
        inspect(&worker, explain).await
    };
    respond(explanation.await)
}

pub(super) async fn request(worker: State, id: Path<String>) -> HttpResponse {
    let remedy = "write the id of the header Ragwortrill-Request";
    let id = parse::<request::Id>(&id, "a request id", remedy);
    let progress = async {
        let id = id?;
        let progress = move |node: &Node| {
            let title = format!("request {id} is not known");
            let remedy = "ask the daemon that took it; ids are forgotten after the id window";
            node.progress(id).ok_or_else(|| not_found(title, remedy))
        };
        inspect(&worker, progress).await
    };
    respond(progress.await)
}

/// Runs a function on the node's state.
pub(super) async fn inspect<T: Send + 'static>(
    worker: &State,
    read: impl FnOnce(&Node) -> Result<T, Refusal> + Send + 'static,
) -> Result<T, Refusal> {
    let result = worker.server.shared.inspect(read).await;
    result.unwrap_or_else(|| Err(Refusal::overloaded()))
}

pub(super) fn respond<T: Serialize>(result: Result<T, Refusal>) -> HttpResponse {
    match result {
        Ok(value) => HttpResponse::Ok().json(&value),
        Err(refusal) => refusal.response(),
    }
}

fn check_service(node: &Node, service: &name::Service) -> Result<(), Refusal> {
    match node.ledger().table().services.contains_key(service) {
        true => Ok(()),
        false => Err(not_found(
            format!("the table has no service {service}"),
            "list the services at /v1/table",
        )),
    }
}

fn not_found(title: String, remedy: &str) -> Refusal {
    let remedy = remedy.to_owned();
    Refusal::NotFound { title, remedy }
}

fn parse<T: std::str::FromStr>(text: &str, what: &str, remedy: &str) -> Result<T, Refusal> {
    let parsed = text.parse().ok();
    parsed.ok_or_else(|| Refusal::malformed(format!("{text:?} is not {what}"), remedy))
}

fn query<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, Refusal> {
    let query = Query::<T>::from_query(request.query_string());
    query
        .map(Query::into_inner)
        .map_err(|error| Refusal::malformed(error.to_string(), "correct the query"))
}
