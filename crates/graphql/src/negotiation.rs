//! Negotiation of the response's media type, and the check of the request body's.

use http::header::{self, HeaderMap, HeaderValue};
use mediatype::{MediaType, MediaTypeList, Name, ReadParams};

use crate::error::{ErrorCode, Rejection};
use crate::media::ResponseMediaType;

const CHARSET: Name<'static> = Name::new_unchecked("charset");
const Q: Name<'static> = Name::new_unchecked("q");

impl ResponseMediaType {
    /// The media type that a client prefers by its `Accept` fields. If it has none, or accepts both equally,
    /// the response is `application/graphql-response+json`, as the specification allows since its watershed
    /// date, 2025-01-01.
    ///
    /// ```
    /// use dunelink_graphql::ResponseMediaType;
    ///
    /// let request = http::Request::post("/graphql").header("accept", "application/json, */*;q=0.5").body(())?;
    /// assert_eq!(ResponseMediaType::negotiate(request.headers()), Ok(ResponseMediaType::Json));
    /// # Ok::<(), http::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// The client accepts neither ([`ErrorCode::NotAcceptable`]).
    pub fn negotiate(headers: &HeaderMap) -> Result<ResponseMediaType, Rejection> {
        let mut fields = headers.get_all(header::ACCEPT).iter().peekable();
        if fields.peek().is_none() {
            return Ok(ResponseMediaType::GraphqlResponse);
        }
        // For each media type, the specificity of the best matching range and its quality.
        let (mut response, mut json) = ((0_u8, 0.0_f32), (0_u8, 0.0_f32));
        for entry in fields.filter_map(|f| f.to_str().ok()).flat_map(MediaTypeList::new).flatten() {
            let Some(quality) = quality(&entry) else { continue };
            let entry_name = (entry.ty.as_str(), entry.subty.as_str(), entry.suffix.map(|s| s.as_str()));
            let is = |name: (&str, &str, Option<&str>)| {
                entry_name.0.eq_ignore_ascii_case(name.0)
                    && entry_name.1.eq_ignore_ascii_case(name.1)
                    && entry_name.2.map(str::to_ascii_lowercase).as_deref() == name.2
            };
            let any_type = is(("*", "*", None));
            let any_application = is(("application", "*", None));
            let specificity = if any_application { 2 } else { 1 };
            if any_type || any_application {
                keep_most_specific(&mut response, specificity, quality);
                keep_most_specific(&mut json, specificity, quality);
            } else if is(("application", "graphql-response", Some("json"))) {
                keep_most_specific(&mut response, 3, quality);
            } else if is(("application", "json", None)) {
                keep_most_specific(&mut json, 3, quality);
            }
        }
        match (response.1, json.1) {
            (response, json) if response > 0.0 && response >= json => Ok(ResponseMediaType::GraphqlResponse),
            (_, json) if json > 0.0 => Ok(ResponseMediaType::Json),
            _ => {
                let message = "Accept has neither application/graphql-response+json nor application/json";
                Err(Rejection::new(ErrorCode::NotAcceptable, message))
            }
        }
    }
}

/// Keeps the quality of the most specific media range; of two equally specific ones, the higher quality.
fn keep_most_specific(best: &mut (u8, f32), specificity: u8, quality: f32) {
    if specificity > best.0 || specificity == best.0 && quality > best.1 {
        *best = (specificity, quality);
    }
}

/// The quality of an entry of `Accept`; `None` if it has another charset than UTF-8 or an invalid `q`.
fn quality(entry: &MediaType<'_>) -> Option<f32> {
    if !is_utf8(entry) {
        return None;
    }
    match entry.get_param(Q) {
        None => Some(1.0),
        Some(q) => q.as_str().parse().ok().filter(|q| (0.0..=1.0).contains(q)),
    }
}

fn is_utf8(media: &MediaType<'_>) -> bool {
    media.get_param(CHARSET).is_none_or(|charset| charset.unquoted_str().eq_ignore_ascii_case("utf-8"))
}

