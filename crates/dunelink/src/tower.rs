//! Middleware for tower, and so for axum, hyper and tonic.
//!
//! [`FleetLayer`] wraps a host's own routes: a predicate says which requests go to the fleet, and all others
//! pass to the inner service untouched. [`FleetService`] is the fleet alone: for the host's own outgoing
//! calls, or as the complete service of a route.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use ::http::request::Parts;
use ::http::{Request, Response};
use http_body::Body;
use http_body_util::Either;
use pin_project_lite::pin_project;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::PollSemaphore;
use tower_layer::Layer;
use tower_service::Service;

use crate::answer_body::AnswerBody;
use crate::error::{BoxError, CallError};
use crate::http::Rendering;
use crate::node::Handle;

/// The future of a call to the fleet.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, CallError>> + Send>>;

/// The node's permits for open requests, one of which may have been acquired for the next call.
struct RequestPermits {
    handle: Handle,
    semaphore: PollSemaphore,
    permit: Option<OwnedSemaphorePermit>,
}

impl RequestPermits {
    fn new(handle: Handle) -> RequestPermits {
        RequestPermits { semaphore: PollSemaphore::new(handle.request_permits()), permit: None, handle }
    }

    /// Waits for a permit.
    fn poll_permit(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        if self.handle.is_closed() {
            return Poll::Ready(Err(CallError::Closed));
        }
        if self.permit.is_none() {
            // The semaphore is never closed.
            self.permit = Some(ready!(self.semaphore.poll_acquire(cx)).ok_or(CallError::Closed)?);
        }
        Poll::Ready(Ok(()))
    }

    /// Sends a request to the fleet, with the acquired permit or one that is free right now.
    fn send<B>(&mut self, request: Request<B>) -> AnswerFuture
    where
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<BoxError>,
    {
        let handle = self.handle.clone();
        let permit = self.permit.take().or_else(|| handle.request_permits().try_acquire_owned().ok());
        Box::pin(async move {
            let received = handle.receive_with_permit(request, None, permit).await?;
            let rendering = received.rendering();
            Ok(rendering.respond(Ok(received.answer().await?)))
        })
    }
}

/// Each clone acquires a permit of its own.
impl Clone for RequestPermits {
    fn clone(&self) -> RequestPermits {
        RequestPermits::new(self.handle.clone())
    }
}

/// The fleet as a service: every request goes to it.
///
/// `poll_ready` waits while `limits.requests` requests are open; a request that is called without it and
/// finds no free permit is refused at once. Answers are mapped to HTTP by [`respond`](crate::http::respond),
/// at the GraphQL endpoint by its [`Rendering`]; their extensions contain a
/// [`Verdict`](crate::http::Verdict). An error means that the request was not accepted.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// use dunelink::tower::FleetService;
/// use tower::ServiceExt;
///
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let fleet = FleetService::new(node.handle().clone());
/// let response = fleet.oneshot(http::Request::get("/view/7").body(String::new())?).await?;
/// assert_eq!(response.status(), 503, "this node knows no server");
/// # Ok(()) }
/// ```
#[derive(Clone)]
pub struct FleetService {
    permits: RequestPermits,
}

impl FleetService {
    /// A service for the fleet of this node.
    pub fn new(handle: Handle) -> FleetService {
        FleetService { permits: RequestPermits::new(handle) }
    }
}

impl<B> Service<Request<B>> for FleetService
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    type Response = Response<AnswerBody>;
    type Error = CallError;
    type Future = AnswerFuture;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        self.permits.poll_permit(cx)
    }

    fn call(&mut self, request: Request<B>) -> AnswerFuture {
        self.permits.send(request)
    }
}

impl fmt::Debug for FleetService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetService").finish_non_exhaustive()
    }
}

/// Decides which requests go to the fleet. It may read the head, and set extensions such as
/// [`ext::Class`](crate::ext::Class) on those that do.
type Route = Arc<dyn Fn(&mut Parts) -> bool + Send + Sync>;

/// Sends some requests to the fleet and all others to the inner service.
///
/// Errors of requests that were not accepted become responses here, because the inner service's error type is
/// the host's.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// # use dunelink::{Config, Node, config::{Class, Effect}};
/// # use std::time::Duration;
/// use axum::{Router, routing::get};
/// use dunelink::tower::FleetLayer;
///
/// # let classes = vec![Class::new("view", Effect::Safe, Duration::from_secs(1))];
/// # let node = Node::builder(Config { classes, ..Config::default() }).start()?;
/// let portal: Router = Router::new()
///     .route("/about", get(|| async { "the portal" }))
///     .fallback(|| async { "no such page" })
///     .layer(FleetLayer::new(node.handle().clone(), |head| head.uri.path().starts_with("/view/")));
/// # drop(portal);
/// # Ok(()) }
/// ```
#[derive(Clone)]
pub struct FleetLayer {
    handle: Handle,
    route: Route,
    waits_for_capacity: bool,
}

