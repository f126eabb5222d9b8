//! `grebepin plan`: computes the moves that rolling a bundle would cause.

use std::fmt;

use grebepin_bundle::{check, check_successor};
use grebepin_ownership::{plan_table, Plan, ServicePlan};
use grebepin_schema::{Bundle, TableSnapshot};
use serde::Serialize;

use crate::arguments;
use crate::error::CliError;
use crate::files;
use crate::output::Format;
use crate::replica_folder;
use crate::text::{milliseconds, TextTable};

#[derive(Serialize)]
struct PlanReport {
    /// Log index of the routing table that the plan is based on.
    from_index: u64,
    /// Version of the bundle in force.
    from_version: u64,
    version: u64,
    /// Reasons why the bundle would be refused; empty for a valid one.
    refused: Vec<String>,
    services: Vec<ServiceReport>,
}

#[derive(Serialize)]
struct ServiceReport {
    service: String,
    shards: u32,
    moves: u32,
    churn_percent: f64,
    /// Duration of the moves at a constant rate at the churn limits; shorter after a minute without moves.
    /// Absent when the limits allow no move.
    even_pace_ms: Option<u64>,
    imbalance_before: f64,
    imbalance_after: f64,
    servers: Vec<ServerReport>,
    risks: Vec<String>,
}

#[derive(Serialize)]
struct ServerReport {
    server: String,
    side: String,
    before: u32,
    after: u32,
}

pub(crate) fn run(arguments: &arguments::Plan, format: Format) -> Result<(), CliError> {
    let bundle = files::read_bundle(&arguments.bundle)?.bundle;
    let (table, in_force) = match &arguments.data {
        Some(folder) => replica_folder::table(folder)?,
        None => running_table(arguments)?,
    };
    let refused = findings(in_force.as_ref(), &bundle);
    let plan = plan_table(&table.table, &bundle);
    format.print(&report(&table, &bundle, refused, plan))
}

fn running_table(arguments: &arguments::Plan) -> Result<(TableSnapshot, Option<Bundle>), CliError> {
    let client = arguments.connection.client();
    let table = client.table()?;
    let in_force = client.bundle()?.map(|signed| signed.bundle);
    Ok((table, in_force))
}

fn findings(in_force: Option<&Bundle>, bundle: &Bundle) -> Vec<String> {
    let mut findings = check(bundle).err().unwrap_or_default();
    let lineage = match in_force {
        Some(old) => check_successor(old, bundle),
        None => grebepin_bundle::check_first(bundle),
    };
    findings.extend(lineage.err().unwrap_or_default());
    findings.iter().map(ToString::to_string).collect()
}

fn report(table: &TableSnapshot, bundle: &Bundle, refused: Vec<String>, plan: Plan) -> PlanReport {
    let shards = |plan: &ServicePlan| plan.servers.iter().map(|server| server.after).sum();
    let services = plan.services.iter();
    PlanReport {
        from_index: table.index.0,
        from_version: table.table.bundle_version,
        version: bundle.version,
        refused,
        services: services
            .map(|plan| service_report(plan, shards(plan)))
            .collect(),
    }
}

fn service_report(plan: &ServicePlan, shards: u32) -> ServiceReport {
    let servers = plan.servers.iter();
    ServiceReport {
        service: plan.service.to_string(),
        shards,
        moves: plan.moves,
        churn_percent: 100.0 * f64::from(plan.moves) / f64::from(shards.max(1)),
        even_pace_ms: plan.at_least.map(|time| time.as_millis() as u64),
        imbalance_before: plan.imbalance_before,
        imbalance_after: plan.imbalance_after,
        servers: servers
            .map(|server| ServerReport {
                server: server.server.to_string(),
                side: server.side.to_string(),
                before: server.before,
                after: server.after,
            })
            .collect(),
        risks: plan.risks.iter().map(ToString::to_string).collect(),
    }
}

impl fmt::Display for PlanReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "from version {} at index {} to version {}",
            self.from_version, self.from_index, self.version
        )?;
        for reason in &self.refused {
            writeln!(formatter, "WOULD BE REFUSED: {reason}")?;
        }
        for service in &self.services {
            write!(formatter, "{service}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ServiceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = match self.even_pace_ms {
            Some(0) => String::new(),
            Some(time) => format!(" in about {}", milliseconds(time)),
            None => ", never at these churn limits".to_owned(),
        };
        writeln!(
            formatter,
            "{}: {} of {} shards move ({:.1}%){time}; imbalance {:.3} -> {:.3}",
            self.service,
            self.moves,
            self.shards,
            self.churn_percent,
            self.imbalance_before,
            self.imbalance_after
        )?;
        for risk in &self.risks {
            writeln!(formatter, "  RISK: {risk}")?;
        }
        let mut table = TextTable::new(&["server", "side", "before", "after", "change"]);
        for server in self.servers.iter().filter(|one| one.before != one.after) {
            let change = i64::from(server.after) - i64::from(server.before);
            table.row([
                server.server.clone(),
                server.side.clone(),
                server.before.to_string(),
                server.after.to_string(),
                format!("{change:+}"),
            ]);
        }
        match self.moves {
            0 => Ok(()),
            _ => write!(formatter, "{table}"),
        }
    }
}
