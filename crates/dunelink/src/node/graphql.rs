//! Requests to the GraphQL endpoint: `dunelink_graphql` classifies them, everything else is as for any other
//! request.

use ::http::request::Parts;
use dunelink_edge::fields::KEY;
use dunelink_edge::request;
use dunelink_graphql::{
    self as graphql, Classification, ClassifiedRequest, Effect, Rejection, ResponseMediaType,
};
use http::{HeaderValue, StatusCode};
use http_body::Body;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::batch::{Batch, BatchPart};
use super::endpoint::Endpoint;
use super::handle::Handle;
use super::received_request::{ReceivedRequest, Work};
use crate::config::ConfigError;
use crate::error::{BoxError, CallError, InvalidRequest};
use crate::http::Rendering;
use crate::intake::{CommonHead, Head, MAX_ID_BYTES};
use crate::payload::Payload;

/// The error for a rejected request.
fn rejection_error(media: ResponseMediaType) -> impl Fn(Rejection) -> CallError {
    move |rejection| CallError::GraphQl { rejection, media }
}

impl Handle {
    /// The GraphQL endpoint, if the request is for it.
    pub(super) fn endpoint(&self, head: &Parts) -> Option<&Endpoint> {
        self.shared.graphql.as_ref().filter(|endpoint| endpoint.matches(head))
    }

    /// The path of the GraphQL endpoint, if the node has one.
    pub fn graphql_path(&self) -> Option<&str> {
        self.shared.graphql.as_ref().map(|endpoint| endpoint.settings.path.as_str())
    }

    /// The format in which the result of a request with this head is written for its client: plain HTTP, or a
    /// GraphQL response in the media type that the client accepts.
    pub fn rendering(&self, head: &Parts) -> Rendering {
        match self.endpoint(head) {
            Some(_) => Rendering::GraphQl(
                ResponseMediaType::negotiate(&head.headers).unwrap_or(ResponseMediaType::GraphqlResponse),
            ),
            None => Rendering::Plain,
        }
    }

    /// Reloads the manifest of the GraphQL endpoint and returns its number of documents, 0 if there is no
    /// endpoint. Requests that were read before are not affected.
    ///
    /// # Errors
    ///
    /// The manifest can't be read, or has a document that would be rejected. The old one then stays in use.
    pub fn reload_graphql_documents(&self) -> Result<usize, ConfigError> {
        self.shared.graphql.as_ref().map_or(Ok(0), Endpoint::reload)
    }

    /// Reads and checks a request to the endpoint, by `read_by` at the latest.
    pub(super) async fn read_graphql<B>(
        &self,
        endpoint: &Endpoint,
        (parts, body): (Parts, B),
        received_at: Instant,
        read_by: Option<Instant>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        self.shared.intake.target(&parts)?;
        let common = self.shared.intake.common_head(&parts, received_at)?;
        let media = ResponseMediaType::negotiate(&parts.headers)
            .map_err(rejection_error(ResponseMediaType::GraphqlResponse))?;
        let latest = common.latest_deadline(endpoint.longest_timeout);
        let body = self.read_buffered(body, received_at, latest, read_by).await?;
        let reader = endpoint.reader();
        let verdict = reader.read(graphql::Request {
            method: &parts.method,
            query: parts.uri.query(),
            headers: &parts.headers,
            body: &body,
            has_key: request::key(&parts.headers).is_some(),
        });
        let rendering = Rendering::GraphQl(media);
        match verdict.map_err(rejection_error(media))? {
            ClassifiedRequest::Single(ruling) => {
                let request = self.single_request(
                    self.head_for_class(&ruling, common),
                    parts,
                    Payload::Buffered(body.clone()),
                    permit,
                )?;
                Ok(ReceivedRequest {
                    body,
                    deadline: request.head.deadline,
                    rendering,
                    work: Work::Single(request),
                })
            }
            ClassifiedRequest::Batch(rulings) => {
                let batch = self.batch(&parts, rulings, common, permit, media)?;
                let deadline =
                    |part: &BatchPart| part.request.as_ref().ok().map(|request| request.head.deadline);
                let deadline = batch.parts.iter().filter_map(deadline).max().unwrap_or(latest);
                Ok(ReceivedRequest { body, deadline, rendering, work: Work::Batch(batch) })
            }
        }
    }

    /// The head of a request of the class that the ruling gives it.
    fn head_for_class(&self, ruling: &Classification, common: CommonHead) -> Head {
        let work = ruling.operation.as_ref().map(|operation| operation.work);
        self.shared.intake.head_for_class(ruling.class.index, common, work)
    }

    /// Builds the parts of a batch. Each has an id and a permit of its own; keyed parts after the first also
    /// get an idempotency key of their own, or servers would drop them as repeats of the first. A client that
    /// sends the same batch again sends the same keys.
    fn batch(
        &self,
        parts: &Parts,
        rulings: Vec<graphql::BatchPart>,
        common: CommonHead,
        mut permit: Option<OwnedSemaphorePermit>,
        media: ResponseMediaType,
    ) -> Result<Batch, InvalidRequest> {
        let request_id = self.engine().mailbox.next_request_id();
        let id_claim = self.shared.intake.claim(common.id.as_deref(), request_id)?;
        let mut keyed_count = 0;
        let mut batch_parts = Vec::with_capacity(rulings.len());
        for (index, graphql::BatchPart { body, classification: ruling }) in rulings.into_iter().enumerate() {
            let ruling = match ruling {
                Ok(ruling) => ruling,
                Err(rejection) => {
                    batch_parts.push(BatchPart { read_only: true, request: Err(rejection) });
                    continue;
                }
            };
            let mut parts = parts.clone();
            if ruling.class.effect == Effect::Keyed {
                if let (Some(key), true) = (request::key(&parts.headers), keyed_count > 0) {
                    let key = HeaderValue::from_str(&format!("{key}.{keyed_count}"));
                    let unreadable =
                        |_| InvalidRequest::new(StatusCode::BAD_REQUEST, "Idempotency-Key is unreadable");
                    parts.headers.insert(KEY, key.map_err(unreadable)?);
                }
                keyed_count += 1;
            }
            let mut common = common.clone();
            common.id = Some(format!("{}.{index}", id_claim.id()).into());
            if common.id.as_ref().is_some_and(|id| id.len() > MAX_ID_BYTES) {
                return Err(InvalidRequest::new(
                    StatusCode::BAD_REQUEST,
                    "Req-Id leaves no room for a batch's parts",
                ));
            }
            let permit = permit.take().or_else(|| self.request_permits().try_acquire_owned().ok());
            let request = self.single_request(
                self.head_for_class(&ruling, common),
                parts,
                Payload::Buffered(body),
                permit,
            )?;
            batch_parts
                .push(BatchPart { read_only: ruling.class.effect == Effect::Safe, request: Ok(request) });
        }
        Ok(Batch {
            parts: batch_parts,
            media,
            max_body_bytes: self.shared.max_body_bytes,
            _id_claim: id_claim,
        })
    }
}
