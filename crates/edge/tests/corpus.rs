//! Replays the corpora of the fuzz targets.

mod differential;

use testkit::corpus;

#[test]
fn corpus_paths_match_the_url_parser() {
    let paths = corpus("target");
    let utf8_paths = paths.iter().filter_map(|path| std::str::from_utf8(path).ok());
    let checked = utf8_paths.inspect(|path| differential::check_target(path));
    assert!(checked.filter(|path| dunelink_edge::target::Target::parse(path).is_ok()).count() > 3);
}

#[test]
fn corpus_heads_match_httparse() {
    let messages = corpus("message");
    messages.iter().for_each(|bytes| differential::check_message(bytes));
    assert!(messages.iter().map(|bytes| differential::heads(bytes).len()).max() > Some(1));
}
