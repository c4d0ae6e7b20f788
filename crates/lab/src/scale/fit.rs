//! Least squares fits of a measured value over what it depends on.

use nalgebra::{DMatrix, DVector};
use serde::{Deserialize, Serialize};

/// How small a singular value may be before its direction is taken for none.
const EPSILON: f64 = 1e-12;

/// A fitted figure: the sum of each slope times its column.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Fit {
    /// One slope for each column.
    pub slopes: Vec<f64>,
    /// The standard error of each.
    pub errors: Vec<f64>,
}

impl Fit {
    /// Fits `values` over `rows`, one row of columns for each value. Nothing costs less for a larger fleet: a column whose
    /// slope would be under 0 is left out, the most negative one first, and has a slope of 0. None where there are fewer
    /// values than columns, or one of them is not a number.
    pub fn of(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let columns = rows.first()?.len();
        let mut kept: Vec<usize> = (0..columns).collect();
        loop {
            let part: Vec<Vec<f64>> =
                rows.iter().map(|row| kept.iter().map(|column| row[*column]).collect()).collect();
            let fit = Fit::unbounded(&part, values)?;
            let scaled = |place: &usize| {
                let largest = part.iter().map(|row| row[*place].abs()).fold(0.0, f64::max);
                fit.slopes[*place] * largest
            };
            let least = (0..kept.len()).min_by(|a, b| f64::total_cmp(&scaled(a), &scaled(b)))?;
            if fit.slopes[least] >= 0.0 || kept.len() == 1 {
                let mut complete = Fit { slopes: vec![0.0; columns], errors: vec![0.0; columns] };
                for (place, column) in kept.iter().enumerate() {
                    (complete.slopes[*column], complete.errors[*column]) =
                        (fit.slopes[place], fit.errors[place]);
                }
                return Some(complete);
            }
            kept.remove(least);
        }
    }

    fn unbounded(rows: &[Vec<f64>], values: &[f64]) -> Option<Fit> {
        let columns = rows.first()?.len();
        if rows.len() < columns || rows.len() != values.len() {
            return None;
        }
        // Columns differ by many powers of ten: each is scaled to its largest entry.
        let scale: Vec<f64> =
            (0..columns).map(|c| rows.iter().map(|row| row[c].abs()).fold(1e-300, f64::max)).collect();
        let matrix = DMatrix::from_fn(rows.len(), columns, |r, c| rows[r][c] / scale[c]);
        let vector = DVector::from_column_slice(values);
        let solved = matrix.clone().svd(true, true).solve(&vector, EPSILON).ok()?;
        let residual = &matrix * &solved - &vector;
        let freedom = rows.len().saturating_sub(columns).max(1) as f64;
        let variance = residual.norm_squared() / freedom;
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
