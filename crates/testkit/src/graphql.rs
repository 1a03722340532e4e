//! GraphQL over HTTP: a stand-in server that really runs what it is asked, and counts what it changed; and what every
//! front has to do at its GraphQL endpoint.

mod storm;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use async_graphql::{EmptySubscription, Object, Request, Response, Schema};
use futures_util::FutureExt;
use serde_json::{Value, json};

use crate::conformance::{Node, Subject};
use crate::peers::*;
pub use storm::{Storm, nothing_that_changes_something_runs_twice};

/// What all servers of a cell have done together.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Done>>);

#[derive(Default)]
struct Done {
    /// How often each mutation ran, by its id.
    runs: HashMap<String, usize>,
    /// In which order they began.
    order: Vec<String>,
    /// Answers by `Idempotency-Key`.
    keys: HashMap<String, String>,
    queries: usize,
}

impl Ledger {
    fn done(&self) -> MutexGuard<'_, Done> {
        self.0.lock().unwrap()
    }

    fn ran(&self, id: &str) -> String {
        let mut done = self.done();
        *done.runs.entry(id.into()).or_default() += 1;
        done.order.push(id.into());
        id.into()
    }

    /// How often a mutation ran.
    pub fn runs(&self, id: &str) -> usize {
        self.done().runs.get(id).copied().unwrap_or(0)
    }

    /// The mutations that ran, in order.
    pub fn order(&self) -> Vec<String> {
        self.done().order.clone()
    }

    /// Those that ran more than once.
    pub fn twice(&self) -> Vec<String> {
        let done = self.done();
        done.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }

    /// How many queries ran.
    pub fn queries(&self) -> usize {
        self.done().queries
    }
}

struct Query(Ledger);

#[Object]
impl Query {
    async fn payslips(&self, first: Option<i32>) -> Vec<String> {
        self.0.done().queries += 1;
        (0..first.unwrap_or(1).clamp(0, 100)).map(|n| format!("slip {n}")).collect()
    }

    async fn broken(&self) -> async_graphql::Result<String> {
        Err("no such payslip".into())
    }
}

struct Mutation(Ledger);

#[Object]
impl Mutation {
    async fn pay(&self, id: String) -> String {
        self.0.ran(&id)
    }

    async fn submit(&self, id: String) -> String {
        self.0.ran(&id)
    }
}

/// The schema, over a ledger.
type Payroll = Schema<Query, Mutation, EmptySubscription>;

/// Something that runs what requests ask for. It knows one document by the name of `stored`, a mutation of that id.
pub struct Runner {
    schema: Payroll,
    ledger: Ledger,
}

impl Runner {
    /// A runner that writes to this ledger.
    pub fn new(ledger: Ledger) -> Runner {
        let schema =
            Schema::build(Query(ledger.clone()), Mutation(ledger.clone()), EmptySubscription).finish();
        Runner { schema, ledger }
    }

