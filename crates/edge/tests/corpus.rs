//! The fuzz targets' corpora, replayed.

mod differential;

use testkit::corpus;

#[test]
fn paths_are_read_as_another_parser_reads_them() {
    let paths = corpus("target");
    let read = paths.iter().filter_map(|path| std::str::from_utf8(path).ok());
    let good = read.inspect(|path| differential::check_target(path));
    assert!(good.filter(|path| dunelink_edge::target::Target::parse(path).is_ok()).count() > 3);
}

#[test]
fn heads_end_where_another_parser_says_so() {
    let messages = corpus("message");
    messages.iter().for_each(|bytes| differential::check_message(bytes));
    assert!(messages.iter().map(|bytes| differential::heads(bytes).len()).max() > Some(1));
}
