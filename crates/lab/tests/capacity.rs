//! The capacity page: its tables are those of the committed figures, and what cannot be used is one plain sentence that
//! leaves everything as it was.

use petrelgauge_lab::scale::capacity::{page, CapacityError, PageAction};
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A copy of the page and its figures, to be edited.
struct Copy {
    page: PathBuf,
    figures: PathBuf,
}

fn copy(name: &str) -> Copy {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let figures = folder.join("capacity");
    std::fs::create_dir_all(&figures).expect("a place to write");
    for report in ["single-owner.json", "sharded.json"] {
        std::fs::copy(root().join("docs/capacity").join(report), figures.join(report)).expect("it is there");
    }
    let page = folder.join("CAPACITY.md");
    std::fs::copy(root().join("docs/CAPACITY.md"), &page).expect("it is there");
    Copy { page, figures }
}

impl Copy {
    fn edit(&self, file: &Path, from: &str, to: &str) {
        let text = std::fs::read_to_string(file).expect("it is there");
        assert!(text.contains(from), "{from}");
        std::fs::write(file, text.replacen(from, to, 1)).expect("a place to write");
    }

    fn text(&self) -> String {
        std::fs::read_to_string(&self.page).expect("it is there")
    }
}

#[test]
fn the_pages_tables_are_those_of_the_committed_figures() {
    let checked = page(&root().join("docs/CAPACITY.md"), &root().join("docs/capacity"), PageAction::Check);
    checked.unwrap_or_else(|cause| panic!("{cause}"));
}

#[test]
fn a_figure_that_was_changed_by_hand_is_found_and_written_anew() {
    let copy = copy("changed");
    let original = copy.text();
    copy.edit(
        &copy.page,
        "| gateway | bytes, in and out (B/s) | ",
        "| gateway | bytes, in and out (B/s) | 1",
    );
    let edited = copy.text();
    assert!(matches!(page(&copy.page, &copy.figures, PageAction::Check), Err(CapacityError::Differs { .. })));
    assert_eq!(copy.text(), edited, "a check writes nothing");
    page(&copy.page, &copy.figures, PageAction::Rewrite).expect("it can be written");
    assert_eq!(copy.text(), original);
}

#[test]
fn figures_of_another_version_and_a_page_without_marks_change_nothing() {
    let copy_of_version = copy("version");
    let report = copy_of_version.figures.join("sharded.json");
    copy_of_version.edit(&report, "\"version\":1", "\"version\":9");
    let before = copy_of_version.text();
    let cause = page(&copy_of_version.page, &copy_of_version.figures, PageAction::Rewrite)
        .expect_err("another version");
    assert!(cause.to_string().contains("its version is 9"), "{cause}");
    assert_eq!(copy_of_version.text(), before);

    let copy_of_marks = copy("marks");
    copy_of_marks.edit(&copy_of_marks.page, "<!-- begin sharded budgets -->", "");
    let before = copy_of_marks.text();
    let cause = page(&copy_of_marks.page, &copy_of_marks.figures, PageAction::Rewrite).expect_err("no marks");
    assert!(cause.to_string().contains("lacks the marks of the table \"sharded budgets\""), "{cause}");
    assert_eq!(copy_of_marks.text(), before);

    let copy_of_text = copy("text");
    std::fs::write(copy_of_text.figures.join("sharded.json"), "{}").expect("a place to write");
    let cause = page(&copy_of_text.page, &copy_of_text.figures, PageAction::Rewrite).expect_err("no figures");
    assert!(cause.to_string().contains("no report of a scale run"), "{cause}");
}