    /// Runs a request, and tells what to answer. With a key that was met before, the answer is the one of then.
    pub fn run(&self, message: &Message) -> Vec<u8> {
        let Some(request) = read(message) else {
            return answer(400, JSON, r#"{"errors":[{"message":"unreadable"}]}"#);
        };
        let key = message.header("idempotency-key").map(String::from);
        if let Some(known) = key.as_ref().and_then(|key| self.ledger.done().keys.get(key).cloned()) {
            return answer(200, JSON, &known);
        }
        let response: Response = self.schema.execute(request).now_or_never().expect("it waits for nothing");
        let body = serde_json::to_string(&response).unwrap();
        if let Some(key) = key {
            self.ledger.done().keys.insert(key, body.clone());
        }
        answer(200, JSON, &body)
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

/// Reads a request as servers do, mutations by GET and all.
fn read(message: &Message) -> Option<Request> {
    let target = message.first.split(' ').nth(1)?;
    if message.first.starts_with("GET ") {
        return async_graphql::http::parse_query_string(target.split_once('?')?.1).ok();
    }
    let body: Value = serde_json::from_slice(&message.body).ok()?;
    if body["documentId"] == json!("stored") {
        return Some(Request::new("mutation { pay(id: \"stored\") }"));
    }
    serde_json::from_value(body).ok()
}

/// Settings of an endpoint at `/graphql`.
pub const ENDPOINT: &str = r#"
[graphql]
path = "/graphql"
query = "view"
mutation = "order"
parameters = ["_"]

[graphql.limits]
batch = 4
depth = 8

[[graphql.operations]]
type = "mutation"
fields = ["submit"]
class = "submit"
"#;

/// A request of JSON by POST; `more` are further header lines.
pub fn post(more: &str, body: &str) -> Vec<u8> {
    request("POST", "/graphql", "14.0", &format!("Content-Type: application/json\r\n{more}"), body)
}

/// A request for a document.
pub fn ask(document: &str) -> Vec<u8> {
    post("", &json!({"query": document}).to_string())
}

/// What an answer holds.
pub fn body(answer: &Message) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or(Value::Null)
}

fn code(answer: &Message) -> String {
    body(answer)["errors"][0]["extensions"]["code"].as_str().unwrap_or_default().to_string()
}

/// What a server does beside running a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// It closes the connection without having run it.
    CloseBefore,
    /// It runs it, and closes the connection.
    CloseAfter,
    /// It runs it, and says no more than half of the answer.
    Half,
    /// It runs it, and answers 500.
    ErrorAfter,
    /// It says that it did not run it.
    Declined,
    /// It runs it, and is silent for longer than any client waits.
    Silent,
}

/// A server that runs requests, with some trouble for each.
pub fn server(ledger: &Ledger, trouble: impl Fn(usize) -> Trouble + Send + Sync + 'static) -> Server {
    let runner = Runner::new(ledger.clone());
    Server::new(move |number, message| match trouble(number) {
        Trouble::None => Act::Say(runner.run(message)),
        Trouble::CloseBefore => Act::SayAndClose(Vec::new()),
        Trouble::CloseAfter => {
            runner.run(message);
            Act::SayAndClose(Vec::new())
        }
        Trouble::Half => {
            let whole = runner.run(message);
            Act::SayAndClose(whole[..whole.len() / 2].to_vec())
        }
        Trouble::ErrorAfter => {
            runner.run(message);
            Act::Say(answer(500, "", "broken"))
        }
        Trouble::Declined => Act::Say(answer(503, "srv-declined: 1\r\n", "")),
        Trouble::Silent => {
            runner.run(message);
            Act::Wait
        }
    })
}

/// Makes a test of each case, for a subject.
#[macro_export]
macro_rules! graphql_conformance {
    ($subject:ty) => {
        $crate::graphql_conformance!($subject;
            a_query_goes_again_until_it_is_served,
            a_mutation_that_may_have_run_is_not_sent_again,
            a_mutation_that_never_ran_goes_elsewhere,
            a_listed_mutation_with_a_key_goes_again_and_runs_once,
            a_listed_mutation_without_a_key_is_as_any_other,
            a_mutation_by_get_is_never_sent,
            a_document_that_is_not_known_is_sent_once,
            what_could_be_read_in_two_ways_is_never_sent,
            what_is_wrong_is_said_in_the_clients_media_type,
            a_body_of_another_kind_is_not_read,
            a_batch_runs_in_order_and_its_answers_come_in_order,
            behind_a_mutation_of_unknown_outcome_no_other_runs,
            a_batch_that_is_none_is_told_so,
            parts_with_keys_are_not_taken_for_repeats,
            what_was_refused_or_failed_is_a_graphql_response,
            a_servers_answer_is_the_clients_whatever_it_says,
            a_document_over_a_limit_is_told_which,
            what_goes_on_is_the_request_as_it_came
        );
        #[test]
        fn nothing_that_changes_something_runs_twice() {
            $crate::graphql::nothing_that_changes_something_runs_twice::<$subject>($crate::graphql::Storm::SHORT);
        }
        /// 20,000 operations: `cargo test --release -- --ignored long_storm`.
        #[test]
        #[ignore = "takes minutes"]
        fn long_storm() {
            $crate::graphql::nothing_that_changes_something_runs_twice::<$subject>($crate::graphql::Storm::LONG);
        }
    };
    ($subject:ty; $($case:ident),*) => {
        $(
            #[test]
            fn $case() {
                $crate::graphql::$case::<$subject>();
            }
        )*
    };
}

fn node<S: Subject>(server: &Server) -> Node<S> {
    Node::with(&[ready("a", server)], ENDPOINT)
}

/// A query goes again until it is served, by POST and by GET.
pub fn a_query_goes_again_until_it_is_served<S: Subject>() {
    let ledger = Ledger::default();
    let troubles = [Trouble::CloseAfter, Trouble::ErrorAfter, Trouble::None, Trouble::Half, Trouble::None];
    let server = server(&ledger, move |number| troubles[number % troubles.len()]);
    let node = node::<S>(&server);
    let answer = node.client().ask(&ask("{ payslips(first: 2) }"));
    assert_eq!((answer.status(), body(&answer)), (200, json!({"data": {"payslips": ["slip 0", "slip 1"]}})));
    assert_eq!(server.count(), 3);
    let answer = node.client().ask(&request("GET", "/graphql?query=%7Bpayslips%7D&_=1", "14.0", "", ""));
    assert_eq!((answer.status(), body(&answer)), (200, json!({"data": {"payslips": ["slip 0"]}})));
    assert_eq!(server.count(), 5);
}

/// A mutation that may have run is not sent again.
pub fn a_mutation_that_may_have_run_is_not_sent_again<S: Subject>() {
    for trouble in [Trouble::CloseBefore, Trouble::CloseAfter, Trouble::Half, Trouble::ErrorAfter] {
        let ledger = Ledger::default();
        let server = server(&ledger, move |_| trouble);
        let node = node::<S>(&server);
        // A fragment, an operation's name and escapes hide nothing.
        let document =
            "query A { payslips } mutation B { ...F } fragment F on Mutation { x: pay(id: \"7\") }";
        let text = json!({"query": document, "operationName": "B"})
            .to_string()
            .replace("mutation", "\\u006dutation");
        let answer = node.client().ask(&post("", &text));
        assert_eq!((answer.status(), &*code(&answer)), (502, "OUTCOME_UNKNOWN"), "{trouble:?}");
        assert_eq!((server.count(), ledger.runs("7") <= 1), (1, true), "{trouble:?}");
    }
}

/// A mutation that never ran goes elsewhere.
pub fn a_mutation_that_never_ran_goes_elsewhere<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |number| if number < 2 { Trouble::Declined } else { Trouble::None });
    let node = node::<S>(&server);
    let answer = node.client().ask(&ask("mutation { pay(id: \"7\") }"));
    assert_eq!((answer.status(), ledger.runs("7")), (200, 1));
}

