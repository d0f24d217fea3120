//! Commands that show owners, records and requests.

use ragwortrill_core::{
    report::{Audit, Explanation, Owner, Request},
    request,
};

use crate::{
    api,
    context::Context,
    error::Error,
    grid::{self, cell, join},
    output::Output,
    status::contract,
    timeline::{self, Subject},
};

/// Shows which targets own keys.
pub(crate) fn owners(context: &Context) -> Result<Output, Error> {
    let service = context.service()?.map(|name| name.to_string());
    let key = context.option("--key");
    if key.is_some() && service.is_none() {
        return Err(Error::usage("--key needs a service", "give --service NAME"));
    }
    let query = [("service", service.as_deref()), ("key", key)];
    let owners: Vec<Owner> = context.client()?.get(api::OWNERS, &present(&query))?;
    let row = |owner: &Owner| {
        let (epoch, holder) = contract(owner.contract.as_ref());
        let standbys = owner.contract.iter().flat_map(|c| &c.standbys);
        [
            owner.service.to_string(),
            owner.target.to_string(),
            owner.data_centre.to_string(),
            owner.slices.to_string(),
            owner.keys.to_string(),
            epoch,
            holder,
            join(standbys),
        ]
    };
    let rows: Vec<_> = owners.iter().map(row).collect();
    let heading = [
        "service",
        "target",
        "data centre",
        "slices",
        "hot keys",
        "epoch",
        "holder",
        "standbys",
    ];
    Ok(Output::new(grid::render(heading, &rows), owners))
}

/// Lists records of the log.
pub(crate) fn audit(context: &Context) -> Result<Output, Error> {
    let since = context
        .parse_option::<u64>("--since")?
        .map(|n| n.to_string());
    let limit = context
        .parse_option::<u32>("--limit")?
        .map(|n| n.to_string());
    let service = context.service()?.map(|name| name.to_string());
    let query = [
        ("since", since.as_deref()),
        ("service", service.as_deref()),
        ("limit", limit.as_deref()),
    ];
    let records: Vec<Audit> = context.client()?.get(api::AUDIT, &present(&query))?;
    let row = |record: &Audit| {
        [
            record.offset.to_string(),
            grid::time(record.written_ms),
            record.actor.clone(),
            format!("{:?}", record.effect).to_lowercase(),
            record.text.clone(),
            record.reason.clone(),
            record.id.to_string(),
        ]
    };
    let rows: Vec<_> = records.iter().map(row).collect();
    let heading = [
        "offset", "written", "actor", "effect", "record", "reason", "id",
    ];
    Ok(Output::new(grid::render(heading, &rows), records))
}

/// Explains where a key is served, or shows the log lines about a request, target or key.
pub(crate) fn explain(context: &Context) -> Result<Output, Error> {
    let log_options = ["--request", "--target", "--key"];
    if log_options.iter().any(|option| context.has(option)) {
        return timeline::show(context, &subject(context)?);
    }
    if context.positionals.len() != 1 {
        return Err(Error::usage(
            "expected one KEY, or an option that selects log lines",
            "give KEY --service NAME, --request ID, --target ID, or --key KEY --service NAME",
        ));
    }
    let Some(service) = context.service()? else {
        return Err(Error::usage(
            "a key belongs to a service",
            "give --service NAME",
        ));
    };
    let query = [
        ("service", service.as_str()),
        ("key", &context.positionals[0]),
    ];
    let explanation: Explanation = context.client()?.get(api::EXPLAIN, &query)?;
    let why = explanation.why.iter().map(|reason| format!("  {reason}\n"));
    let text = format!(
        "key      {} of {}\nhash     {}\nslice    {}\ntarget   {}\nholder   {}\nepoch    {}\nwhy\n{}",
        context.positionals[0],
        explanation.service,
        explanation.hash,
        explanation.slice,
        explanation.target,
        cell(explanation.holder.as_ref()),
        cell(explanation.epoch),
        String::from_iter(why),
    );
    Ok(Output::new(text, explanation))
}

/// Returns the request, target or key that the options select in log lines.
fn subject(context: &Context) -> Result<Subject, Error> {
    let key = context.parse_option::<u64>("--key")?;
    let (request, target) = (context.option("--request"), context.option("--target"));
    match (request, target, key, context.service()?) {
        (Some(id), None, None, None) => Ok(Subject::Request(id.to_owned())),
        (None, Some(id), None, None) => Ok(Subject::Target(id.to_owned())),
        (None, None, Some(key), Some(service)) => Ok(Subject::Key {
            service: service.to_string(),
            key,
        }),
        (None, None, Some(_), None) => Err(Error::usage(
            "a key belongs to a service",
            "give --service NAME",
        )),
        _ => Err(Error::usage(
            "the options select more than one request, target or key",
            "give one of --request, --target and --key",
        )),
    }
}

/// Shows the progress of a request.
pub(crate) fn request(context: &Context) -> Result<Output, Error> {
    let id: request::Id = context.positional(0)?;
    let request: Request = context
        .client()?
        .get(&format!("{}/{id}", api::REQUESTS), &[])?;
    let text = format!(
        "request   {}\nprogress  {}\nstatus    {}\ntarget    {}\nepoch     {}\n",
        request.id,
        format!("{:?}", request.progress).to_lowercase(),
        cell(request.status),
        cell(request.target.as_ref()),
        cell(request.epoch),
    );
    Ok(Output::new(text, request))
}

/// Returns the parameters that have a value.
fn present<'a>(query: &[(&'a str, Option<&'a str>)]) -> Vec<(&'a str, &'a str)> {
    let present = query
        .iter()
        .filter_map(|(name, value)| Some((*name, (*value)?)));
    present.collect()
}
