//! How long work takes on an endpoint at the moment, as the endpoint itself reports it.
//!
//! A report is old when it arrives: its excess over the usual time decays towards a slow average of the
//! reports, as far as earlier reports have predicted the next ones better than the average has. How much
//! the reports count is learned from the times of this gateway's own calls.

use flamingotrail_core::time as core_time;

/// Largest factor that a report puts on an endpoint's times.
pub const MAX_FACTOR: f64 = 3.0;
/// Half-life of the difference between the newest report and the average.
const REPORT_HALF_LIFE_MS: f64 = 150.0;
/// Half-life of the average. Without reports it decays towards the usual time, so that the endpoint is
/// tried again.
const AVERAGE_HALF_LIFE_MS: f64 = 30_000.0;
/// Weight of the first report in the average.
const FIRST_WEIGHT: f64 = 0.1;
/// Weight of the newest report in the errors of the predictions.
const ERROR_SMOOTHING: f64 = 0.1;
/// Factor by which older calls fade with each new one in the credit of the reports.
const CREDIT_FADING: f64 = 0.95;
/// Weight of the assumption that reports are true, in calls whose endpoint reported twice the usual time.
const CREDIT_WEIGHT: f64 = 2.0;
/// Largest relative difference from the usual time that one call contributes to the credit.
const MAX_DIFFERENCE: f64 = 2.0;

/// The reports of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Newest reported factor, and when it was received.
    newest: Option<(core_time::Timestamp, f64)>,
    /// Slow average of the factors.
    average: f64,
    /// Mean square errors of the predictions of a report by the report before it and by the average.
    errors: (f64, f64),
    /// Sums of the products of reported and measured differences from the usual time, and of the squares
    /// of the reported ones.
    credit: (f64, f64),
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown {
            newest: None,
            average: 1.0,
            errors: (0.0, f64::EPSILON),
            credit: (CREDIT_WEIGHT, CREDIT_WEIGHT),
        }
    }
}

impl Slowdown {
    /// Records a report of `percent` of the usual time, received at `now`.
    pub fn record(&mut self, percent: u32, now: core_time::Timestamp) {
        let factor = factor_of(percent);
        let mut weight = FIRST_WEIGHT;
        if let Some((at, before)) = self.newest {
            let age_ms = millis(now, at);
            weight = 1.0 - 0.5_f64.powf(age_ms / AVERAGE_HALF_LIFE_MS);
            if age_ms < REPORT_HALF_LIFE_MS {
                let square = |error: f64| error * error;
                let (by_report, by_average) = &mut self.errors;
                *by_report += (square(factor - before) - *by_report) * ERROR_SMOOTHING;
                *by_average += (square(factor - self.average) - *by_average) * ERROR_SMOOTHING;
            }
        }
        self.average += (factor - self.average) * weight;
        self.newest = Some((now, factor));
    }

    /// Records that a call took `ratio` times the usual time on the endpoint, which had reported
    /// `percent` of the usual time, while all endpoints of the service report `mean_factor` on average.
    pub fn record_time(&mut self, percent: u32, mean_factor: f64, ratio: f64) {
        let reported = factor_of(percent) / mean_factor - 1.0;
        let measured = (ratio - 1.0).min(MAX_DIFFERENCE);
        let (products, squares) = self.credit;
        let fade = |sum: f64| CREDIT_WEIGHT + (sum - CREDIT_WEIGHT) * CREDIT_FADING;
        self.credit = (fade(products) + reported * measured, fade(squares) + reported * reported);
    }

    /// Returns the factor by which work on the endpoint is expected to take longer at `now` than on the
    /// endpoints of its service, which report `mean_factor` on average.
    pub fn factor(&self, mean_factor: f64, now: core_time::Timestamp) -> f64 {
        let (average, passing) = self.expected_excess(mean_factor, now);
        (1.0 + average + passing).clamp(1.0, MAX_FACTOR)
    }

    /// Returns the time in milliseconds by which a call that usually takes `duration_ms` is expected to
    /// take longer: the difference from the average passes while the call runs.
    pub fn extra_ms(&self, duration_ms: f64, mean_factor: f64, now: core_time::Timestamp) -> f64 {
        let (average, passing) = self.expected_excess(mean_factor, now);
        let passed_share = 1.0 - 0.5_f64.powf(duration_ms / REPORT_HALF_LIFE_MS);
        let passing_ms = REPORT_HALF_LIFE_MS / std::f64::consts::LN_2 * passed_share;
        (average * duration_ms + passing * passing_ms).max(0.0)
    }

    /// Returns the excess of the average over that of the service, and the difference of the newest
    /// report from the average, as far as they are believed.
    fn expected_excess(&self, mean_factor: f64, now: core_time::Timestamp) -> (f64, f64) {
        let Some((at, newest)) = self.newest else { return (0.0, 0.0) };
        let age_ms = millis(now, at);
        let average = (self.average - 1.0) * 0.5_f64.powf(age_ms / AVERAGE_HALF_LIFE_MS);
        let (by_report, by_average) = self.errors;
        let persistence = by_average / (by_average + by_report).max(f64::MIN_POSITIVE);
        let weight = persistence * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        let passing = (newest - 1.0 - average) * weight;
        let excess = (1.0 + average - mean_factor).max(0.0);
        (excess * self.credit(), passing * self.credit())
    }

    /// Returns the share of the reported excess that the endpoint's own times confirm.
    fn credit(&self) -> f64 {
        (self.credit.0 / self.credit.1).clamp(0.0, 1.0)
    }
}

/// Returns the factor of a report, within bounds.
pub fn factor_of(percent: u32) -> f64 {
    (f64::from(percent) / 100.0).clamp(1.0, MAX_FACTOR)
}

fn millis(now: core_time::Timestamp, at: core_time::Timestamp) -> f64 {
    now.since(at).as_secs_f64() * 1000.0
}