/// A listed mutation with a key goes again and runs once.
pub fn a_listed_mutation_with_a_key_goes_again_and_runs_once<S: Subject>() {
    let ledger = Ledger::default();
    let troubles = [Trouble::CloseAfter, Trouble::ErrorAfter, Trouble::None];
    let server = server(&ledger, move |number| troubles[number % troubles.len()]);
    let node = node::<S>(&server);
    let submit =
        || post("Idempotency-Key: k7\r\n", &json!({"query": "mutation { submit(id: \"7\") }"}).to_string());
    let answer = node.client().ask(&submit());
    assert_eq!((answer.status(), body(&answer)), (200, json!({"data": {"submit": "7"}})));
    assert_eq!((server.count(), ledger.runs("7")), (3, 1));
    // The client asks again with the same key.
    assert_eq!(node.client().ask(&submit()).status(), 200);
    assert_eq!(ledger.runs("7"), 1);
}

/// A listed mutation without a key is as any other, and so is one that asks for something beside.
pub fn a_listed_mutation_without_a_key_is_as_any_other<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::CloseAfter);
    let node = node::<S>(&server);
    assert_eq!(node.client().ask(&ask("mutation { submit(id: \"7\") }")).status(), 502);
    let both = json!({"query": "mutation { submit(id: \"8\") pay(id: \"9\") }"}).to_string();
    assert_eq!(node.client().ask(&post("Idempotency-Key: k8\r\n", &both)).status(), 502);
    assert_eq!((server.count(), ledger.runs("7"), ledger.runs("9")), (2, 1, 1));
}