impl FleetLayer {
    /// A layer that sends requests for which `route` returns true to the fleet of this node.
    pub fn new(handle: Handle, route: impl Fn(&mut Parts) -> bool + Send + Sync + 'static) -> FleetLayer {
        FleetLayer { handle, route: Arc::new(route), waits_for_capacity: false }
    }

    /// A layer for requests whose path starts with `prefix`.
    pub fn prefix(handle: Handle, prefix: impl Into<String>) -> FleetLayer {
        let prefix = prefix.into();
        FleetLayer::new(handle, move |head| head.uri.path().starts_with(&prefix))
    }

    /// A layer for requests to the node's GraphQL endpoint, `graphql.path`; for none if it has no endpoint.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # use dunelink::{Config, Node, config::{Class, Effect, GraphQl}};
    /// # use std::time::Duration;
    /// # let classes = vec![
    /// #     Class::new("read", Effect::Safe, Duration::from_secs(1)),
    /// #     Class::new("pay", Effect::Unsafe, Duration::from_secs(1)),
    /// # ];
    /// use dunelink::tower::FleetLayer;
    ///
    /// let graphql = Some(GraphQl::new("/graphql", "read", "pay"));
    /// let node = Node::builder(Config { classes, graphql, ..Config::default() }).start()?;
    /// let portal: axum::Router = axum::Router::new()
    ///     .fallback(|| async { "no such page" })
    ///     .layer(FleetLayer::graphql(node.handle().clone()));
    /// # drop(portal);
    /// # Ok(()) }
    /// ```
    pub fn graphql(handle: Handle) -> FleetLayer {
        let path = handle.graphql_path().map(String::from);
        FleetLayer::new(handle, move |head| path.as_deref() == Some(head.uri.path()))
    }

    /// Makes `poll_ready` also wait until the node has capacity. That holds back the inner service's requests
    /// too; without it, requests beyond the capacity are refused at once with a time to stay away.
    pub fn wait_for_capacity(mut self) -> FleetLayer {
        self.waits_for_capacity = true;
        self
    }
}

impl fmt::Debug for FleetLayer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetLayer").field("waits", &self.waits_for_capacity).finish_non_exhaustive()
    }
}

impl<S> Layer<S> for FleetLayer {
    type Service = Fleet<S>;

    fn layer(&self, inner: S) -> Fleet<S> {
        Fleet {
            inner,
            permits: RequestPermits::new(self.handle.clone()),
            route: self.route.clone(),
            waits_for_capacity: self.waits_for_capacity,
        }
    }
}

/// The service that [`FleetLayer`] creates.
#[derive(Clone)]
pub struct Fleet<S> {
    inner: S,
    permits: RequestPermits,
    route: Route,
    waits_for_capacity: bool,
}

impl<S: fmt::Debug> fmt::Debug for Fleet<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl<S, B, R> Service<Request<B>> for Fleet<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    type Response = Response<Either<AnswerBody, R>>;
    type Error = S::Error;
    type Future = FleetFuture<S::Future>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        // A node that has ended refuses by itself; the inner service keeps working.
        if self.waits_for_capacity && !self.permits.handle.is_closed() {
            let _ = ready!(self.permits.poll_permit(cx));
        }
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let (mut head, body) = request.into_parts();
        let to_fleet = (self.route)(&mut head);
        let rendering = self.permits.handle.rendering(&head);
        let request = Request::from_parts(head, body);
        if !to_fleet {
            // An acquired permit is kept for the next request.
            return FleetFuture::Inner { future: self.inner.call(request) };
        }
        FleetFuture::Fleet { future: self.permits.send(request), rendering }
    }
}

pin_project! {
    /// The future of a [`Fleet`].
    #[project = FleetFutureProjection]
    #[allow(missing_docs)]
    pub enum FleetFuture<F> {
        /// The request went to the fleet.
        Fleet { future: AnswerFuture, rendering: Rendering },
        /// The request went to the inner service.
        Inner { #[pin] future: F },
    }
}

impl<F, R, E> Future for FleetFuture<F>
where
    F: Future<Output = Result<Response<R>, E>>,
{
    type Output = Result<Response<Either<AnswerBody, R>>, E>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        match self.project() {
            FleetFutureProjection::Fleet { future, rendering } => {
                let response = ready!(future.as_mut().poll(cx));
                let response = response.unwrap_or_else(|error| rendering.respond(Err(error)));
                Poll::Ready(Ok(response.map(Either::Left)))
            }
            FleetFutureProjection::Inner { future } => {
                Poll::Ready(ready!(future.poll(cx)).map(|response| response.map(Either::Right)))
            }
        }
    }
}
