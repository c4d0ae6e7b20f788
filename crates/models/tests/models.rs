//! The small sizes of all models, each bug found by a named property, and each story played again.

use petrelgauge_models::{finder, Size, MODELS};
use petrelgauge_policy::{inject_mutant, Mutant};

// One test: the switch is the process's.
#[test]
fn every_property_holds_and_every_bug_is_found() {
    for model in &MODELS {
        let report = (model.run)(Size::Small, &[]);
        assert_eq!(report.broken, None, "{}: {:#?}", model.name, report.story);
        assert!(report.complete() && report.unique > 500, "{}: {} states", model.name, report.unique);
    }
    let (all, missing) = petrelgauge_models::coverage::missing();
    assert!(all.len() > 25 && missing.is_empty(), "of {} transitions none takes {missing:#?}", all.len());
    for bug in Mutant::ALL {
        let model = MODELS.iter().find(|model| model.name == finder(bug)).expect("a model for each");
        inject_mutant(Some(bug));
        let report = (model.run)(Size::Small, &[]);
        let again = (model.run)(Size::Small, &report.path);
        inject_mutant(None);
        assert!(report.broken.is_some(), "{bug:?} goes unseen in {}", model.name);
        assert!(!report.story.is_empty() && report.properties.contains(&report.broken.expect("just seen")));
        assert_eq!((again.broken, again.story), (report.broken, report.story), "{bug:?} played again");
        // The same run without the bug breaks nothing, as far as it can be played.
        assert_eq!((model.run)(Size::Small, &report.path).broken, None, "{bug:?} taken out again");
    }
}
