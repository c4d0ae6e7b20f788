//! Projections of fitted metrics to the operators' size, and predictions that are compared with later
//! measurements.

use super::fit::Fit;
use super::fleet_size::{FleetSize, OPERATORS_SIZE};
use super::metrics::{Metric, SESSION_METRICS};
use super::role_costs::{Costs, MeasuredFleet};
use serde::{Deserialize, Serialize};

/// Maximum relative error of a prediction.
const TOLERANCE: f64 = 0.25;

/// A metric at the operators' size, computed from its slopes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Projection {
    /// The role.
    pub role: String,
    /// The measured quantity.
    pub name: String,
    /// Its unit.
    pub unit: String,
    /// What it depends on, by the names in reports.
    pub columns: Vec<String>,
    /// Slopes and their standard errors.
    pub fit: Fit,
    /// Whether it grows with the square of the fleet.
    pub square: bool,
    /// Its value at the operators' size.
    pub value: f64,
    /// The operators' budget, if any.
    pub budget: Option<f64>,
}

impl Projection {
    /// Projects a metric with these slopes.
    pub fn new(metric: &Metric, fit: Fit, quota_groups: f64) -> Projection {
        let value = metric.at(&fit, &OPERATORS_SIZE, quota_groups);
        let mut columns = metric.columns.iter().zip(&fit.slopes);
        let square = columns.any(|(column, slope)| column.is_quadratic() && *slope > 0.0);
        Projection {
            role: metric.role.into(),
            name: metric.name.into(),
            unit: metric.unit.into(),
            columns: metric.columns.iter().map(|column| column.label().into()).collect(),
            fit,
            square,
            value,
            budget: metric.budget,
        }
    }

    /// The ratio to its budget.
    pub fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.value / budget)
    }
}

/// Projects all metrics for which there are enough measurements.
pub fn project(metrics: &[Metric], measured: &[MeasuredFleet], quota_groups: f64) -> Vec<Projection> {
    let project_one = |metric: &Metric| {
        let fit = metric.fit(measured, quota_groups)?;
        Some(Projection::new(metric, fit, quota_groups))
    };
    metrics.iter().filter_map(project_one).collect()
}

/// The metric that exceeds its budget most, among the features that a fleet of the operators' size can
/// enable.
pub fn furthest_over_budget(projections: &[Projection]) -> Option<&Projection> {
    let enabled = projections.iter().filter(|projection| projection.role != SESSION_METRICS[0].role);
    let over_budget = enabled.filter(|projection| projection.ratio().is_some_and(|ratio| ratio > 1.0));
    over_budget.max_by(|a, b| f64::total_cmp(&a.ratio().unwrap_or(0.0), &b.ratio().unwrap_or(0.0)))
}

/// The prediction of a metric at a size, and the later measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The role and the measured quantity.
    pub figure: String,
    /// The size.
    pub size: FleetSize,
    /// The value predicted from smaller sizes.
    pub predicted: f64,
    /// The measured value.
    pub measured: f64,
    /// Whether the difference is within the tolerance or below the metric's noise floor.
    pub holds: bool,
}

impl Prediction {
    /// Compares a predicted value with the costs measured at that size.
    pub fn compare(metric: &Metric, predicted: f64, size: FleetSize, costs: &Costs) -> Prediction {
        let measured = (metric.value)(costs);
        let difference = (predicted - measured).abs();
        let holds = difference <= TOLERANCE * measured.abs() || difference <= metric.noise_floor;
        Prediction { figure: metric.full_name(), size, predicted, measured, holds }
    }
}