/// Checks that a request's header declares a body of JSON in UTF-8, without a content encoding.
///
/// # Errors
///
/// Fails if the body is of another type, or of none ([`ErrorCode::UnsupportedMediaType`]).
pub(crate) fn check_body(headers: &HeaderMap) -> Result<(), Rejection> {
    let unsupported = |message: &'static str| Err(Rejection::new(ErrorCode::UnsupportedMediaType, message));
    let is_encoded = |value: &HeaderValue| !value.as_bytes().eq_ignore_ascii_case(b"identity");
    if headers.get_all(header::CONTENT_ENCODING).iter().any(is_encoded) {
        return unsupported("a body with a Content-Encoding is not read");
    }
    let mut fields = headers.get_all(header::CONTENT_TYPE).iter();
    let (Some(field), None) = (fields.next(), fields.next()) else {
        return unsupported("expected one Content-Type, application/json");
    };
    let Some(media) = field.to_str().ok().and_then(|text| MediaType::parse(text).ok()) else {
        return unsupported("Content-Type can't be read");
    };
    let is_json = media.ty.as_str().eq_ignore_ascii_case("application")
        && media.subty.as_str().eq_ignore_ascii_case("json")
        && media.suffix.is_none();
    if !is_json {
        return unsupported("expected a body of application/json");
    }
    let charset_count = media.params().filter(|(name, _)| *name == CHARSET).count();
    if charset_count > 1 || !is_utf8(&media) {
        return unsupported("expected a body in UTF-8");
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fields(name: header::HeaderName, values: &[&str]) -> HeaderMap {
        values.iter().map(|v| (name.clone(), HeaderValue::from_str(v).unwrap())).collect()
    }

    #[test]
    fn negotiates_the_preferred_media_type() {
        let (response, json, neither) =
            (Some(ResponseMediaType::GraphqlResponse), Some(ResponseMediaType::Json), None);
        for (accept, expected) in [
            (&[][..], response),
            (&["application/graphql-response+json"][..], response),
            (&["application/json"], json),
            (&["APPLICATION/JSON; charset=UTF-8"], json),
            (&["application/json; charset=\"utf-8\""], json),
            (
                &["application/graphql-response+json; charset=utf-8, application/json; charset=utf-8"],
                response,
            ),
            (&["application/json", "application/graphql-response+json"], response),
            (&["application/graphql-response+json;q=0.5, application/json"], json),
            (&["*/*"], response),
            (&["application/*;q=0.1"], response),
            (&["application/json, */*;q=0.5"], json),
            (&["*/*, application/graphql-response+json;q=0"], json),
            (&["application/graphql-response+json;q=0, application/json;q=0"], neither),
            (&["text/html"], neither),
            (&["multipart/mixed"], neither),
            (&["text/event-stream"], neither),
            (&["application/json; charset=utf-16"], neither),
            (&["application/json;q=2"], neither),
            (&[""], neither),
        ] {
            assert_eq!(
                ResponseMediaType::negotiate(&fields(header::ACCEPT, accept)).ok(),
                expected,
                "{accept:?}"
            );
        }
    }

    #[test]
    fn accepts_only_json_in_utf8() {
        for (content_type, accepted) in [
            (&["application/json"][..], true),
            (&["application/json; charset=utf-8"], true),
            (&["Application/JSON;charset=\"UTF-8\""], true),
            (&["application/json; boundary=x"], true),
            (&[], false),
            (&["application/json", "application/json"], false),
            (&["application/json; charset=utf-16"], false),
            (&["application/json; charset=utf-8; charset=utf-16"], false),
            (&["application/json, application/graphql"], false),
            (&["application/graphql"], false),
            (&["application/graphql+json"], false),
            (&["text/json"], false),
            (&["text/plain"], false),
            (&["application/x-www-form-urlencoded"], false),
            (&["multipart/form-data; boundary=x"], false),
        ] {
            assert_eq!(
                check_body(&fields(header::CONTENT_TYPE, content_type)).is_ok(),
                accepted,
                "{content_type:?}"
            );
        }
        let mut headers = fields(header::CONTENT_TYPE, &["application/json"]);
        headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        assert!(check_body(&headers).is_err());
    }
}
