//! Requests at the GraphQL endpoint: what they are is told by `dunelink_graphql`, all else is as for any other.

use ::http::request::Parts;
use dunelink_edge::fields::KEY;
use dunelink_edge::request;
use dunelink_graphql::{self as graphql, Effect, Media, Rejection, Ruling, Verdict};
use http::{HeaderValue, StatusCode};
use http_body::Body;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use super::batch::{Batch, Part};
use super::endpoint::Endpoint;
use super::handle::Handle;
use super::received::{ReceivedRequest, Work};
use crate::config::ConfigError;
use crate::error::{BoxError, CallError, InvalidRequest};
use crate::http::Rendering;
use crate::intake::{Basics, Head, ID_MOST};
use crate::payload::Payload;

/// What stands in the way of a request at the endpoint.
fn rejected(media: Media) -> impl Fn(Rejection) -> CallError {
    move |rejection| CallError::GraphQl { rejection, media }
}

impl Handle {
    /// The GraphQL endpoint that a request is for, if it is.
    pub(super) fn endpoint(&self, head: &Parts) -> Option<&Endpoint> {
        self.shared.graphql.as_ref().filter(|endpoint| endpoint.is_at(head))
    }

    /// The path of the GraphQL endpoint, if there is one.
    pub fn graphql_path(&self) -> Option<&str> {
        self.shared.graphql.as_ref().map(|endpoint| endpoint.settings.path.as_str())
    }

    /// How what becomes of a request with this head is to be written for its client: as plain HTTP, or as a GraphQL
    /// response in the media type that it reads.
    pub fn rendering(&self, head: &Parts) -> Rendering {
        match self.endpoint(head) {
            Some(_) => Rendering::GraphQl(Media::accepted(&head.headers).unwrap_or(Media::Response)),
            None => Rendering::Plain,
        }
    }

    /// Reads the manifest of the GraphQL endpoint anew; tells how many documents it has. Requests that were read
    /// before go by the old one.
    ///
    /// # Errors
    ///
    /// It can't be read, or has a document that would be turned down. The old one stays then.
    pub fn reload_graphql_documents(&self) -> Result<usize, ConfigError> {
        self.shared.graphql.as_ref().map_or(Ok(0), Endpoint::reread)
    }

    /// Reads and checks a request at the endpoint.
    pub(super) async fn read_graphql<B>(
        &self,
        endpoint: &Endpoint,
        (parts, body): (Parts, B),
        came: Instant,
        within: Option<Instant>,
        place: Option<OwnedSemaphorePermit>,
    ) -> Result<ReceivedRequest, CallError>
    where
        B: Body + Send + 'static,
        B::Error: Into<BoxError>,
    {
        self.shared.intake.target(&parts)?;
        let basics = self.shared.intake.basics(&parts, came)?;
        let media = Media::accepted(&parts.headers).map_err(rejected(Media::Response))?;
        let latest = basics.by(endpoint.longest);
        let body = self.read_whole(body, came, latest, within).await?;
        let reader = endpoint.reader();
        let verdict = reader.read(graphql::Request {
            method: &parts.method,
            query: parts.uri.query(),
            headers: &parts.headers,
            body: &body,
            has_key: request::key(&parts.headers).is_some(),
        });
        let rendering = Rendering::GraphQl(media);
        match verdict.map_err(rejected(media))? {
            Verdict::Single(ruling) => {
                let one =
                    self.one(self.head_of(&ruling, basics), parts, Payload::Whole(body.clone()), place)?;
                Ok(ReceivedRequest { body, deadline: one.head.deadline, rendering, work: Work::One(one) })
            }
            Verdict::Batch(rulings) => {
                let batch = self.batch(&parts, rulings, basics, place, media)?;
                let deadline = |part: &Part| part.one.as_ref().ok().map(|one| one.head.deadline);
                let deadline = batch.parts.iter().filter_map(deadline).max().unwrap_or(latest);
                Ok(ReceivedRequest { body, deadline, rendering, work: Work::Batch(batch) })
            }
        }
    }

    /// The head of a request of the class that it was taken for.
    fn head_of(&self, ruling: &Ruling, basics: Basics) -> Head {
        let work = ruling.operation.as_ref().map(|operation| operation.work);
        self.shared.intake.head_of(ruling.class.index, basics, work)
    }

    /// The parts of a batch. Each has an id and a place of its own; keyed ones but the first have a key of their own
    /// too, or servers would drop them as repeats of the first. A client that sends the same batch again sends the
    /// same keys.
    fn batch(
        &self,
        parts: &Parts,
        rulings: Vec<graphql::Part>,
        basics: Basics,
        mut place: Option<OwnedSemaphorePermit>,
        media: Media,
    ) -> Result<Batch, InvalidRequest> {
        let number = self.engine().mailbox.number();
        let claimed = self.shared.intake.claim(basics.id.as_deref(), number)?;
        let mut keyed = 0;
        let mut ones = Vec::with_capacity(rulings.len());
        for (at, graphql::Part { body, ruling }) in rulings.into_iter().enumerate() {
            let ruling = match ruling {
                Ok(ruling) => ruling,
                Err(rejection) => {
                    ones.push(Part { reads: true, one: Err(rejection) });
                    continue;
                }
            };
            let mut parts = parts.clone();
            if ruling.class.effect == Effect::Keyed {
                if let (Some(key), true) = (request::key(&parts.headers), keyed > 0) {
                    let key = HeaderValue::from_str(&format!("{key}.{keyed}"));
                    let wrong =
                        |_| InvalidRequest::new(StatusCode::BAD_REQUEST, "Idempotency-Key is unreadable");
                    parts.headers.insert(KEY, key.map_err(wrong)?);
                }
                keyed += 1;
            }
            let mut basics = basics.clone();
            basics.id = Some(format!("{}.{at}", claimed.id()).into());
            if basics.id.as_ref().is_some_and(|id| id.len() > ID_MOST) {
                return Err(InvalidRequest::new(
                    StatusCode::BAD_REQUEST,
                    "Req-Id leaves no room for a batch's parts",
                ));
            }
            let place = place.take().or_else(|| self.places().try_acquire_owned().ok());
            let one = self.one(self.head_of(&ruling, basics), parts, Payload::Whole(body), place)?;
            ones.push(Part { reads: ruling.class.effect == Effect::Safe, one: Ok(one) });
        }
        Ok(Batch { parts: ones, media, body_most: self.shared.body_most, _claimed: claimed })
    }
}
