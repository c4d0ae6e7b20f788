//! Least squares on figures that are known.

use petrelgauge_lab::scale::fit::Fit;

#[test]
fn slopes_of_an_exact_law_come_back_whatever_their_size() {
    let rows: Vec<Vec<f64>> = [50.0, 150.0, 400.0, 800.0].iter().map(|n| vec![1.0, n * 256.0]).collect();
    let values: Vec<f64> = rows.iter().map(|row| 3.0 + 0.25 * row[1]).collect();
    let fit = Fit::of(&rows, &values).expect("enough of them");
    assert!((fit.slopes[0] - 3.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.slopes[1] - 0.25).abs() < 1e-9, "{fit:?}");
    assert!(fit.errors.iter().all(|error| *error < 1e-6), "{fit:?}");
    assert!((fit.at(&[1.0, 1_500.0 * 480.0]) - 180_003.0).abs() < 1e-3);
}

#[test]
fn a_law_of_the_wrong_shape_has_wide_errors_and_misses_the_largest_size() {
    let sizes = [50.0f64, 150.0, 400.0, 800.0];
    let rows: Vec<Vec<f64>> = sizes.iter().map(|n| vec![1.0, *n]).collect();
    let squares: Vec<f64> = sizes.iter().map(|n| n * n).collect();
    let fit = Fit::of(&rows[..3], &squares[..3]).expect("enough of them");
    let predicted = fit.at(&rows[3]);
    assert!(predicted < 0.75 * squares[3], "{predicted}");
    assert!(fit.errors[1] > 0.1 * fit.slopes[1], "{fit:?}");
}

#[test]
fn too_few_values_are_no_fit() {
    assert_eq!(Fit::of(&[vec![1.0, 2.0]], &[3.0]), None);
    assert_eq!(Fit::of(&[], &[]), None);
}
