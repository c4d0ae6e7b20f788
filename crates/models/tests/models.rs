//! All models in their small sizes; each injected fault is detected by its model, and its run can be
//! replayed.

use petrelgauge_models::coverage::{transition_coverage, TransitionCoverage};
use petrelgauge_models::{Size, MODELS};
use petrelgauge_policy::{inject_mutant, Mutant};

// One test, since the injected fault is global to the process.
#[test]
fn every_property_holds_and_every_injected_fault_is_detected() {
    for model in &MODELS {
        let report = (model.run)(Size::Small, &[]);
        assert_eq!(report.violated, None, "{}: {:#?}", model.name, report.trace);
        assert!(report.is_complete() && report.unique > 500, "{}: {} states", model.name, report.unique);
    }
    let TransitionCoverage { all, missing } = transition_coverage();
    assert!(all.len() > 25 && missing.is_empty(), "of {} transitions none takes {missing:#?}", all.len());
    for mutant in Mutant::ALL {
        let models: Vec<_> = MODELS.iter().filter(|model| model.detects.contains(&mutant)).collect();
        let [model] = models[..] else { panic!("{mutant:?} belongs to {} models", models.len()) };
        inject_mutant(Some(mutant));
        let report = (model.run)(Size::Small, &[]);
        let replayed = (model.run)(Size::Small, &report.path);
        inject_mutant(None);
        assert!(report.violated.is_some(), "{mutant:?} is not detected by {}", model.name);
        assert!(!report.trace.is_empty() && report.properties.contains(&report.violated.expect("just seen")));
        assert_eq!(
            (replayed.violated, replayed.trace),
            (report.violated, report.trace),
            "{mutant:?} replayed"
        );
        // Without the fault, the same run violates nothing, as far as it can be replayed.
        assert_eq!((model.run)(Size::Small, &report.path).violated, None, "{mutant:?} removed again");
    }
}
