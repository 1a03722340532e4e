//! The mapping of answers and errors to HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use dunelink_graphql::{ErrorCode, FailureResponse, Rejection, ResponseMediaType, error_body};
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};

use crate::answer_body::AnswerBody;
use crate::error::{CallError, InvalidRequest};
use crate::types::Answer;

/// What a response stands for; set in the extensions of every response that [`respond`] builds.
///
/// ```
/// use dunelink::http::{Verdict, respond};
/// use dunelink::{Answer, CallError};
///
/// let failed = respond(Ok(Answer::Failed { timed_out: true }));
/// assert_eq!((failed.status().as_u16(), failed.extensions().get()), (504, Some(&Verdict::Failed)));
/// assert_eq!(respond(Err(CallError::Closed)).extensions().get(), Some(&Verdict::NotTaken));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A server's answer.
    Served,
    /// The request was refused; a retry is harmless.
    Refused,
    /// The request failed and may have run.
    Failed,
    /// The request was not accepted; nothing ran.
    NotTaken,
}

/// An answer, or the reason why there is none, as an HTTP response.
///
/// | what | status |
/// | --- | --- |
/// | served | the server's own |
/// | refused | 503, with `Retry-After` (seconds, three decimals) where the client should stay away |
/// | failed | 504 if time ran out, else 502 |
/// | not taken | [`CallError::status`]; 405 with `Allow` |
///
/// ```
/// use std::time::Duration;
/// use dunelink::{Answer, http::respond};
///
/// let refused = Answer::Refused { retry_after: Some(Duration::from_millis(1500)) };
/// let response = respond(Ok(refused));
/// assert_eq!((response.status().as_u16(), &response.headers()["retry-after"]), (503, &"1.500".parse().unwrap()));
/// ```
pub fn respond(result: Result<Answer, CallError>) -> Response<AnswerBody> {
    let (mut response, verdict) = match result {
        Ok(Answer::Served(response)) => (response, Verdict::Served),
        Ok(Answer::Refused { retry_after }) => (refused_response(retry_after), Verdict::Refused),
        Ok(Answer::Failed { timed_out: true }) => {
            (plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"), Verdict::Failed)
        }
        Ok(Answer::Failed { timed_out: false }) => {
            (plain(StatusCode::BAD_GATEWAY, "no answer"), Verdict::Failed)
        }
        Err(error) => (error_response(&error), Verdict::NotTaken),
    };
    response.extensions_mut().insert(verdict);
    response
}

/// The format in which the result of a request is written for its client.
///
/// ```
/// use dunelink::http::Rendering;
/// use dunelink::{Answer, graphql::ResponseMediaType};
///
/// let response = Rendering::GraphQl(ResponseMediaType::Json).respond(Ok(Answer::Failed { timed_out: true }));
/// assert_eq!(response.headers()["content-type"], "application/json; charset=utf-8");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rendering {
    /// Plain HTTP, as by [`respond`].
    Plain,
    /// A GraphQL response of this media type, with the status of [`respond`].
    GraphQl(ResponseMediaType),
}

impl Rendering {
    /// An answer, or the reason why there is none, as an HTTP response.
    pub fn respond(self, result: Result<Answer, CallError>) -> Response<AnswerBody> {
        let Rendering::GraphQl(media) = self else { return respond(result) };
        let body = match &result {
            Ok(Answer::Served(_)) | Err(CallError::GraphQl { .. }) => None,
            Ok(Answer::Refused { retry_after }) => Some(FailureResponse::Refused(*retry_after).body()),
            Ok(Answer::Failed { timed_out }) => {
                Some(FailureResponse::Failed { timed_out: *timed_out }.body())
            }
            Err(error @ CallError::Closed) => Some(error_body(&error.to_string(), "REFUSED")),
            Err(error) => Some(error_body(&error.to_string(), "BAD_REQUEST")),
        };
        let mut response = respond(result);
        if let Some(body) = body {
            *response.body_mut() = AnswerBody::from(body);
            response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media.name()));
        }
        response
    }
}

/// A response with a plain text body.
///
/// ```
/// let response = dunelink::http::plain(http::StatusCode::NOT_FOUND, "no such page");
/// assert_eq!(response.status(), 404);
/// ```
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(text));
    *response.status_mut() = status;
    response
}

fn error_response(error: &CallError) -> Response<AnswerBody> {
    if let CallError::GraphQl { rejection, media } = error {
        return rejected_response(rejection, *media);
    }
    let mut response = plain(error.status(), error.to_string());
    // RFC 9110, section 15.5.6, requires `Allow` with status 405.
    if let CallError::Invalid(InvalidRequest { allow: Some(method), .. }) = error {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(method));
    }
    response
}

/// A GraphQL response that the node builds itself.
pub(crate) fn graphql_response<B>(status: StatusCode, media: ResponseMediaType, body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(media.name()));
    response
}

fn rejected_response(rejection: &Rejection, media: ResponseMediaType) -> Response<AnswerBody> {
    let mut response = graphql_response(rejection.status(media), media, AnswerBody::from(rejection.body()));
    if rejection.code == ErrorCode::MethodNotAllowed {
        response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
    }
    response
}

fn refused_response(retry_after: Option<Duration>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let value = retry_after.and_then(|d| HeaderValue::from_str(&format!("{:.3}", d.as_secs_f64())).ok());
    value.into_iter().for_each(|v| {
        response.headers_mut().insert(header::RETRY_AFTER, v);
    });
    response
}
