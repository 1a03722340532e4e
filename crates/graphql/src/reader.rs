//! From a request's bytes to what it is taken for.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::value::RawValue;

use crate::class_table::{ClassTable, Classification};
use crate::document::{Document, OperationKind};
use crate::document_cache::DocumentCache;
use crate::error::{ErrorCode, Limit, Rejection};
use crate::limits::{Limits, Weights};
use crate::manifest::DocumentManifest;
use crate::negotiation;
use crate::params::{Params, check_beside_body};

/// What an operator says of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReader {
    /// Which class an operation is of.
    pub table: ClassTable,
    /// What a request may hold.
    pub limits: Limits,
    /// What work to expect.
    pub weights: Weights,
    /// DocumentManifest that are known by name.
    pub manifest: DocumentManifest,
    /// Parameters that servers don't heed ([`crate::is_allowable_parameter`]), and that are passed on.
    pub allowed_parameters: Vec<String>,
    /// DocumentManifest that were read before.
    pub document_cache: DocumentCache,
}

/// A request, as far as it tells what runs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a Method,
    /// Its URL's query.
    pub query: Option<&'a str>,
    /// Its fields.
    pub headers: &'a HeaderMap,
    /// Its body.
    pub body: &'a Bytes,
    /// Whether it has an `Idempotency-Key`.
    pub has_key: bool,
}

/// What a request is: one, or several in one.
#[derive(Clone, Debug, PartialEq)]
pub enum ClassifiedRequest {
    /// One.
    Single(Classification),
    /// A batch, in order: at least one.
    Batch(Vec<BatchPart>),
}

/// One request of a batch.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchPart {
    /// Its body, as it stands in the batch.
    pub body: Bytes,
    /// What it is taken for; or why it is not passed on, which is no matter of the others.
    pub classification: Result<Classification, Rejection>,
}

impl RequestReader {
    /// Reads a request. It is one that goes on as it is, or is turned down: nothing of it is changed.
    ///
    /// # Errors
    ///
    /// It is not to be passed on. Nothing else of it may be: a server might read it in another way.
    pub fn read(&self, request: Request<'_>) -> Result<ClassifiedRequest, Rejection> {
        match *request.method {
            Method::GET => self.read_get(request).map(ClassifiedRequest::Single),
            Method::POST => self.read_post(request),
            _ => Err(Rejection::new(ErrorCode::MethodNotAllowed, "expected GET or POST")),
        }
    }

    fn read_get(&self, request: Request<'_>) -> Result<Classification, Rejection> {
        if !request.body.is_empty() {
            return Err(Rejection::new(ErrorCode::Ambiguous, "a GET has no body"));
        }
        let params = Params::from_url(request.query.unwrap_or_default(), &self.allowed_parameters)?;
        let (document, classification) = self.rule(&params, request.has_key)?;
        // A document that the server alone knows goes once: it has to turn a mutation down itself.
        let mutates =
            |document: &Document| document.operations.iter().any(|o| o.kind == OperationKind::Mutation);
        if document.as_deref().is_some_and(mutates) {
            return Err(Rejection::new(ErrorCode::MethodNotAllowed, "a mutation needs POST"));
        }
        Ok(classification)
    }

    fn read_post(&self, request: Request<'_>) -> Result<ClassifiedRequest, Rejection> {
        negotiation::check_body(request.headers)?;
        check_beside_body(request.query, &self.allowed_parameters)?;
        let text = std::str::from_utf8(request.body)
            .map_err(|_| Rejection::new(ErrorCode::BadRequest, "the body is not in UTF-8"))?;
        // White space is all that may stand before it.
        if !text.trim_start_matches([' ', '\t', '\r', '\n']).starts_with('[') {
            return self.read_one(text, request.has_key).map(ClassifiedRequest::Single);
        }
        let batch = |what: &'static str| Rejection::new(ErrorCode::Batch, what);
        if self.limits.batch == 0 {
            return Err(batch("no batches are taken here"));
        }
        let parts: Vec<&RawValue> = serde_json::from_str(text)
            .map_err(|error| Rejection::new(ErrorCode::BadRequest, format!("the body: {error}")))?;
        if parts.is_empty() {
            return Err(batch("a batch of none"));
        }
        if parts.len() > self.limits.batch {
            return Err(Limit::Batch.exceeded());
        }
        let mut read = Vec::with_capacity(parts.len());
        for part in parts {
            let classification = match part.get().starts_with('{') {
                true => self.read_one(part.get(), request.has_key),
                false => Err(batch("a part of a batch has to be an object")),
            };
            // What a server might read otherwise spoils the whole: it is no more sure which part is which.
            if let Err(Rejection { code: ErrorCode::Ambiguous, message }) = classification {
                return Err(Rejection { code: ErrorCode::Ambiguous, message });
            }
            read.push(BatchPart { body: request.body.slice_ref(part.get().as_bytes()), classification });
        }
        Ok(ClassifiedRequest::Batch(read))
    }

    fn read_one(&self, text: &str, has_key: bool) -> Result<Classification, Rejection> {
        let params = Params::from_json(text, &self.allowed_parameters)?;
        self.rule(&params, has_key).map(|(_, classification)| classification)
    }

    /// What a request with these parameters is taken for, and its document if that is known.
    fn rule(
        &self,
        params: &Params,
        has_key: bool,
    ) -> Result<(Option<Arc<Document>>, Classification), Rejection> {
        let stored = params.document.as_deref();
        let text = match (&params.query, stored) {
            (Some(text), _) => text,
            (None, Some(name)) => match self.manifest.get(name) {
                Some(text) => text,
                None => return Ok((None, self.table.classify_unknown())),
            },
            // Checked before.
            (None, None) => return Err(Rejection::new(ErrorCode::BadRequest, "there is no query")),
        };
        let read = || Document::parse(text, &params.variables, &self.limits, &self.weights);
        let document = self.document_cache.get(text, &params.variables, read)?;
        let classification = self.table.classify(&document, params.operation.as_deref(), stored, has_key)?;
        if classification.operation.as_ref().is_some_and(|o| o.work > self.limits.work) {
            return Err(Limit::Work.exceeded());
        }
        Ok((Some(document), classification))
    }
}
