//! GraphQL features of the daemon: reload of the manifest at SIGHUP, and `dunelink graphql explain`.

#[path = "../process/mod.rs"]
mod process;

use std::io::Write;
use std::process::{Output, Stdio};

use serde_json::{Value, json};
use testkit::graphql::{ENDPOINT, Ledger, Trouble, post, server};
use testkit::peers::*;

/// A configuration with a GraphQL endpoint, one server, and the manifest at this path.
fn config(server: &str, manifest: &str) -> String {
    format!(
        r#"
name = "n0"
listen = "127.0.0.1:0"
[roster]
from = "fixed"
servers = [{{ uid = "a", endpoint = "{server}", cell = 1 }}]
[[classes]]
name = "view"
effect = "safe"
deadline = "10s"
[[classes]]
name = "submit"
effect = "keyed"
deadline = "10s"
dedup = {{ group = "cell", window = "10s" }}
[[classes]]
name = "order"
effect = "unsafe"
deadline = "10s"
{}"#,
        ENDPOINT.replace("[graphql]\n", &format!("[graphql]\ndocuments = \"{manifest}\"\n"))
    )
}

#[test]
fn sighup_reloads_valid_manifests_only() {
    let server = server(&Ledger::default(), |_| Trouble::CloseAfter);
    let manifest = process::write_as("json", "{}");
    let path = process::write_as("toml", &config(&server.address.to_string(), &manifest));
    let mut command = process::program();
    command.args(["run", "--config", &path]);
    let node = process::Process::start(command, "");
    let attempts_of_request = || {
        let before = server.count();
        let answer =
            Client::connect(node.address, Default::default()).ask(&post("", r#"{"documentId": "a"}"#));
        assert!(answer.status() >= 500, "{answer:?}");
        server.count() - before
    };
    assert_eq!(attempts_of_request(), 1, "an unknown document is sent once");
    std::fs::write(&manifest, r#"{"a": "{ payslips }"}"#).unwrap();
    node.reconfigure("");
    wait_for("the document to be known as a query", || attempts_of_request() == 3);
    for invalid in ["{", "{\"a\": 7}", r#"{"a": "{ payslips"}"#] {
        std::fs::write(&manifest, invalid).unwrap();
        node.reconfigure("");
        assert_eq!(attempts_of_request(), 3, "{invalid}");
    }
    std::fs::write(&manifest, r#"{"a": "mutation { pay(id: \"1\") }"}"#).unwrap();
    node.reconfigure("");
    wait_for("the document to be known as a mutation", || attempts_of_request() == 1);
}

#[test]
fn invalid_manifest_is_reported_at_start() {
    for (manifest, expected) in [
        ("{", ":1: expected a manifest of documents: EOF"),
        (r#"{"a": "{ b"}"#, ": a: line 1: "),
        (r#"{"a": "type A { b: Int }"}"#, ": a: only operations and fragments can be run"),
    ] {
        let manifest = process::write_as("json", manifest);
        let path = process::write_as("toml", &config("127.0.0.1:9", &manifest));
        let output = process::program().args(["check", &path]).stderr(Stdio::piped()).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && error.contains(&format!("{manifest}{expected}")), "{error}");
    }
}

fn explain(document: &str, name: &str, options: &[&str]) -> Output {
    let manifest = process::write_as("json", r#"{"a": "{ payslips }"}"#);
    let path = process::write_as("toml", &config("127.0.0.1:9", &manifest));
    let mut command = process::program();
    command.args(["graphql", "explain", name, "--config", &path]).args(options);
    let mut child =
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(document.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn explain_shows_classification_and_reason() {
    let explain_one = |document: &str, options: &[&str]| -> Value {
        let output = explain(document, "-", &[options, &["--json"]].concat());
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice::<Value>(&output.stdout).unwrap()[0].take()
    };
    let submit = "mutation A { submit(id: 1) }";
    for (document, options, class, why) in [
        ("{ payslips }", &[][..], "view", "no line of the table fits; a query by default"),
        (submit, &["--key"], "submit", "operations[0] fits"),
        (submit, &[], "order", "operations[0] fits, but there is no Idempotency-Key"),
        ("mutation { submit pay }", &["--key"], "order", "no line of the table fits; a mutation by default"),
        (
            "query A { payslips } mutation B { pay }",
            &["--operation", "A"],
            "order",
            "the document has another operation, a mutation, that must not run twice",
        ),
    ] {
        let explained = explain_one(document, options);
        assert_eq!((&explained["class"], &explained["why"]), (&json!(class), &json!(why)), "{document}");
    }
    assert_eq!(
        explain_one("query($n: Int) { payslips(first: $n) { id } }", &["--variables", "{\"n\": 9}"])["operation"]
            ["work_us"],
        json!(400)
    );
    assert_eq!(explain_one(submit, &["--get"])["status"], json!(405));
    assert_eq!(explain_one("{", &[])["status_json"], json!(200));
    let text = String::from_utf8(explain("{ payslips }", "-", &[]).stdout).unwrap();
    assert!(text.starts_with("class      view\neffect     safe\n"), "{text}");
    let body = process::write_as("json", r#"[{"query": "{ payslips }"}, {"documentId": "b"}]"#);
    let output = explain("", &body, &["--json"]);
    let parts: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(
        (&parts[0]["class"], &parts[1]["why"]),
        (&json!("view"), &json!("the document is not known here, so it may be anything"))
    );
    let output = explain("", "/nonexistent.graphql", &[]);
    assert!(
        !output.status.success()
            && String::from_utf8_lossy(&output.stderr).contains("/nonexistent.graphql can't be read")
    );
}
