//! The small sizes of all models, each injected bug found by its model, and each trace replayed.

use petrelgauge_models::{model_for, Size, MODELS};
use petrelgauge_policy::{inject_mutant, Mutant};

// One test: the injected bug is a setting of the process.
#[test]
fn every_property_holds_and_every_bug_is_found() {
    for model in &MODELS {
        let report = (model.run)(Size::Small, &[]);
        assert_eq!(report.violated, None, "{}: {:#?}", model.name, report.trace);
        assert!(report.complete() && report.unique > 500, "{}: {} states", model.name, report.unique);
    }
    let (all, missing) = petrelgauge_models::coverage::transitions();
    assert!(all.len() > 25 && missing.is_empty(), "of {} transitions none takes {missing:#?}", all.len());
    for bug in Mutant::ALL {
        let model = MODELS.iter().find(|model| model.name == model_for(bug)).expect("a model for each");
        inject_mutant(Some(bug));
        let report = (model.run)(Size::Small, &[]);
        let again = (model.run)(Size::Small, &report.path);
        inject_mutant(None);
        assert!(report.violated.is_some(), "{bug:?} is not found by {}", model.name);
        assert!(!report.trace.is_empty() && report.properties.contains(&report.violated.expect("just seen")));
        assert_eq!((again.violated, again.trace), (report.violated, report.trace), "{bug:?} replayed");
        // The same run without the bug violates nothing, as far as it can be replayed.
        assert_eq!((model.run)(Size::Small, &report.path).violated, None, "{bug:?} removed again");
    }
}
