//! `dunelink graphql explain`: what a node would take a GraphQL request for, and why.

use std::io::Read;
use std::path::PathBuf;

use anyhow::{Context, bail};
use bytes::Bytes;
use clap::{Args, Subcommand};
use dunelink::Config;
use dunelink::graphql::{
    BatchPart, Classification, ClassifiedRequest, OperationKind, Rejection, Request, RequestReader,
    ResponseMediaType,
};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use serde_json::{Value, json};

use crate::serve::Source;

/// What operators do with the GraphQL endpoint.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Say what a request would be taken for, and why.
    Explain(Explain),
}

#[derive(Args)]
pub(crate) struct Explain {
    /// What is asked: a document, or the JSON body of a POST if its name ends in .json; "-" reads from standard input.
    file: PathBuf,
    /// The configuration, with a [graphql] table.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Which of a document's operations is meant.
    #[arg(long, value_name = "NAME")]
    operation: Option<String>,
    /// The values of a document's variables, a JSON object.
    #[arg(long, value_name = "JSON")]
    variables: Option<String>,
    /// Take a document to be asked for by GET.
    #[arg(long)]
    get: bool,
    /// Take the request to have an Idempotency-Key.
    #[arg(long)]
    key: bool,
    /// Print JSON, for programs.
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    let Command::Explain(explain) = command;
    let config = Source::of(explain.config.clone()).read()?;
    let Some(reader) = config.graphql_reader()? else {
        bail!("{}: graphql: expected a [graphql] table", explain.config.display());
    };
    let verdict = explain.read(&reader)?;
    match explain.json {
        true => println!("{}", to_json(&config, &verdict)),
        false => print!("{}", to_text(&config, &verdict)),
    }
    Ok(())
}

impl Explain {
    fn read(&self, reader: &RequestReader) -> anyhow::Result<Result<ClassifiedRequest, Rejection>> {
        let name = self.file.display();
        let text = if self.file.as_os_str() == "-" {
            let mut text = Vec::new();
            std::io::stdin().read_to_end(&mut text).context("standard input can't be read")?;
            text
        } else {
            std::fs::read(&self.file).with_context(|| format!("{name} can't be read"))?
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let is_body = self.file.extension().is_some_and(|end| end == "json");
        if is_body && (self.get || self.operation.is_some() || self.variables.is_some()) {
            bail!("{name}: a body says itself what --get, --operation and --variables would");
        }
        let post = |body: &Bytes| {
            reader.read(Request {
                method: &Method::POST,
                query: None,
                headers: &headers,
                body,
                has_key: self.key,
            })
        };
        if is_body {
            return Ok(post(&text.into()));
        }
        let document = String::from_utf8(text).with_context(|| format!("{name}: expected UTF-8"))?;
        let variables = self.variables.as_deref().map(serde_json::from_str::<Value>).transpose();
        let variables = variables.context("--variables: expected JSON")?;
        if !self.get {
            let body = json!({"query": document, "operationName": self.operation, "variables": variables});
            return Ok(post(&body.to_string().into()));
        }
        let encode = |text: &str| text.bytes().map(|octet| format!("%{octet:02X}")).collect::<String>();
        let mut query = format!("query={}", encode(&document));
        for (key, value) in [("operationName", &self.operation), ("variables", &self.variables)] {
            value.iter().for_each(|value| query += &format!("&{key}={}", encode(value)));
        }
        let uri: Uri = format!("/?{query}").parse().context("the document is too long for a URL")?;
        let (method, body) = (&Method::GET, &Bytes::new());
        Ok(reader.read(Request { method, query: uri.query(), headers: &headers, body, has_key: self.key }))
    }
}

/// The parts of a request, each with what it is taken for.
fn parts(verdict: &Result<ClassifiedRequest, Rejection>) -> Vec<Result<&Classification, &Rejection>> {
    match verdict {
        Err(rejection) => vec![Err(rejection)],
        Ok(ClassifiedRequest::Single(ruling)) => vec![Ok(ruling)],
        Ok(ClassifiedRequest::Batch(parts)) => {
            parts.iter().map(|BatchPart { classification, .. }| classification.as_ref()).collect()
        }
    }
}

fn class_name<'a>(config: &'a Config, ruling: &Classification) -> &'a str {
    config.classes.get(ruling.class.index).map_or("", |class| &class.name)
}

fn to_text(config: &Config, verdict: &Result<ClassifiedRequest, Rejection>) -> String {
    let mut text = String::new();
    let mut say = |key: &str, value: &dyn std::fmt::Display| text += &format!("{key:<11}{value}\n");
    let parts = parts(verdict);
    for (at, part) in parts.iter().enumerate() {
        if parts.len() > 1 {
            say("part", &at);
        }
        let ruling = match part {
            Ok(ruling) => ruling,
            Err(wrong) => {
                say("turned down", &format!(" {}: {wrong}", wrong.code.name()));
                let (response, json) =
                    (wrong.status(ResponseMediaType::GraphqlResponse), wrong.status(ResponseMediaType::Json));
                say("status", &format!("{}, or {} as application/json", response.as_u16(), json.as_u16()));
                continue;
            }
        };
        say("class", &class_name(config, ruling));
        say("effect", &ruling.class.effect.name());
        say("why", &ruling.reason);
        if let Some(operation) = &ruling.operation {
            let named = operation.name.as_deref().unwrap_or("without a name");
            say("operation", &format!("{} {named}", operation.kind.name()));
            say("asks for", &operation.root_fields.join(", "));
            say("work", &format!("{:?}", operation.work));
            let size = operation.size;
            let (fields, depth) = (size.fields, size.depth);
            let sizes = format!(
                "{fields} fields, {depth} deep, {} aliases, {} directives",
                size.aliases, size.directives
            );
            say("size", &sizes);
        }
    }
    text
}

fn to_json(config: &Config, verdict: &Result<ClassifiedRequest, Rejection>) -> Value {
    let part = |part: &Result<&Classification, &Rejection>| match part {
        Err(wrong) => json!({
            "code": wrong.code.name(), "message": wrong.message,
            "status": wrong.status(ResponseMediaType::GraphqlResponse).as_u16(), "status_json": wrong.status(ResponseMediaType::Json).as_u16(),
        }),
        Ok(ruling) => json!({
            "class": class_name(config, ruling), "effect": ruling.class.effect.name(), "why": ruling.reason.to_string(),
            "operation": ruling.operation.as_ref().map(|operation| json!({
                "type": operation.kind.name(), "name": operation.name, "root_fields": operation.root_fields,
                "mutates": operation.kind == OperationKind::Mutation, "work_us": operation.work.as_micros() as u64,
                "fields": operation.size.fields, "depth": operation.size.depth,
                "aliases": operation.size.aliases, "directives": operation.size.directives,
            })),
        }),
    };
    Value::from_iter(parts(verdict).iter().map(part))
}
