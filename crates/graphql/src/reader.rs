//! Reads and classifies requests.

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
use crate::params::{Params, check_query_beside_body};

/// Reads the requests of an endpoint, by the operator's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReader {
    /// Assigns a class to each operation.
    pub table: ClassTable,
    /// The limits on a request.
    pub limits: Limits,
    /// The weights that estimate the work of an operation.
    pub weights: Weights,
    /// The documents that clients can request by name.
    pub manifest: DocumentManifest,
    /// Names of further parameters that servers ignore and requests may have
    /// ([`crate::is_allowable_parameter`]).
    pub allowed_parameters: Vec<String>,
    /// The cache of parsed documents.
    pub document_cache: DocumentCache,
}

/// The parts of an HTTP request that determine which operation runs.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The query component of the URL.
    pub query: Option<&'a str>,
    /// The header fields.
    pub headers: &'a HeaderMap,
    /// The body.
    pub body: &'a Bytes,
    /// Whether the request has an `Idempotency-Key`.
    pub has_key: bool,
}

/// The classification of an HTTP request: of a single GraphQL request, or of each in a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum ClassifiedRequest {
    /// A single request.
    Single(Classification),
    /// A batch, in order; it has at least one part.
    Batch(Vec<BatchPart>),
}

/// One request of a batch.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchPart {
    /// The JSON of the part, as it is in the batch.
    pub body: Bytes,
    /// The classification, or why this part is rejected; the other parts are not affected.
    pub classification: Result<Classification, Rejection>,
}

impl RequestReader {
    /// Reads and classifies a request, which is then forwarded unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be forwarded. No part of it may be: a server might read it differently.
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
        let (document, classification) = self.classify(&params, request.has_key)?;
        // A document that only the server knows is sent once; the server has to reject a mutation itself.
        let mutates =
            |document: &Document| document.operations.iter().any(|o| o.kind == OperationKind::Mutation);
        if document.as_deref().is_some_and(mutates) {
            return Err(Rejection::new(ErrorCode::MethodNotAllowed, "a mutation needs POST"));
        }
        Ok(classification)
    }

    fn read_post(&self, request: Request<'_>) -> Result<ClassifiedRequest, Rejection> {
        negotiation::check_body(request.headers)?;
        check_query_beside_body(request.query, &self.allowed_parameters)?;
        let text = std::str::from_utf8(request.body)
            .map_err(|_| Rejection::new(ErrorCode::BadRequest, "the body is not in UTF-8"))?;
        // Only white space may precede the array.
        if !text.trim_start_matches([' ', '\t', '\r', '\n']).starts_with('[') {
            return self.read_single(text, request.has_key).map(ClassifiedRequest::Single);
        }
        let batch_error = |message: &'static str| Rejection::new(ErrorCode::Batch, message);
        if self.limits.batch == 0 {
            return Err(batch_error("no batches are taken here"));
        }
        let parts: Vec<&RawValue> = serde_json::from_str(text)
            .map_err(|error| Rejection::new(ErrorCode::BadRequest, format!("the body: {error}")))?;
        if parts.is_empty() {
            return Err(batch_error("a batch of none"));
        }
        if parts.len() > self.limits.batch {
            return Err(Limit::Batch.exceeded());
        }
        let mut classified = Vec::with_capacity(parts.len());
        for part in parts {
            let classification = match part.get().starts_with('{') {
                true => self.read_single(part.get(), request.has_key),
                false => Err(batch_error("a part of a batch has to be an object")),
            };
            // If a server might read one part differently, the whole batch is rejected: its parts could be
            // split differently.
            if let Err(Rejection { code: ErrorCode::Ambiguous, message }) = classification {
                return Err(Rejection { code: ErrorCode::Ambiguous, message });
            }
            classified
                .push(BatchPart { body: request.body.slice_ref(part.get().as_bytes()), classification });
        }
        Ok(ClassifiedRequest::Batch(classified))
    }

    fn read_single(&self, text: &str, has_key: bool) -> Result<Classification, Rejection> {
        let params = Params::from_json(text, &self.allowed_parameters)?;
        self.classify(&params, has_key).map(|(_, classification)| classification)
    }

    /// Classifies a request with these parameters; also returns its document, if its text is known.
    fn classify(
        &self,
        params: &Params,
        has_key: bool,
    ) -> Result<(Option<Arc<Document>>, Classification), Rejection> {
        let document_name = params.document_name.as_deref();
        let text = match (&params.query, document_name) {
            (Some(text), _) => text,
            (None, Some(name)) => match self.manifest.get(name) {
                Some(text) => text,
                None => return Ok((None, self.table.classify_unknown())),
            },
            // `Params` never has neither.
            (None, None) => return Err(Rejection::new(ErrorCode::BadRequest, "there is no query")),
        };
        let parse = || Document::parse(text, &params.variables, &self.limits, &self.weights);
        let document = self.document_cache.get(text, &params.variables, parse)?;
        let classification =
            self.table.classify(&document, params.operation.as_deref(), document_name, has_key)?;
        if classification.operation.as_ref().is_some_and(|o| o.work > self.limits.work) {
            return Err(Limit::Work.exceeded());
        }
        Ok((Some(document), classification))
    }
}
