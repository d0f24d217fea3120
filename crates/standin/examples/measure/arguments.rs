//! Command line arguments.

use anyhow::{Context, Result, bail, ensure};
use ragwortrill_standin::measure::{deployment::Deployment, policy::Policy, scenario::Scenario};

const MURRIN: &str = include_str!("../deployments/murrin.json");
const COOPERATIVA: &str = include_str!("../deployments/cooperativa.json");

/// Arguments of the command.
pub struct Arguments {
    /// Name of the scenario, or `all`.
    pub scenario: String,
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Policies to run. Reports compare the others with the first.
    pub policies: Vec<Policy>,
    /// Deployment to simulate.
    pub deployment: Deployment,
    /// True to print JSON instead of tables.
    pub json: bool,
    /// Path of the SVG file for a plot of the first seed's runs.
    pub plot: Option<String>,
}

impl Arguments {
    /// Parses the arguments of this process.
    pub fn parse() -> Result<Self> {
        let mut parser = pico_args::Arguments::from_env();
        let seed = parser.opt_value_from_str("--seed")?.unwrap_or(1);
        let compare = parser.contains("--compare");
        let forecast = parser.contains("--forecast");
        let seeds: Option<u64> = parser.opt_value_from_str("--seeds")?;
        let policy: Option<String> = parser.opt_value_from_str("--policy")?;
        let deployment: Option<String> = parser.opt_value_from_str("--deployment")?;
        let json = parser.contains("--json");
        let plot = parser.opt_value_from_str("--plot")?;
        let scenario = scenario(parser.opt_free_from_str()?)?;
        let rest = parser.finish();
        ensure!(
            rest.is_empty(),
            "unknown arguments {rest:?}; the usage is at the top of examples/measure/main.rs"
        );
        let several = compare || forecast;
        Ok(Self {
            scenario,
            seed,
            seeds: seeds.unwrap_or(if several { 10 } else { 1 }).max(1),
            policies: policies(policy.as_deref(), compare, forecast)?,
            deployment: load(deployment.as_deref().unwrap_or("murrin"))?,
            json,
            plot,
        })
    }
}

fn scenario(name: Option<String>) -> Result<String> {
    let known = Scenario::NAMES.join(", ");
    let name = name.with_context(|| format!("name a scenario: {known} or all"))?;
    let has_own_function = crate::SPECIAL_SCENARIOS
        .iter()
        .any(|(special, _)| *special == name);
    let is_known = has_own_function || name == "all" || Scenario::NAMES.contains(&name.as_str());
    ensure!(
        is_known,
        "there is no scenario {name:?}; use {known} or all"
    );
    Ok(name)
}

fn policies(name: Option<&str>, compare: bool, forecast: bool) -> Result<Vec<Policy>> {
    if compare {
        return Ok(Policy::compared());
    }
    if forecast {
        let forecasts = Policy::forecasts().into_iter();
        return Ok([Policy::core()].into_iter().chain(forecasts).collect());
    }
    let Some(names) = name else {
        return Ok(vec![Policy::core()]);
    };
    let named = names.split(',').map(|name| {
        let unknown =
            || format!("there is no policy {name:?}; use core or one that --compare shows");
        Policy::named(name).with_context(unknown)
    });
    named.collect()
}

fn load(name: &str) -> Result<Deployment> {
    let text = match name {
        "murrin" => MURRIN,
        "cooperativa" => COOPERATIVA,
        other => bail!("there is no deployment {other:?}; use murrin or cooperativa"),
    };
    serde_json::from_str(text).with_context(|| format!("the deployment {name} is not valid"))
}
