//! A cache of parsed documents: clients send the same few documents again and again, and parsing one costs
//! more than everything else that is done for a request.

use std::hash::RandomState;
use std::sync::Arc;

use quick_cache::Weighter;
use quick_cache::sync::{Cache, DefaultLifecycle};
use serde_json::{Map, Value};

use crate::document::Document;
use crate::error::Rejection;

/// The approximate memory of an operation of a cached document, beside the document's text.
const OPERATION_BYTES: u64 = 512;

/// A cache of parsed documents by their whole text, so that no other document can be mistaken for a cached
/// one. Its size in bytes is bounded; `quick_cache` decides which documents are evicted (S3-FIFO, after Yang
/// et al., SOSP 2023).
pub struct DocumentCache(Option<Cache<Box<str>, Arc<Document>, DocumentWeighter, RandomState>>);

#[derive(Clone)]
struct DocumentWeighter;

impl Weighter<Box<str>, Arc<Document>> for DocumentWeighter {
    fn weight(&self, text: &Box<str>, document: &Arc<Document>) -> u64 {
        OPERATION_BYTES * document.operations.len() as u64 + text.len() as u64
    }
}

impl DocumentCache {
    /// Creates a cache for about this many bytes of documents; 0 disables it.
    pub fn with_capacity(bytes: u64) -> DocumentCache {
        let items = usize::try_from(bytes / (2 * OPERATION_BYTES)).unwrap_or(usize::MAX);
        // Clients choose the texts, so the hash function is seeded randomly.
        let cache = || {
            Cache::with(
                items.max(1),
                bytes,
                DocumentWeighter,
                RandomState::new(),
                DefaultLifecycle::default(),
            )
        };
        DocumentCache((bytes > 0).then(cache))
    }

    /// Returns the cached document with this text, or parses it with `parse`. A document whose estimated work
    /// depends on variables is parsed again when these have other values.
    pub(crate) fn get(
        &self,
        text: &str,
        variables: &Map<String, Value>,
        parse: impl FnOnce() -> Result<Document, Rejection>,
    ) -> Result<Arc<Document>, Rejection> {
        let Some(cache) = &self.0 else { return parse().map(Arc::new) };
        if let Some(cached) = cache.get(text).filter(|cached| cached.has_same_work(variables)) {
            return Ok(cached);
        }
        let document = Arc::new(parse()?);
        cache.insert(text.into(), document.clone());
        Ok(document)
    }

    /// The number of cached documents.
    pub fn len(&self) -> usize {
        self.0.as_ref().map_or(0, Cache::len)
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A clone has the same capacity, but starts empty.
impl Clone for DocumentCache {
    fn clone(&self) -> DocumentCache {
        DocumentCache::with_capacity(self.0.as_ref().map_or(0, Cache::capacity))
    }
}

impl Default for DocumentCache {
    fn default() -> DocumentCache {
        DocumentCache::with_capacity(0)
    }
}

/// All caches are equal: their contents don't affect how requests are read.
impl PartialEq for DocumentCache {
    fn eq(&self, _: &DocumentCache) -> bool {
        true
    }
}

impl std::fmt::Debug for DocumentCache {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Known").field("len", &self.len()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use serde_json::json;

    use super::*;
    use crate::limits::{Limits, Weights};

    #[test]
    fn parses_again_when_a_work_variable_changes() {
        let (cache, parse_count) = (DocumentCache::with_capacity(1 << 20), Cell::new(0));
        let get = |text: &str, variables: Value| {
            let variables = variables.as_object().unwrap();
            let parse = || {
                parse_count.set(parse_count.get() + 1);
                Document::parse(text, variables, &Limits::default(), &Weights::default())
            };
            let document = cache.get(text, variables, parse).unwrap();
            (document.operations[0].work.as_micros(), parse_count.get())
        };
        assert_eq!(get("{ a }", json!({})), (220, 1));
        assert_eq!(get("{ a }", json!({"n": 7})), (220, 1));
        let list = "query($n: Int = 3) { a(first: $n, of: $m) { b } }";
        assert_eq!(get(list, json!({"n": 2, "m": 1})), (260, 2));
        assert_eq!(get(list, json!({"n": 2, "m": 2})), (260, 2), "m is not a list length");
        assert_eq!(get(list, json!({"n": 4})), (300, 3));
        assert_eq!(get(list, json!({})), (280, 4));
        assert_eq!(get(list, json!({"m": 1})), (280, 4), "both use the default");
        assert_eq!(get("{ a } ", json!({})), (220, 5), "the text differs");
    }

    #[test]
    fn size_is_bounded() {
        let cache = DocumentCache::with_capacity(64 * 1024);
        for number in 0..10_000 {
            let text = format!("{{ a{number} }}");
            let parse = || Document::parse(&text, &Map::new(), &Limits::default(), &Weights::default());
            cache.get(&text, &Map::new(), parse).unwrap();
        }
        assert!(!cache.is_empty() && cache.len() <= 64 * 1024 / OPERATION_BYTES as usize, "{cache:?}");
    }
}