/// A mutation by GET is never sent.
pub fn a_mutation_by_get_is_never_sent<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::None);
    let node = node::<S>(&server);
    for (query, status) in [
        ("query=mutation%7Bpay(id%3A%227%22)%7D", 405),
        ("query=query+A%7Bpayslips%7D+mutation+B%7Bpay(id%3A%227%22)%7D&operationName=A", 405),
        ("query=%7Bpayslips%7D&query=mutation%7Bpay(id%3A%227%22)%7D", 400),
        ("query=%7Bpayslips%7D;query=mutation%7Bpay(id%3A%227%22)%7D", 400),
        ("query=%7Bpayslips%7D&Query=mutation%7Bpay(id%3A%227%22)%7D", 400),
    ] {
        let answer = node.client().ask(&request(
            "GET",
            &format!("/graphql?{query}"),
            "14.0",
            "Accept: application/json\r\n",
            "",
        ));
        assert_eq!(answer.status(), status, "{query}");
        if status == 405 {
            assert_eq!((answer.header("allow"), &*code(&answer)), (Some("GET, POST"), "METHOD_NOT_ALLOWED"));
        }
    }
    let answer = node.client().ask(&request("PUT", "/graphql", "14.0", "", ""));
    assert_eq!((answer.status(), server.count()), (405, 0));
}

/// A document that is not known is sent once.
pub fn a_document_that_is_not_known_is_sent_once<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::CloseAfter);
    let node = node::<S>(&server);
    let stored = post("Idempotency-Key: k7\r\n", r#"{"documentId": "stored"}"#);
    assert_eq!(node.client().ask(&stored).status(), 502);
    assert_eq!((server.count(), ledger.runs("stored")), (1, 1));
}

/// What could be read in two ways is never sent.
pub fn what_could_be_read_in_two_ways_is_never_sent<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::None);
    let node = node::<S>(&server);
    for body in [
        r#"{"query": "{ payslips }", "query": "mutation { pay(id: 7) }"}"#.as_bytes(),
        br#"{"query": "{ payslips }", "QUERY": "mutation { pay(id: 7) }"}"#,
        br#"{"query": "{ payslips }", "id": "stored"}"#,
        br#"{"query": "{ payslips }", "documentId": "stored"}"#,
        br#"{"query": "{ payslips }", "extensions": {"persistedQuery": {"version": 1, "sha256Hash": "stored"}}}"#,
        br##"{"query": "# x\rmutation { pay(id: 7) }\n{ payslips }"}"##,
        b"\xef\xbb\xbf{\"query\": \"{ payslips }\"}",
        b"{\0\"\0q\0",
        br#"[{"query": "{ payslips }"}, {"query": "{ payslips }", "query": "{ payslips }"}]"#,
    ] {
        let mut bytes = post("", &" ".repeat(body.len()));
        let head = bytes.len() - body.len();
        bytes[head..].copy_from_slice(body);
        assert_eq!(node.client().ask(&bytes).status(), 400, "{}", String::from_utf8_lossy(body));
    }
    let json = json!({"query": "{ payslips }"}).to_string();
    let both =
        request("POST", "/graphql?query=%7Bpayslips%7D", "14.0", "Content-Type: application/json\r\n", &json);
    let answer = node.client().ask(&both);
    assert_eq!((answer.status(), &*code(&answer), server.count()), (400, "AMBIGUOUS_REQUEST", 0));
}

