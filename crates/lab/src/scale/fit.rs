//! Least squares fits of measured values.

use nalgebra::{DMatrix, DVector};
use serde::{Deserialize, Serialize};

/// Smaller singular values count as zero.
const EPSILON: f64 = 1e-12;

/// A fitted value: the sum over all columns of slope times column.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Fit {
    /// One slope for each column.
    pub slopes: Vec<f64>,
    /// The standard error of each slope.
    pub errors: Vec<f64>,
}

impl Fit {
    /// Fits `values` over `rows`, with one row of columns for each value. Costs don't decrease as a fleet
    /// grows: columns with a negative slope are left out one by one, the most negative first, and get a slope
    /// of 0. `None` if there are fewer values than columns, or if a slope is not finite.
    pub fn of(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let column_count = rows.first()?.len();
        let mut columns: Vec<usize> = (0..column_count).collect();
        loop {
            let selected: Vec<Vec<f64>> =
                rows.iter().map(|row| columns.iter().map(|column| row[*column]).collect()).collect();
            let fit = Fit::unbounded(&selected, values)?;
            let lowest = fit.lowest_slope(&selected)?;
            if fit.slopes[lowest] >= 0.0 || columns.len() == 1 {
                return Some(fit.expanded(&columns, column_count));
            }
            columns.remove(lowest);
        }
    }

    /// Index of the lowest slope, each weighted by the largest entry of its column.
    fn lowest_slope(&self, rows: &[Vec<f64>]) -> Option<usize> {
        let weighted = |index: &usize| {
            let largest = rows.iter().map(|row| row[*index].abs()).fold(0.0, f64::max);
            self.slopes[*index] * largest
        };
        (0..self.slopes.len()).min_by(|a, b| f64::total_cmp(&weighted(a), &weighted(b)))
    }

    /// The fit of some columns as one of all columns, where the others have a slope of 0.
    fn expanded(&self, columns: &[usize], column_count: usize) -> Fit {
        let mut expanded = Fit { slopes: vec![0.0; column_count], errors: vec![0.0; column_count] };
        for (index, column) in columns.iter().enumerate() {
            expanded.slopes[*column] = self.slopes[index];
            expanded.errors[*column] = self.errors[index];
        }
        expanded
    }

    /// Fits without a bound on the slopes.
    fn unbounded(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let columns = rows.first()?.len();
        if rows.len() < columns || rows.len() != values.len() {
            return None;
        }
        // Columns differ by many orders of magnitude: each is scaled by its largest entry.
        let scale: Vec<f64> =
            (0..columns).map(|c| rows.iter().map(|row| row[c].abs()).fold(1e-300, f64::max)).collect();
        let matrix = DMatrix::from_fn(rows.len(), columns, |r, c| rows[r][c] / scale[c]);
        let vector = DVector::from_column_slice(values);
        let solved = matrix.clone().svd(true, true).solve(&vector, EPSILON).ok()?;
        let residual = &matrix * &solved - &vector;
        let degrees_of_freedom = rows.len().saturating_sub(columns).max(1) as f64;
        let variance = residual.norm_squared() / degrees_of_freedom;
        let inverse = (matrix.transpose() * &matrix).pseudo_inverse(EPSILON).ok()?;
        let errors = (0..columns).map(|c| (variance * inverse[(c, c)]).max(0.0).sqrt() / scale[c]).collect();
        let slopes: Vec<f64> = (0..columns).map(|c| solved[c] / scale[c]).collect();
        slopes.iter().all(|slope| slope.is_finite()).then_some(Fit { slopes, errors })
    }

    /// The value at these columns.
    pub fn at(&self, columns: &[f64]) -> f64 {
        self.slopes.iter().zip(columns).map(|(slope, column)| slope * column).sum()
    }
}
