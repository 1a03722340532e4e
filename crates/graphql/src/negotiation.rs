//! ResponseMediaType types: what a client reads, and what it sent.

use http::header::{self, HeaderMap, HeaderValue};
use mediatype::{MediaType, MediaTypeList, Name, ReadParams};

use crate::error::{ErrorCode, Rejection};
use crate::media::ResponseMediaType;

const CHARSET: Name<'static> = Name::new_unchecked("charset");
const Q: Name<'static> = Name::new_unchecked("q");

impl ResponseMediaType {
    /// What a client reads best, by its `Accept` fields; without any it reads
    /// `application/graphql-response+json`, as it may since the specification's watershed of 2025-01-01. Of two
    /// that it reads equally well, the same.
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
    /// It reads neither ([`ErrorCode::NotAcceptable`]).
    pub fn negotiate(headers: &HeaderMap) -> Result<ResponseMediaType, Rejection> {
        let mut fields = headers.get_all(header::ACCEPT).iter().peekable();
        if fields.peek().is_none() {
            return Ok(ResponseMediaType::GraphqlResponse);
        }
        // How well each is read, and how precisely that is said.
        let (mut response, mut json) = ((0_u8, 0.0_f32), (0_u8, 0.0_f32));
        for entry in fields.filter_map(|f| f.to_str().ok()).flat_map(MediaTypeList::new).flatten() {
            let Some(quality) = quality(&entry) else { continue };
            let named = (entry.ty.as_str(), entry.subty.as_str(), entry.suffix.map(|s| s.as_str()));
            let is = |name: (&str, &str, Option<&str>)| {
                named.0.eq_ignore_ascii_case(name.0)
                    && named.1.eq_ignore_ascii_case(name.1)
                    && named.2.map(str::to_ascii_lowercase).as_deref() == name.2
            };
            let any = is(("*", "*", None));
            let application = is(("application", "*", None));
            let wide = if application { 2 } else { 1 };
            if any || application {
                note(&mut response, wide, quality);
                note(&mut json, wide, quality);
            } else if is(("application", "graphql-response", Some("json"))) {
                note(&mut response, 3, quality);
            } else if is(("application", "json", None)) {
                note(&mut json, 3, quality);
            }
        }
        match (response.1, json.1) {
            (response, json) if response > 0.0 && response >= json => Ok(ResponseMediaType::GraphqlResponse),
            (_, json) if json > 0.0 => Ok(ResponseMediaType::Json),
            _ => {
                let known = "Accept has neither application/graphql-response+json nor application/json";
                Err(Rejection::new(ErrorCode::NotAcceptable, known))
            }
        }
    }
}

/// The most precise word counts; of two as precise, the better one.
fn note(best: &mut (u8, f32), precise: u8, quality: f32) {
    if precise > best.0 || precise == best.0 && quality > best.1 {
        *best = (precise, quality);
    }
}

/// How well a client reads what it names; nothing if not in UTF-8, or without sense.
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

/// Checks that a body is JSON in UTF-8, and nothing has to be undone to read it.
///
/// # Errors
///
/// It is something else, or does not say ([`ErrorCode::UnsupportedMediaType`]).
pub(crate) fn check_body(headers: &HeaderMap) -> Result<(), Rejection> {
    let wrong = |what: &'static str| Err(Rejection::new(ErrorCode::UnsupportedMediaType, what));
    let encoded = |value: &HeaderValue| !value.as_bytes().eq_ignore_ascii_case(b"identity");
    if headers.get_all(header::CONTENT_ENCODING).iter().any(encoded) {
        return wrong("a body with a Content-Encoding is not read");
    }
    let mut fields = headers.get_all(header::CONTENT_TYPE).iter();
    let (Some(field), None) = (fields.next(), fields.next()) else {
        return wrong("expected one Content-Type, application/json");
    };
    let Some(media) = field.to_str().ok().and_then(|text| MediaType::parse(text).ok()) else {
        return wrong("Content-Type can't be read");
    };
    let json = media.ty.as_str().eq_ignore_ascii_case("application")
        && media.subty.as_str().eq_ignore_ascii_case("json")
        && media.suffix.is_none();
    if !json {
        return wrong("expected a body of application/json");
    }
    let charsets = media.params().filter(|(name, _)| *name == CHARSET).count();
    if charsets > 1 || !is_utf8(&media) {
        return wrong("expected a body in UTF-8");
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
    fn a_client_is_answered_in_what_it_reads_best() {
        let (response, json, neither) =
            (Some(ResponseMediaType::GraphqlResponse), Some(ResponseMediaType::Json), None);
        for (accept, wanted) in [
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
                wanted,
                "{accept:?}"
            );
        }
    }

    #[test]
    fn a_body_is_json_in_utf8_or_not_read() {
        for (kind, read) in [
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
            assert_eq!(check_body(&fields(header::CONTENT_TYPE, kind)).is_ok(), read, "{kind:?}");
        }
        let mut headers = fields(header::CONTENT_TYPE, &["application/json"]);
        headers.insert(header::CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        assert!(check_body(&headers).is_err());
    }
}
