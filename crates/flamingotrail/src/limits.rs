//! `check --limits` of what a gateway may hold for its clients.

use flamingotrail_adapter::check;
use flamingotrail_runtime::configs::limit_check;
use flamingotrail_runtime::configs::limits;
use flamingotrail_wire::state;

use crate::output;

/// What findings name in place of a file.
const SOURCE: &str = "limits";

/// Checks the limits of a gateway with these flags, and shows those in force.
pub fn check(args: &limits::LimitArgs) -> output::Report {
    let mut report = output::Report::findings();
    match limits::LimitSettings::try_from(args) {
        Ok(settings) => {
            let findings = limit_check::check(&settings);
            findings.iter().for_each(|finding| report.add_finding(SOURCE, finding));
            report.tables.push(table(&limit_check::in_force(&settings)));
        }
        Err(errors) => {
            errors.iter().for_each(|error| report.add_finding(SOURCE, &invalid(error)));
        }
    }
    report.add_totals();
    report
}

/// The finding of a value that is not valid; `error` names the flag, the value and what it must be.
fn invalid(error: &str) -> check::Finding {
    let (message, advice) = error.split_once("; ").unwrap_or((error, "correct it"));
    check::Finding {
        severity: check::Severity::Error,
        rule: "limit_invalid",
        place: String::new(),
        position: None,
        message: message.to_owned(),
        advice: advice.to_owned(),
    }
}

fn table(rows: &[limit_check::LimitRow]) -> state::Table {
    let columns = ["flag", "value", "unit"];
    let row = |(flag, value, unit): &limit_check::LimitRow| {
        vec![format!("--{flag}"), value.to_string(), (*unit).to_owned()]
    };
    state::Table {
        name: SOURCE.to_owned(),
        columns: columns.iter().map(|column| (*column).to_owned()).collect(),
        rows: rows.iter().map(row).collect(),
    }
}
