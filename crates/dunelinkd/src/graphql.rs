//! `dunelink graphql explain`: how a node would classify a GraphQL request, and why.

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

/// Commands for the GraphQL endpoint.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Show how a request would be classified, and why.
    Explain(Explain),
}

#[derive(Args)]
pub(crate) struct Explain {
    /// The request: a document, or the JSON body of a POST if its name ends in .json; "-" reads from standard
    /// input.
    file: PathBuf,
    /// The configuration file, with a [graphql] table.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operation to run, if the document has several.
    #[arg(long, value_name = "NAME")]
    operation: Option<String>,
    /// The values of the document's variables, as a JSON object.
    #[arg(long, value_name = "JSON")]
    variables: Option<String>,
    /// Treat the document as requested by GET.
    #[arg(long)]
    get: bool,
    /// Treat the request as having an Idempotency-Key.
    #[arg(long)]
    key: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

pub(crate) fn run(command: Command) -> anyhow::Result<()> {
    let Command::Explain(explain) = command;
    let config = Source::from_path(explain.config.clone()).read()?;
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
        let is_body = self.file.extension().is_some_and(|extension| extension == "json");
        if is_body && (self.get || self.operation.is_some() || self.variables.is_some()) {
            bail!("{name}: a JSON body can't be combined with --get, --operation and --variables");
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
        let encode = |text: &str| text.bytes().map(|byte| format!("%{byte:02X}")).collect::<String>();
        let mut query = format!("query={}", encode(&document));
        for (key, value) in [("operationName", &self.operation), ("variables", &self.variables)] {
            value.iter().for_each(|value| query += &format!("&{key}={}", encode(value)));
        }
        let uri: Uri = format!("/?{query}").parse().context("the document is too long for a URL")?;
        let (method, body) = (&Method::GET, &Bytes::new());
        Ok(reader.read(Request { method, query: uri.query(), headers: &headers, body, has_key: self.key }))
    }
}

/// The parts of a request, each with its classification or the reason for its rejection.
fn parts(verdict: &Result<ClassifiedRequest, Rejection>) -> Vec<Result<&Classification, &Rejection>> {
    match verdict {
        Err(rejection) => vec![Err(rejection)],
        Ok(ClassifiedRequest::Single(classification)) => vec![Ok(classification)],
        Ok(ClassifiedRequest::Batch(parts)) => {
            parts.iter().map(|BatchPart { classification, .. }| classification.as_ref()).collect()
        }
    }
}

fn class_name<'a>(config: &'a Config, classification: &Classification) -> &'a str {
    config.classes.get(classification.class.index).map_or("", |class| &class.name)
}

fn to_text(config: &Config, verdict: &Result<ClassifiedRequest, Rejection>) -> String {
    let mut text = String::new();
    let mut write_line = |key: &str, value: &dyn std::fmt::Display| text += &format!("{key:<11}{value}\n");
    let parts = parts(verdict);
    for (index, part) in parts.iter().enumerate() {
        if parts.len() > 1 {
            write_line("part", &index);
        }
        let classification = match part {
            Ok(classification) => classification,
            Err(rejection) => {
                write_line("turned down", &format!(" {}: {rejection}", rejection.code.name()));
                let (response, json) = (
                    rejection.status(ResponseMediaType::GraphqlResponse),
                    rejection.status(ResponseMediaType::Json),
                );
                write_line(
                    "status",
                    &format!("{}, or {} as application/json", response.as_u16(), json.as_u16()),
                );
                continue;
            }
        };
        write_line("class", &class_name(config, classification));
        write_line("effect", &classification.class.effect.name());
        write_line("why", &classification.reason);
        if let Some(operation) = &classification.operation {
            let named = operation.name.as_deref().unwrap_or("without a name");
            write_line("operation", &format!("{} {named}", operation.kind.name()));
            write_line("asks for", &operation.root_fields.join(", "));
            write_line("work", &format!("{:?}", operation.work));
            let size = operation.size;
            let (fields, depth) = (size.fields, size.depth);
            let sizes = format!(
                "{fields} fields, {depth} deep, {} aliases, {} directives",
                size.aliases, size.directives
            );
            write_line("size", &sizes);
        }
    }
    text
}

fn to_json(config: &Config, verdict: &Result<ClassifiedRequest, Rejection>) -> Value {
    let part = |part: &Result<&Classification, &Rejection>| match part {
        Err(rejection) => json!({
            "code": rejection.code.name(), "message": rejection.message,
            "status": rejection.status(ResponseMediaType::GraphqlResponse).as_u16(), "status_json": rejection.status(ResponseMediaType::Json).as_u16(),
        }),
        Ok(classification) => json!({
            "class": class_name(config, classification), "effect": classification.class.effect.name(), "why": classification.reason.to_string(),
            "operation": classification.operation.as_ref().map(|operation| json!({
                "type": operation.kind.name(), "name": operation.name, "root_fields": operation.root_fields,
                "mutates": operation.kind == OperationKind::Mutation, "work_us": operation.work.as_micros() as u64,
                "fields": operation.size.fields, "depth": operation.size.depth,
                "aliases": operation.size.aliases, "directives": operation.size.directives,
            })),
        }),
    };
    Value::from_iter(parts(verdict).iter().map(part))
}