/// What is wrong is said in the clients media type, with its status.
pub fn what_is_wrong_is_said_in_the_clients_media_type<S: Subject>() {
    let server = server(&Ledger::default(), |_| Trouble::None);
    let node = node::<S>(&server);
    let (response, json) =
        ("application/graphql-response+json; charset=utf-8", "application/json; charset=utf-8");
    for (text, code_wanted, statuses) in [
        (r#"{"query": "{"}"#, "GRAPHQL_PARSE_FAILED", (400, 200)),
        (r#"{"query": "{ ...F }"}"#, "GRAPHQL_VALIDATION_FAILED", (400, 200)),
        (r#"{"query": "{ payslips }", "operationName": "A"}"#, "OPERATION_RESOLUTION_FAILURE", (400, 200)),
        (r#"{"query": "subscription { payslips }"}"#, "SUBSCRIPTION_NOT_SUPPORTED", (400, 200)),
        (r#"{"query": "{ payslips @stream }"}"#, "INCREMENTAL_DELIVERY_NOT_SUPPORTED", (400, 200)),
        (r#"{"query": 7}"#, "BAD_REQUEST", (400, 400)),
        (r#"{"query": "#, "BAD_REQUEST", (400, 400)),
        ("{}", "BAD_REQUEST", (400, 400)),
    ] {
        for (accept, media, status) in [
            ("", response, statuses.0),
            ("Accept: application/graphql-response+json, application/json;q=0.9\r\n", response, statuses.0),
            ("Accept: application/json\r\n", json, statuses.1),
        ] {
            let answer = node.client().ask(&post(accept, text));
            let seen = (answer.status(), answer.header("content-type"), &*code(&answer));
            assert_eq!(seen, (status, Some(media), code_wanted), "{text} {accept}");
        }
    }
    let answer = node.client().ask(&post("Accept: text/html\r\n", r#"{"query": "{ payslips }"}"#));
    assert_eq!((answer.status(), &*code(&answer)), (406, "NOT_ACCEPTABLE"));
    let without_id = b"POST /graphql HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    let answer = node.client().ask(without_id);
    assert_eq!((answer.status(), &*code(&answer), server.count()), (400, "BAD_REQUEST", 0));
}

/// A body of another kind is not read.
pub fn a_body_of_another_kind_is_not_read<S: Subject>() {
    let server = server(&Ledger::default(), |_| Trouble::None);
    let node = node::<S>(&server);
    for kind in [
        "",
        "Content-Type: application/graphql\r\n",
        "Content-Type: text/plain\r\n",
        "Content-Type: application/x-www-form-urlencoded\r\n",
        "Content-Type: multipart/form-data; boundary=x\r\n",
        "Content-Type: application/json; charset=utf-16\r\n",
        "Content-Type: application/json\r\nContent-Encoding: gzip\r\n",
    ] {
        let answer =
            node.client().ask(&request("POST", "/graphql", "14.0", kind, r#"{"query": "{ payslips }"}"#));
        assert_eq!((answer.status(), &*code(&answer)), (415, "UNSUPPORTED_MEDIA_TYPE"), "{kind}");
    }
    assert_eq!(server.count(), 0);
}

fn batch(documents: &[&str]) -> String {
    Value::from_iter(documents.iter().map(|document| json!({"query": document}))).to_string()
}

/// A batch runs in order and its answers come in order, one bad part among them.
pub fn a_batch_runs_in_order_and_its_answers_come_in_order<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::None);
    let node = node::<S>(&server);
    let documents =
        ["mutation { pay(id: \"1\") }", "{ payslips }", "query { nonsense", "mutation { pay(id: \"2\") }"];
    let answer = node.client().ask(&post("", &batch(&documents)));
    let whole = body(&answer);
    assert_eq!((answer.status(), whole.as_array().map(Vec::len)), (200, Some(4)), "{whole}");
    assert_eq!((&whole[0]["data"]["pay"], &whole[1]["data"]["payslips"][0]), (&json!("1"), &json!("slip 0")));
    assert_eq!(
        (&whole[2]["errors"][0]["extensions"]["code"], &whole[3]["data"]["pay"]),
        (&json!("GRAPHQL_PARSE_FAILED"), &json!("2"))
    );
    assert_eq!(ledger.order(), ["1", "2"]);
    // A batch of one is answered by a list of one.
    let answer = node.client().ask(&post("", &batch(&["{ payslips }"])));
    assert_eq!(body(&answer), json!([{"data": {"payslips": ["slip 0"]}}]));
}

/// Behind a mutation of unknown outcome no other runs; what reads does.
pub fn behind_a_mutation_of_unknown_outcome_no_other_runs<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |number| if number == 1 { Trouble::CloseAfter } else { Trouble::None });
    let node = node::<S>(&server);
    let documents = [
        "{ payslips }",
        "mutation { pay(id: \"1\") }",
        "mutation { pay(id: \"2\") }",
        "{ payslips(first: 2) }",
    ];
    let answer = node.client().ask(&post("", &batch(&documents)));
    let whole = body(&answer);
    let code = |at: usize| whole[at]["errors"][0]["extensions"]["code"].as_str();
    assert_eq!(
        (answer.status(), code(1), code(2)),
        (200, Some("OUTCOME_UNKNOWN"), Some("NOT_RUN")),
        "{whole}"
    );
    assert_eq!(
        (&whole[0]["data"]["payslips"][0], &whole[3]["data"]["payslips"][1]),
        (&json!("slip 0"), &json!("slip 1"))
    );
    assert_eq!((ledger.runs("1"), ledger.runs("2")), (1, 0));
}

/// A batch that is none is told so.
pub fn a_batch_that_is_none_is_told_so<S: Subject>() {
    let server = server(&Ledger::default(), |_| Trouble::None);
    let node = node::<S>(&server);
    for (text, wanted) in [
        ("[]", "BATCH_NOT_TAKEN"),
        (&*batch(&["{ payslips }"; 5]), "LIMIT_EXCEEDED"),
        ("[{\"query\": \"{ payslips }\"}", "BAD_REQUEST"),
    ] {
        let answer = node.client().ask(&post("", text));
        assert_eq!((answer.status(), &*code(&answer)), (400, wanted), "{text}");
    }
    for text in [r#"[[{"query": "{ payslips }"}]]"#, "[7]"] {
        let answer = node.client().ask(&post("", text));
        assert_eq!(
            (answer.status(), &body(&answer)[0]["errors"][0]["extensions"]["code"]),
            (400, &json!("BATCH_NOT_TAKEN")),
            "{text}"
        );
    }
    assert_eq!(server.count(), 0);
}

/// Parts with keys are not taken for repeats of the first by the server.
pub fn parts_with_keys_are_not_taken_for_repeats<S: Subject>() {
    let ledger = Ledger::default();
    let server = server(&ledger, |_| Trouble::None);
    let node = node::<S>(&server);
    let text = batch(&["mutation { submit(id: \"1\") }", "mutation { submit(id: \"2\") }"]);
    let again = || post("Idempotency-Key: k\r\n", &text);
    for _ in 0..2 {
        let answer = node.client().ask(&again());
        assert_eq!(body(&answer), json!([{"data": {"submit": "1"}}, {"data": {"submit": "2"}}]));
    }
    assert_eq!((ledger.runs("1"), ledger.runs("2")), (1, 1));
}

/// What was refused or failed is a GraphQL response, and told when to come back.
pub fn what_was_refused_or_failed_is_a_graphql_response<S: Subject>() {
    let node = Node::<S>::with(&[target("a", nobody(), 1, "ready")], ENDPOINT);
    let json = "Accept: application/json\r\n";
    let document = json!({"query": "mutation { pay(id: \"1\") }"}).to_string();
    let answer = node.client().ask(&post(json, &document));
    assert_eq!((answer.status(), &*code(&answer)), (503, "REFUSED"));
    assert_eq!(answer.header("content-type"), Some("application/json; charset=utf-8"));
    let answer = node.client().ask(&post("", &batch(&["{ payslips }", "{ payslips }"])));
    assert_eq!((answer.status(), &*code(&answer)), (503, "REFUSED"), "no part was served");

    let silent = server(&Ledger::default(), |_| Trouble::Silent);
    let late = Node::<S>::with(&[ready("a", &silent)], ENDPOINT);
    let order = request("POST", "/graphql", "0.3", "Content-Type: application/json\r\n", &document);
    let answer = late.client().ask(&order);
    assert_eq!((answer.status(), &*code(&answer)), (504, "OUTCOME_UNKNOWN_TIMED_OUT"));
    // More than the one server has room for: the others are held, and told to come back later.
    let query = json!({"query": "{ payslips }"}).to_string();
    let ask = || request("POST", "/graphql", "3", "Content-Type: application/json\r\n", &query);
    let mut clients: Vec<Client> = (0..8).map(|_| late.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&ask()));
    let answers: Vec<Message> = clients.iter_mut().map(|client| client.answer()).collect();
    let told = |answer: &&Message| {
        let after = &body(answer)["errors"][0]["extensions"]["retryAfter"];
        answer.header("retry-after") == Some("2.000") && *after == json!(2.0)
    };
    assert!(answers.iter().filter(told).count() > 0, "{answers:?}");
}

/// A servers answer is the clients, whatever it says: 200 with errors, 400, 203.
pub fn a_servers_answer_is_the_clients_whatever_it_says<S: Subject>() {
    let ledger = Ledger::default();
    let plain = server(&ledger, |_| Trouble::None);
    let first = node::<S>(&plain);
    let answer = first.client().ask(&ask("{ broken }"));
    assert_eq!((answer.status(), &body(&answer)["errors"][0]["message"]), (200, &json!("no such payslip")));
    for status in [400, 404, 422, 203] {
        let odd = Server::new(move |_, _| Act::Say(answer_with(status)));
        let node = node::<S>(&odd);
        let answer = node.client().ask(&ask("{ payslips }"));
        assert_eq!((answer.status(), &answer.body[..]), (status, &b"{\"errors\":[]}"[..]));
        assert_eq!(odd.count(), 1, "{status} is not asked for again");
    }
    // These are about the server: another may do better.
    for status in [408, 429, 500] {
        let odd = Server::new(move |number, _| Act::Say(answer_with(if number == 0 { status } else { 200 })));
        let node = node::<S>(&odd);
        assert_eq!((node.client().ask(&ask("{ payslips }")).status(), odd.count()), (200, 2), "{status}");
    }
}

fn answer_with(status: u16) -> Vec<u8> {
    answer(status, JSON, "{\"errors\":[]}")
}

/// A document over a limit is told which.
pub fn a_document_over_a_limit_is_told_which<S: Subject>() {
    let server = server(&Ledger::default(), |_| Trouble::None);
    let node = node::<S>(&server);
    for (document, limit) in [
        (format!("{{ {} }}", "a: payslips ".repeat(100)), "aliases"),
        (format!("{{ {} }}", "a: b ".repeat(6_000)), "tokens"),
        (format!("{}a{}", "{a".repeat(10_000), "}".repeat(10_000)), "tokens"),
        (format!("{}a{}", "{a".repeat(300), "}".repeat(300)), "depth"),
        (format!("{{ a(b: \"{}\") }}", "x".repeat(40_000)), "bytes"),
    ] {
        let answer = node.client().ask(&ask(&document));
        let extensions = &body(&answer)["errors"][0]["extensions"];
        assert_eq!((answer.status(), extensions), (400, &json!({"code": "LIMIT_EXCEEDED", "limit": limit})));
    }
    assert_eq!(server.count(), 0);
}

/// What goes on is the request as it came: its body, its id, its key.
pub fn what_goes_on_is_the_request_as_it_came<S: Subject>() {
    let server = server(&Ledger::default(), |_| Trouble::None);
    let node = node::<S>(&server);
    let text = " {\"query\" : \"query A($n: Int) { payslips(first: $n) }\",\r\n\"variables\":{\"n\":2}, \"extensions\": {\"a\": 1}}";
    let json = "Content-Type: application/json\r\nAccept: application/json\r\nIdempotency-Key: k\r\n";
    let answer = node.client().ask(&identified("9b1f", "POST", "/graphql?_=1", "14.0", json, text));
    assert_eq!(answer.status(), 200);
    let (_, seen) = server.request();
    assert_eq!((&*seen.first, &seen.body[..]), ("POST /graphql?_=1 HTTP/1.1", text.as_bytes()));
    assert_eq!((seen.header("req-id"), seen.header("idempotency-key")), (Some("9b1f"), Some("k")));
    assert_eq!(seen.header("accept"), Some("application/json"));
    // Parts of a batch have ids of their own.
    let batch = identified(
        "9b20",
        "POST",
        "/graphql",
        "14.0",
        json,
        &batch(&["mutation { pay(id: \"1\") }", "{ payslips }"]),
    );
    let _ = node.client().ask(&batch);
    let ids: Vec<String> = (0..2).map(|_| server.request().1.header("req-id").unwrap().to_string()).collect();
    assert_eq!(ids, ["9b20.0", "9b20.1"]);
}
